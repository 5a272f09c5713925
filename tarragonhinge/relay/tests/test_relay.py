"""Subscribers apply the coordinator's updates in order."""

import asyncio
import contextlib

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import limits
from tarragonhinge import quarantine
from tarragonhinge import relay
from tarragonhinge.relay import _hub
from tarragonhinge import testing

#: Number of routes in a table.
ROUTES = 150


def _make_table(version, *, extra=0):
    routes = tuple(
        catalog.Route(
            name=f"r{number}",
            host="h",
            prefix=f"/{number}/",
            kind=catalog.RequestKind.IDEMPOTENT,
            timeout_ms=1_000,
            objective_ms=500,
            priority=1,
            max_attempts=2,
            targets=(catalog.Target(service=base.ServiceName("s")),),
        )
        for number in range(ROUTES + extra)
    )
    return catalog.RoutingTable(
        version=base.TableVersion(version), routes=routes
    )


class _Exchange(relay.Exchange):
    """Exchange without reports."""

    def make_report(self):
        return relay.Report()

    def make_loads(self):
        return relay.Loads(seen=[])

    def apply_loads(self, loads):
        """Ignore the loads."""


class _HubFixture:
    """Hub on the loopback interface and its subscribers."""

    def __init__(self):
        self.clock = base.Clock()
        self.view = catalog.View()
        self.view.set_table(_make_table(1))
        self.log = testing.make_event_log(self.clock)
        self.sent_bytes = 0
        self.is_failing = False
        self.knows_holders = True
        self.leave_delay_ms = 0
        self.reaches_store = True
        self.ledger = quarantine.CrashLedger(log=self.log, clock=self.clock)
        self.other_ledger = quarantine.CrashLedger(
            log=self.log, clock=self.clock
        )

    async def __aenter__(self):
        self.hub = relay.Hub(
            term=base.Term(1),
            view=self.view,
            get_store_age=lambda: 0,
            is_store_failing=lambda: self.is_failing,
            handle_report=lambda report: None,
            handle_loads=lambda loads: None,
            knows_holders=lambda: self.knows_holders,
            issuer=limits.PermitIssuer(
                limits=limits.ServerLimits(log=self.log), clock=self.clock
            ),
            ledger=self.ledger,
            trial_issuer=quarantine.TrialIssuer(
                ledger=self.ledger, log=self.log
            ),
            directory=testing.make_peer_directory(self.clock),
            clock=self.clock,
        )
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = base.Address(f"127.0.0.1:{port}")
        self.tasks = [asyncio.create_task(self.hub.run())]
        return self

    async def _serve(self, reader, writer):
        write = writer.write

        def count_and_write(data):
            self.sent_bytes += len(data)
            write(data)

        writer.write = count_and_write
        await self.hub.serve(reader, writer)

    def subscribe(self, view):
        async def check_store():
            return self.reaches_store

        subscription = relay.Subscription(
            instance=base.InstanceId("i2"),
            address=self.address,
            view=view,
            exchange=_Exchange(),
            directory=testing.make_peer_directory(self.clock, instance="i2"),
            ledger=self.other_ledger,
            check_store=check_store,
            compute_leave_delay_ms=lambda: self.leave_delay_ms,
            on_update=lambda: None,
            log=self.log,
            clock=self.clock,
        )
        self.following = asyncio.create_task(subscription.run())
        self.tasks.append(self.following)
        return subscription

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self.tasks)
        self.server.close()


async def _wait(check):
    clock = base.Clock()
    async with asyncio.timeout(20):
        while not check():
            await clock.sleep(10)


def _has_version(view, version):
    return view.table is not None and view.table.version == version


def test_table_versions_are_sent_as_deltas():
    """Guards against a burst of table versions that saturates a narrow link.

    Versions sent as complete tables saturated a link of 10 Mbit/s.
    """

    async def run():
        async with _HubFixture() as fixture:
            view = catalog.View()
            fixture.subscribe(view)
            await _wait(lambda: _has_version(view, 1))
            snapshot_bytes = fixture.sent_bytes
            for number in range(2, 6):
                fixture.view.set_table(_make_table(number, extra=number))
                await _wait(lambda n=number: _has_version(view, n))
            assert view.table == fixture.view.table
            assert fixture.sent_bytes - snapshot_bytes < snapshot_bytes

    asyncio.run(run())


@pytest.mark.parametrize("view_version", [None, 1, 3, 9])
def test_updates_apply_to_the_last_sent_state(view_version):
    """Updates apply even if the subscriber's view is older or newer."""

    async def run():
        async with _HubFixture() as fixture:
            view = catalog.View()
            if view_version is not None:
                view.set_table(_make_table(view_version))
            fixture.subscribe(view)
            fixture.view.set_table(_make_table(3, extra=1))
            await _wait(lambda: fixture.hub.fleet_size == 2)
            fixture.view.set_table(_make_table(4, extra=2))
            expected = max(4, view_version or 0)
            await _wait(lambda: _has_version(view, expected))
            if expected == 4:
                assert view.table == fixture.view.table

    asyncio.run(run())


@pytest.mark.parametrize(
    ("reaches_store", "recovers", "expected"),
    [
        (True, False, relay.EndReason.STORE_LOST),
        # No instance reaches the store, so none can succeed.
        (False, False, None),
        # The coordinator reaches the store again.
        (True, True, None),
    ],
)
def test_subscriber_leaves_a_coordinator_that_alone_lost_the_store(
    reaches_store, recovers, expected
):
    async def run():
        async with _HubFixture() as fixture:
            view = catalog.View()
            fixture.reaches_store = reaches_store
            fixture.leave_delay_ms = 600 if recovers else 0
            fixture.subscribe(view)
            await _wait(lambda: _has_version(view, 1))
            fixture.is_failing = True
            if recovers:
                await fixture.clock.sleep(300)
                fixture.is_failing = False
            done, _ = await asyncio.wait([fixture.following], timeout=2)
            assert bool(done) is (expected is not None)
            if done:
                assert fixture.following.result() is expected

    asyncio.run(run())


@pytest.mark.parametrize(
    ("own", "known", "expected"),
    [
        (["za"], None, ["za"]),
        (["za", "zb"], ["zc"], ["za", "zb"]),
        ([], ["za"], []),
        # The coordinator has not read them: the subscriber knows them from
        # the former one. One of an older build never sends them either.
        (None, ["za"], ["za"]),
    ],
)
def test_evacuated_zones_are_relayed(own, known, expected):
    """Guards against an instance that forgets or misses an evacuation."""

    async def run():
        prepared = _HubFixture()
        view = catalog.View()
        for receiver, zones in ((prepared.view, own), (view, known)):
            if zones is not None:
                receiver.set_evacuated_zones(zones)
        seen = []
        view.changes.subscribe(
            lambda _: seen.append(view.table is None or view.knows_evacuations)
        )
        async with prepared as fixture:
            fixture.subscribe(view)
            await _wait(lambda: _has_version(view, 1))
            assert sorted(view.evacuated_zones) == expected
            # No request is routed while the evacuations are unknown.
            assert all(seen)
            for version, zones in enumerate(([], ["za"], ["za", "zb"], []), 2):
                fixture.view.set_evacuated_zones(zones)
                await _wait(lambda z=zones: view.evacuated_zones == set(z))
                fixture.view.set_table(_make_table(version))
                await _wait(lambda v=version: _has_version(view, v))
                assert view.evacuated_zones == set(zones)

    asyncio.run(run())


def _make_owners(server):
    return catalog.OwnerMap(
        segments=[
            catalog.Segment(
                first=0,
                last=catalog.KEY_COUNT - 1,
                server=base.ServerId(server),
                born_ms=1,
                fence=1,
            )
        ]
    )


# Guards against a successor that takes over from an owner map which lacks the
# last changes: a heartbeat confirmed it while they waited to be sent.
def test_heartbeat_confirms_changes_that_wait_to_be_sent(monkeypatch):
    async def run():
        monkeypatch.setattr(_hub, "CHANGE_BATCH_MS", 60_000)
        service = base.ServiceName("keys")
        async with _HubFixture() as fixture:
            view = catalog.View()
            subscription = fixture.subscribe(view)
            await _wait(lambda: subscription.confirmed_at is not None)
            for number in range(3):
                owners = _make_owners(f"s{number}")
                fixture.view.set_owners(service, owners)
                changed_at = fixture.clock.read_boottime()
                await _wait(lambda t=changed_at: subscription.confirmed_at > t)
                assert view.owners[service].segments == owners.segments

    asyncio.run(run())


@pytest.mark.parametrize(
    ("knows_holders", "sends_snapshot", "expected"),
    [
        (True, True, True),
        (False, True, False),
        # The snapshot comes after the first heartbeat.
        (True, False, False),
    ],
)
def test_only_heartbeats_of_known_holders_confirm(
    knows_holders, sends_snapshot, expected, monkeypatch
):
    async def run():
        if not sends_snapshot:
            monkeypatch.setattr(_hub.Hub, "_encode_snapshot", lambda _: b"")
        async with _HubFixture() as fixture:
            fixture.knows_holders = knows_holders
            subscription = fixture.subscribe(catalog.View())
            await _wait(lambda: subscription.fleet_size is not None)
            began_at = fixture.clock.read_boottime()
            await _wait(
                lambda: (
                    subscription.last_message_at
                    > began_at + relay.HEARTBEAT_INTERVAL_MS
                )
            )
            assert (subscription.confirmed_at is not None) is expected

    asyncio.run(run())
