"""The path of a request from a caller to a backend server and back."""

import asyncio
import contextlib
import unittest.mock

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import gateway
from tarragonhinge import http1
from tarragonhinge import platform
from tarragonhinge.platform import standins
from tarragonhinge import testing

SAFE = "/safe/a"
UNSAFE = "/unsafe/a"
KEYED = "/keyed/a"

_FAILED = (502, 504)


def _make_route(name, kind, service):
    return catalog.Route(
        name=name,
        host="h.example",
        prefix=f"/{name}/",
        kind=kind,
        timeout_ms=1_500,
        objective_ms=600,
        priority=1,
        max_attempts=3,
        targets=(catalog.Target(service=base.ServiceName(service)),),
    )


def _make_table(version=1, keyed="keys"):
    kind = catalog.RequestKind
    return catalog.RoutingTable(
        version=base.TableVersion(version),
        routes=(
            _make_route("safe", kind.IDEMPOTENT, "plain"),
            _make_route("unsafe", kind.NON_IDEMPOTENT, "plain"),
            _make_route("keyed", kind.IDEMPOTENT, "keys"),
        ),
        services=(
            catalog.Service(
                name=base.ServiceName("plain"), max_connections=20
            ),
            catalog.Service(
                name=base.ServiceName(keyed), max_connections=20, keyed=True
            ),
        ),
    )


class _Site:
    """One instance between a caller and stand-in servers."""

    def __init__(self, names=("i-1", "i-2"), *, is_keyed=False):
        self.servers = [
            standins.StandInServer(name, is_keyed=is_keyed) for name in names
        ]
        self.service = base.ServiceName("keys" if is_keyed else "plain")
        self.view = catalog.View()
        self._count = 0

    async def __aenter__(self):
        clock = base.Clock()
        self.log = testing.make_event_log(clock)
        options = gateway.InstanceOptions(
            instance=base.InstanceId("e1"),
            zone=base.ZoneName("z"),
            region=base.RegionName("r"),
            zones={base.ZoneName("z"): base.RegionName("r")},
            callers=base.Address("127.0.0.1:1"),
            health=base.Address("127.0.0.1:1"),
            peers=base.Address("127.0.0.1:1"),
            store=base.Address("127.0.0.1:1"),
            retry_slack=100,
        )
        self.gateway = gateway.Gateway(
            options=options,
            view=self.view,
            dialect=platform.PlatformDialect(),
            log=self.log,
            clock=clock,
        )
        self.gateway.fleet_size.record(1)
        for server in self.servers:
            await server.start()
        self.view.set_table(_make_table())
        self.list_servers(self.servers)
        return self

    def list_servers(self, servers):
        self.view.set_servers(
            catalog.index_servers(
                catalog.ServerEntry(
                    server=base.ServerId(server.name),
                    service=self.service,
                    address=base.Address(server.address),
                    zone=base.ZoneName("z"),
                    slots=2,
                    born_ms=1,
                )
                for server in servers
            )
        )

    def set_owner(self, name, fence, state=catalog.SegmentState.HELD):
        segment = catalog.Segment(
            first=0,
            last=65_535,
            server=base.ServerId(name),
            born_ms=1,
            fence=fence,
            state=state,
        )
        self.view.set_owners(
            self.service, catalog.OwnerMap(segments=[segment])
        )

    async def __aexit__(self, *_):
        for server in self.servers:
            await server.stop()
        self.view.set_servers({})

    async def ask(self, target, *, body=b"", **extra):
        self._count += 1
        fields = {
            "host": "h.example",
            "tarragonhinge-request-attempt-id": f"a{self._count}",
            "tarragonhinge-deadline-ms": "5000",
            "connection": "x-hop",
            "x-hop": "1",
            "x-own": "2",
            **{name.replace("_", "-"): v for name, v in extra.items()},
        }
        method = "POST" if target == UNSAFE else "GET"
        return await self.gateway.handle(
            http1.HttpRequest(
                method=method,
                target=target,
                fields=list(fields.items()),
                body=body,
            )
        )

    def count_runs(self, attempt=None):
        runs = [a for server in self.servers for a in server.ran]
        return len(runs) if attempt is None else runs.count(attempt)


def _run(check, **options):
    async def run():
        async with _Site(**options) as site:
            await check(site)

    asyncio.run(run())


def test_the_request_is_forwarded_and_the_answer_returned_unchanged():
    async def check(site):
        answer = await site.ask(SAFE + "?q=1%20", body=b"")
        assert answer.status == 200
        fields = dict(answer.fields)
        assert fields["tarragonhinge-upstream-seal"] == "3e.1"
        seen = [s for server in site.servers for s in server.seen]
        line, sent, _ = seen[0]
        assert line == f"GET {SAFE}?q=1%20 HTTP/1.1"
        assert sent["x-own"] == "2"
        assert "x-hop" not in sent
        assert sent["host"] == "h.example"
        assert int(sent["tarragonhinge-deadline-ms"]) <= 1_500

    _run(check)


@pytest.mark.parametrize(
    ("target", "modes", "status", "runs"),
    [
        (SAFE, ["ok"], 200, 1),
        (SAFE, ["shed"], 200, 1),
        (SAFE, ["cut"], 200, 2),
        (SAFE, ["reset"], 200, 2),
        (SAFE, ["foreign"], 200, 2),
        (SAFE, ["unsealed"], 200, 2),
        (SAFE, ["stray"], 200, 1),
        (SAFE, ["error"], 200, 2),
        (SAFE, ["busy_error"], 200, 2),
        (UNSAFE, ["ok"], 200, 1),
        (UNSAFE, ["shed"], 200, 1),
        (UNSAFE, ["cut"], 502, 1),
        (UNSAFE, ["reset"], 502, 1),
        (UNSAFE, ["foreign"], 502, 1),
        (UNSAFE, ["unsealed"], 502, 1),
        (UNSAFE, ["stray"], 200, 1),
        (UNSAFE, ["error"], 500, 1),
        (UNSAFE, ["busy_error"], 502, 1),
        (UNSAFE, ["silent"], 504, 1),
        (UNSAFE, ["hang"], 504, 0),
    ],
)
def test_what_a_server_does(target, modes, status, runs):
    """At most one run of what may not be repeated, and no false word."""

    async def check(site):
        first = site.servers[0]
        first.modes = list(modes)
        answer = await site.ask(target)
        assert answer.status == status
        assert site.count_runs() == runs
        if target == UNSAFE:
            assert site.count_runs("a1") <= 1

    _run(check)


def test_an_attempt_is_not_given_up_where_no_other_server_takes_it():
    async def check(site):
        first, second = site.servers
        first.work.clear()
        await second.stop()
        load = site.gateway.links.find(second.name).load
        for _ in range(5):
            load.record_unreachable()
        task = asyncio.create_task(site.ask(SAFE))
        await first.arrived.wait()
        # Longer than the silence after which another server is tried.
        await asyncio.sleep(1.2)
        first.work.set()
        assert (await task).status == 200
        assert site.count_runs() == 1

    _run(check)


def test_all_servers_full_is_refused_with_a_time_to_come_back():
    async def check(site):
        for server in site.servers:
            server.mode = "shed"
        answer = await site.ask(UNSAFE)
        assert answer.status == 503
        assert float(dict(answer.fields)["retry-after"]) > 0
        assert site.count_runs() == 0

    _run(check)


def test_a_server_that_is_gone_is_passed_over():
    async def check(site):
        await site.servers[0].stop()
        for _ in range(4):
            assert (await site.ask(UNSAFE)).status == 200
        assert len(site.servers[1].ran) == 4

    _run(check)


def test_a_server_that_leaves_while_it_is_connected_to_gets_nothing():
    """A connection once took a second to open, past the time to drain."""

    async def check(site):
        connect = http1.ConnectionPool.acquire
        first = base.ServerId("i-1")

        async def acquire(pool, *, fresh):
            connection = await connect(pool, fresh=fresh)
            entry = site.view.servers[first]
            state = catalog.ServerState.DRAINING
            leaving = msgspec.structs.replace(entry, state=state)
            site.view.set_servers({**site.view.servers, first: leaving})
            return connection

        with unittest.mock.patch.object(
            http1.ConnectionPool, "acquire", acquire
        ):
            assert (await site.ask(UNSAFE)).status == 200
        assert site.servers[0].ran == []
        assert len(site.servers[1].ran) == 1

    _run(check)


def test_another_server_at_the_address_does_not_run_it():
    """It is asked once only: each of its refusals costs a repeat."""

    async def check(site):
        site.servers[0].name = "i-9"
        for _ in range(4):
            assert (await site.ask(UNSAFE)).status == 200
        assert site.servers[0].ran == []
        assert len(site.servers[0].seen) == 1

    _run(check)


def test_the_server_stops_when_the_caller_leaves():
    async def check(site):
        for server in site.servers:
            server.work.clear()
        task = asyncio.create_task(site.ask(SAFE))
        await asyncio.wait(
            [asyncio.create_task(x.arrived.wait()) for x in site.servers],
            return_when=asyncio.FIRST_COMPLETED,
        )
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        for _ in range(1_000):
            if any(server.left for server in site.servers):
                return
            await asyncio.sleep(0.001)
        raise AssertionError("the server works on")

    _run(check)


@pytest.mark.parametrize(
    ("target", "host", "status"),
    [("/none/", "h.example", 404), (SAFE, "other.example", 404)],
)
def test_no_route(target, host, status):
    async def check(site):
        assert (await site.ask(target, host=host)).status == status

    _run(check)


def test_an_instance_without_a_table_says_so():
    async def check(site):
        site.view.table = None
        assert (await site.ask(SAFE)).status == 503

    _run(check)


def test_a_request_waits_for_the_first_table_of_a_process():
    """After the loss of all instances such requests were refused."""

    async def check(site):
        table, site.view.table = site.view.table, None
        asking = asyncio.create_task(site.ask(SAFE))
        await asyncio.sleep(0.05)
        site.view.set_servers(dict(site.view.servers))
        await asyncio.sleep(0)
        assert not asking.done()
        site.view.set_table(table)
        assert (await asking).status == 200

    _run(check)


def test_keyed_requests_go_to_the_holder_only():
    async def check(site):
        site.servers[1].hold(0, 65_535)
        site.set_owner("i-2", 1)
        for key in ("0", "4096", "65535"):
            answer = await site.ask(KEYED, tarragonhinge_shard_key=key)
            assert answer.status == 200
        assert len(site.servers[1].ran) == 3
        assert site.servers[0].seen == []

    _run(check, is_keyed=True)


def test_requests_wait_while_their_key_moves():
    async def check(site):
        first, second = site.servers
        site.set_owner("i-1", 1, catalog.SegmentState.MOVING)
        task = asyncio.create_task(
            site.ask(KEYED, tarragonhinge_shard_key="7")
        )
        await asyncio.sleep(0.02)
        assert not task.done()
        second.hold(0, 65_535, 2)
        site.set_owner("i-2", 2)
        assert (await task).status == 200
        assert (first.seen, len(second.ran)) == ([], 1)

    _run(check, is_keyed=True)


def test_a_holder_that_refuses_a_key_is_asked_again_only_on_news():
    async def check(site):
        first, second = site.servers
        site.set_owner("i-1", 1)
        task = asyncio.create_task(
            site.ask(KEYED, tarragonhinge_shard_key="7")
        )
        await first.arrived.wait()
        second.hold(0, 65_535, 2)
        site.set_owner("i-2", 2)
        assert (await task).status == 200
        assert (len(first.seen), len(second.ran)) == (1, 1)

    _run(check, is_keyed=True)


def test_a_key_without_holder_is_refused_in_time():
    async def check(site):
        answer = await site.ask(KEYED, tarragonhinge_shard_key="7")
        assert answer.status == 503
        assert float(dict(answer.fields)["retry-after"]) > 0

    _run(check, is_keyed=True)


def test_a_fault_of_the_program_is_no_promise():
    async def check(site):
        site.gateway.owners = None
        assert (await site.ask(SAFE)).status in _FAILED

    _run(check)
