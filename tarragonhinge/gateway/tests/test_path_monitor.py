"""Which servers are out of reach, and what other instances say of them."""

import dataclasses
import random

import pytest

from tarragonhinge.balancing import _path
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import forwarding
from tarragonhinge.gateway import _path_monitor
from tarragonhinge import http1
from tarragonhinge import testing

_ACCEPTING = http1.ListenerState.ACCEPTING
_REFUSING = http1.ListenerState.REFUSING
_SILENT = http1.ListenerState.SILENT
_REACHABLE = forwarding.PathState.REACHABLE
_REFUSED = forwarding.PathState.REFUSED
_UNREACHABLE = forwarding.PathState.UNREACHABLE
_UNKNOWN = forwarding.PathState.UNKNOWN


class _Pool:
    """Connections whose attempts to connect have a given outcome."""

    def __init__(self):
        self.state = _ACCEPTING
        self.probe_count = 0

    async def probe(self, *, timeout_ms):
        self.probe_count += 1
        return self.state


@dataclasses.dataclass(kw_only=True)
class _Link:
    entry: catalog.ServerEntry
    pool: _Pool
    path: _path.Path

    @property
    def incarnation(self):
        return self.entry.server, self.entry.born_ms


class _Links:
    def __init__(self, links):
        self.by_server = {link.entry.server: link for link in links}

    def find(self, server):
        return self.by_server.get(server)

    def is_current(self, link):
        return True

    def is_keyed(self, link):
        return True


class _Client:
    """Other instances with given reports."""

    def __init__(self):
        self.reports = {}
        self.fresh_reports = {}
        self.closed_counts = {}

    async def query_paths(self, peer, query):
        report = self.reports.get(peer.instance)
        if query.is_fresh:
            report = self.fresh_reports.get(peer.instance, report)
        if report is None:
            return None
        return forwarding.PathReport(
            states=[report] * len(query.servers),
            closed_count=self.closed_counts.get(peer.instance, 0),
        )


class _Fixture:
    def __init__(self, *, servers=4, peers=()):
        self.clock = base.Clock()
        entries = [
            catalog.ServerEntry(
                server=base.ServerId(f"i-{number}"),
                service=base.ServiceName("s"),
                address=base.Address(f"10.0.0.{number}:1"),
                zone=base.ZoneName("z"),
                slots=2,
                born_ms=1,
            )
            for number in range(servers)
        ]
        self.links = [
            _Link(entry=entry, pool=_Pool(), path=_path.Path(clock=self.clock))
            for entry in entries
        ]
        view = catalog.View()
        service = catalog.Service(
            name=base.ServiceName("s"), max_connections=9, keyed=True
        )
        view.set_table(
            catalog.RoutingTable(
                version=base.TableVersion(1), services=(service,)
            )
        )
        view.set_servers(catalog.index_servers(entries))
        directory = testing.make_peer_directory(self.clock)
        directory.record(
            forwarding.PeerInstance(
                instance=base.InstanceId(f"p{number}"),
                address=base.Address(f"10.0.1.{number}:1"),
                zone=base.ZoneName("z"),
            )
            for number, _ in enumerate(peers)
        )
        self.client = _Client()
        self.client.reports = {
            f"p{number}": report for number, report in enumerate(peers)
        }
        self.monitor = _path_monitor.PathMonitor(
            view=view,
            links=_Links(self.links),
            directory=directory,
            client=self.client,
            log=testing.make_event_log(self.clock),
            clock=self.clock,
            rng=random.Random(1),
        )

    def set_states(self, state, *, since=0):
        for link in self.links[since:]:
            link.pool.state = state


@pytest.mark.parametrize("state", [_REFUSING, _SILENT])
def test_all_servers_are_tried_once_one_is_out_of_reach(state):
    async def scenario():
        fixture = _Fixture(servers=30)
        fixture.set_states(state)
        fixture.monitor.suspect(fixture.links[0], fixture.clock.now())
        await fixture.clock.sleep(200)
        assert fixture.monitor.get_closed_count() == 30
        fixture.set_states(_ACCEPTING)
        await fixture.clock.sleep(2 * _path_monitor.RETRY_INTERVAL_MS)
        assert fixture.monitor.get_closed_count() == 0
        fixture.monitor.close()

    testing.run_manual(scenario())


@pytest.mark.parametrize("open_ms", [0, 100, 300, 450, 700])
def test_server_that_is_lost_again_is_tried_again(open_ms):
    """The task that tries servers may just have ended when one is lost."""

    async def scenario():
        fixture = _Fixture(servers=1)
        link = fixture.links[0]
        for _ in range(2):
            link.pool.state = _REFUSING
            fixture.monitor.record_failure(
                link, is_refused=True, began_at=fixture.clock.now()
            )
            await fixture.clock.sleep(50)
            link.pool.state = _ACCEPTING
            fixture.monitor.record_connection(link)
            await fixture.clock.sleep(open_ms)
        link.pool.state = _REFUSING
        fixture.monitor.record_failure(
            link, is_refused=True, began_at=fixture.clock.now()
        )
        link.pool.state = _ACCEPTING
        await fixture.clock.sleep(2 * _path_monitor.RETRY_INTERVAL_MS)
        assert not link.path.is_closed
        fixture.monitor.close()

    testing.run_manual(scenario())


def test_server_that_has_reacted_is_not_tried():
    async def scenario():
        fixture = _Fixture()
        await fixture.clock.sleep(10)
        link = fixture.links[0]
        fixture.monitor.record_response(link)
        fixture.monitor.suspect(link, fixture.clock.now() - 5)
        await fixture.clock.sleep(10)
        assert link.pool.probe_count == 0
        fixture.monitor.suspect(link, fixture.clock.now())
        await fixture.clock.sleep(10)
        assert link.pool.probe_count == 1

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("peers", "others", "has_ended"),
    [
        ([_REFUSED, _REFUSED], _ACCEPTING, True),
        ([_REFUSED, _UNREACHABLE, _UNKNOWN, None], _ACCEPTING, True),
        ([_REFUSED, _REACHABLE], _ACCEPTING, False),
        ([_REACHABLE, _REACHABLE], _REFUSING, False),
        ([_UNREACHABLE, _UNREACHABLE], _ACCEPTING, False),
        ([_UNKNOWN], _ACCEPTING, False),
        ([None, None], _ACCEPTING, True),
        ([None, None], _REFUSING, False),
        ([], _ACCEPTING, True),
        ([], _REFUSING, False),
    ],
)
def test_end_of_a_server_is_confirmed(peers, others, has_ended):
    async def scenario():
        fixture = _Fixture(peers=peers)
        fixture.set_states(others, since=1)
        fixture.links[0].pool.state = _REFUSING
        confirmed = await fixture.monitor.confirm_end(fixture.links[0])
        assert confirmed is has_ended
        fixture.monitor.close()

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("own", "others", "is_fresh", "expected"),
    [
        (_ACCEPTING, _ACCEPTING, True, _REACHABLE),
        (_REFUSING, _ACCEPTING, True, _REFUSED),
        (_REFUSING, _REFUSING, True, _UNREACHABLE),
        (_REFUSING, _SILENT, True, _UNREACHABLE),
        (_SILENT, _ACCEPTING, True, _UNREACHABLE),
        (_REFUSING, _ACCEPTING, False, _UNREACHABLE),
        (_ACCEPTING, _REFUSING, False, _REACHABLE),
    ],
)
def test_report_to_another_instance(own, others, is_fresh, expected):
    async def scenario():
        fixture = _Fixture()
        fixture.set_states(others, since=1)
        fixture.links[0].pool.state = own
        report = await fixture.monitor.report(
            forwarding.PathQuery(
                servers=[fixture.links[0].incarnation, ("gone", 1)],
                is_fresh=is_fresh,
            )
        )
        assert report.states == [expected, _UNKNOWN]
        fixture.monitor.close()

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("fresh_reports", "is_cut_off"),
    [
        ([_UNREACHABLE, _UNREACHABLE, _UNREACHABLE], False),
        ([_REFUSED, _UNREACHABLE, _UNKNOWN], False),
        ([None, _UNREACHABLE, _UNREACHABLE], False),
        ([_UNREACHABLE, _REACHABLE, _UNREACHABLE], True),
    ],
)
def test_coordinator_does_not_step_down_for_owners_that_have_ended(
    fresh_reports, is_cut_off
):
    """Guards against a change of the coordinator for each silent crash.

    Other instances had responses of the servers shortly before these ended
    without a sign. Each successor had to wait until all grants had expired.
    """

    async def scenario():
        fixture = _Fixture(servers=6, peers=[_REACHABLE] * 3)
        fixture.client.fresh_reports = {
            f"p{number}": report for number, report in enumerate(fresh_reports)
        }
        for link in fixture.links[:2]:
            link.pool.state = _SILENT
            fixture.monitor.suspect(link, fixture.clock.now())
        for _ in range(20):
            await fixture.clock.sleep(200)
            if not is_cut_off:
                assert not fixture.monitor.is_cut_off()
        assert fixture.monitor.is_cut_off() is is_cut_off
        fixture.monitor.close()

    testing.run_manual(scenario())


def test_cut_that_has_ended_is_no_proof_of_another_one():
    async def scenario():
        fixture = _Fixture(servers=6, peers=[_REACHABLE] * 3)
        link = fixture.links[0]
        link.pool.state = _SILENT
        fixture.monitor.suspect(link, fixture.clock.now())
        await fixture.clock.sleep(500)
        assert fixture.monitor.is_cut_off()
        link.pool.state = _ACCEPTING
        await fixture.clock.sleep(2_000)
        fixture.client.fresh_reports = dict.fromkeys(
            fixture.client.reports, _UNREACHABLE
        )
        link.pool.state = _SILENT
        fixture.monitor.suspect(link, fixture.clock.now())
        for _ in range(50):
            await fixture.clock.sleep(20)
            assert not fixture.monitor.is_cut_off()
        fixture.monitor.close()

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("peers", "closed_counts", "is_cut_off"),
    [
        ([_REACHABLE], [0], True),
        ([_REACHABLE], [2], True),
        ([_REACHABLE], [3], False),
        ([_REACHABLE, _REACHABLE], [4, 1], True),
        ([_UNREACHABLE, _REACHABLE], [0, 0], True),
        ([_UNREACHABLE, _UNREACHABLE], [0, 0], False),
        ([None], [0], False),
        ([], [], False),
    ],
)
def test_instance_is_cut_off_if_another_reaches_the_owners(
    peers, closed_counts, is_cut_off
):
    async def scenario():
        fixture = _Fixture(peers=peers)
        fixture.client.closed_counts = {
            f"p{number}": count for number, count in enumerate(closed_counts)
        }
        assert not fixture.monitor.is_cut_off()
        fixture.set_states(_SILENT)
        fixture.monitor.suspect(fixture.links[0], fixture.clock.now())
        await fixture.clock.sleep(500)
        assert fixture.monitor.is_cut_off() is is_cut_off
        fixture.set_states(_ACCEPTING)
        await fixture.clock.sleep(1_000)
        assert not fixture.monitor.is_cut_off()
        fixture.monitor.close()

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("is_refused", "contact_ms", "closes"),
    [
        (True, 0, True),
        (True, 50, True),
        (False, 0, True),
        (False, 50, False),
    ],
)
def test_failed_connection_closes_a_path(is_refused, contact_ms, closes):
    """A lost packet does not, if the server has reacted meanwhile."""

    async def scenario():
        clock = base.Clock()
        path = _path.Path(clock=clock)
        await clock.sleep(100)
        began_at = clock.now()
        if contact_ms:
            await clock.sleep(contact_ms)
            path.record_response()
        assert closes is path.record_failure(
            is_refused=is_refused, began_at=began_at
        )
        assert path.is_closed is closes
        path.record_response()
        # An open connection may live on while new ones are refused.
        assert path.is_closed is (closes and is_refused)
        path.record_connection()
        assert not path.is_closed

    testing.run_manual(scenario())


def test_new_server_is_tried_while_others_are_out_of_reach():
    async def scenario():
        fixture = _Fixture(servers=3)
        fixture.set_states(_SILENT)
        fixture.monitor.record_failure(
            fixture.links[0], is_refused=False, began_at=fixture.clock.now()
        )
        await fixture.clock.sleep(50)
        fresh = fixture.links[2]
        fresh.path = _path.Path(clock=fixture.clock)
        await fixture.clock.sleep(2 * _path_monitor.RETRY_INTERVAL_MS)
        assert fresh.path.is_closed
        fixture.monitor.close()

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("idle_ms", "probes"),
    [(0, 0), (5_000, 0), (20_000, _path_monitor.MAX_QUERY_PROBES)],
)
def test_query_makes_another_instance_try_few_servers(idle_ms, probes):
    async def scenario():
        fixture = _Fixture(servers=30)
        for link in fixture.links:
            fixture.monitor.record_response(link)
        await fixture.clock.sleep(idle_ms)
        await fixture.monitor.report(
            forwarding.PathQuery(
                servers=[link.incarnation for link in fixture.links]
            )
        )
        assert sum(link.pool.probe_count for link in fixture.links) == probes
        fixture.monitor.close()

    testing.run_manual(scenario())
