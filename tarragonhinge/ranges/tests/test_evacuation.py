"""All keys of an evacuated zone move to servers of other zones in time."""

import random

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.ranges.tests import led_service
from tarragonhinge import testing

#: Zones of the servers, in turn; a third of the servers are in "a1".
ZONES = ("a1", "a2", "b1")
REGIONS = {"a1": "a", "a2": "a", "b1": "b"}

SERVERS = 77
SEGMENTS_PER_SERVER = 5

HELD = catalog.SegmentState.HELD

#: Time in which the keys of a zone have to move; the users' bound is 5 s from
#: the store's acknowledgement.
LIMIT_MS = 2_500

#: Time that running requests take, in deployment R.
WORK_MS = 352


class _Zones:
    """A service of the size of deployment R under evacuations."""

    def __init__(
        self, *, servers=SERVERS, segments=SEGMENTS_PER_SERVER, rate=240
    ):
        self.service = led_service.LedService(
            servers=servers, zones=ZONES, slots=6
        )
        self.rng = random.Random(5)
        self.rate = rate
        self.service.put_segments(servers * segments)

    async def start(self):
        self.service.start_leader(zones=REGIONS)
        await self.run_for(6_000)
        assert self.service.fleet.count_unowned_keys() == 0

    def report(self):
        """Report the requests of half a second, as the instances do."""
        self.service.leader.record_keys(
            [
                self.rng.randrange(catalog.KEY_COUNT)
                for _ in range(self.rate // 2)
            ]
        )

    def evacuate(self, *zones):
        self.service.view.set_evacuated_zones(map(base.ZoneName, zones))

    async def run_for(self, duration_ms):
        """Advance the time while requests are reported."""
        for _ in range(duration_ms // 500):
            self.report()
            await self.service.run_for(500)

    def list_segments(self, zone=None):
        """Return the segments whose holders are in a zone, or all."""
        view = self.service.view
        return [
            s
            for s in view.owners[led_service.SERVICE].segments
            if zone in (None, view.servers[s.server].zone)
        ]

    def list_zones(self, first=0, last=catalog.KEY_COUNT - 1):
        """Return the zones of the holders of a key range."""
        view = self.service.view
        return {
            view.servers[s.server].zone
            for s in self.list_segments()
            if s.first <= last and s.last >= first
        }

    def check_served(self, *zones):
        assert self.list_zones() == set(zones)
        assert {s.state for s in self.list_segments()} == {HELD}
        assert self.service.fleet.count_unowned_keys() == 0
        assert self.service.fleet.violations == []


@pytest.mark.parametrize(
    "fault", ["none", "second_zone", "all_zones", "store", "coordinator"]
)
def test_keys_of_an_evacuated_zone_move_in_time(fault):
    """Guards against keys that stay in an evacuated zone.

    Nothing followed the evacuation, and each choice of a new holder computed
    the loads of all servers anew, which took seconds for all keys of a zone.
    """

    async def run():
        zones = _Zones()
        service = zones.service
        await zones.start()
        for server in service.fleet.servers:
            server.faults.work_ms = WORK_MS
        zones.evacuate("a1")
        await service.run_for(400)
        assert service.leader.evacuated_count > 0
        if fault == "second_zone":
            zones.evacuate("a1", "b1")
        elif fault == "all_zones":
            zones.evacuate(*ZONES)
            await service.run_for(1_000)
            zones.evacuate("a1", "b1")
        elif fault == "store":
            service.store.faults.rejects_writes = True
            await service.run_for(600)
            service.store.faults.rejects_writes = False
        elif fault == "coordinator":
            await service.stop_leader()
            service.start_leader(zones=REGIONS)
        await zones.run_for(LIMIT_MS)
        assert service.leader.evacuated_count == 0
        zones.check_served("a2", *({"b1"} - service.view.evacuated_zones))
        # The keys stay there, whatever their load.
        await zones.run_for(3_000)
        assert "a1" not in zones.list_zones()

    testing.run_manual(run())


def _run(check, **options):
    async def run():
        zones = _Zones(**options)
        await zones.start()
        await check(zones)

    testing.run_manual(run())


@pytest.mark.parametrize("moment_ms", [0, 200, 400])
def test_keys_of_a_zone_that_does_not_answer_move_in_time(moment_ms):
    """Guards against moves that start only after others have ended.

    Each lasts until the grant has expired, since no server confirms a release:
    4.2 s from the last renewal, which may still be under way.
    """

    async def check(zones):
        for server in zones.service.fleet.servers:
            server.faults.is_silent = server.entry.zone == "a1"
        await zones.service.run_for(moment_ms)
        zones.evacuate("a1")
        await zones.service.run_for(5_100)
        zones.check_served("a2", "b1")

    _run(check)


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        # No server is left.
        ([(ZONES, 6_000)], ZONES),
        ([(ZONES, 3_000), (("a1", "b1"), 3_000)], ["a2"]),
        # The evacuation is revoked halfway.
        ([(["a1"], 300), ([], 2_000)], ZONES),
    ],
)
def test_keys_stay_without_a_reason_to_move(steps, expected):
    """Guards against keys that are released although nobody can take them.

    Also against moves that go on after the zone has returned.
    """

    async def check(zones):
        for evacuated, duration_ms in steps:
            zones.evacuate(*evacuated)
            await zones.service.run_for(duration_ms)
        zones.check_served(*expected)

    _run(check)


@pytest.mark.parametrize(
    ("rate", "expected"), [(120, {"a2"}), (900, {"a2", "b1"})]
)
def test_keys_stay_in_their_region_if_it_has_room(rate, expected):
    """Guards against requests that cross regions without need."""

    async def check(zones):
        moved = zones.list_segments("a1")
        zones.evacuate("a1")
        await zones.service.run_for(1_500)
        targets = [zones.list_zones(s.first, s.last) for s in moved]
        assert set().union(*targets) == expected

    _run(check, servers=24, rate=rate)


def test_busiest_keys_move_first():
    """Guards against busy keys that wait behind ones without requests."""

    async def check(zones):
        busy = zones.list_segments("a1")[-3:]
        zones.service.leader.record_keys([s.first for s in busy] * 20)
        zones.evacuate("a1")
        moving = []
        while not moving:
            await zones.service.run_for(50)
            moving = [s for s in zones.list_segments() if s.state is not HELD]
        assert len(moving) < 50
        assert {s.first for s in busy} <= {s.first for s in moving}

    _run(check)


def _make_table(version, *allowed):
    """Return a table with a route to the service for each restriction."""
    return catalog.RoutingTable(
        version=base.TableVersion(version),
        routes=tuple(
            catalog.Route(
                name=f"r{number}",
                host="h",
                prefix=f"/{number}/",
                kind=catalog.RequestKind.IDEMPOTENT,
                timeout_ms=1_000,
                objective_ms=500,
                priority=0,
                max_attempts=2,
                targets=(catalog.Target(service=led_service.SERVICE),),
                allowed_regions=regions,
            )
            for number, regions in enumerate(allowed)
        ),
    )


@pytest.mark.parametrize(
    ("allowed", "evacuated", "expected"),
    [
        ([()], [], {"a1", "a2", "b1"}),
        ([("a",)], [], {"a1", "a2"}),
        ([("a",), ()], [], {"a1", "a2"}),
        ([("a", "b"), ("b", "c")], [], {"b1"}),
        ([("a",), ("b",)], [], {"a1", "a2", "b1"}),
        ([("c",)], [], {"a1", "a2", "b1"}),
        ([("a",)], ["a1"], {"a2"}),
        # No server is left in the region.
        ([("b",)], ["b1"], {"a1", "a2"}),
    ],
)
@pytest.mark.parametrize("is_initial", [True, False])
def test_keys_are_owned_in_the_regions_that_all_routes_allow(
    allowed, evacuated, expected, is_initial
):
    """Guards against owners to which no request for their keys may be sent."""

    async def run():
        zones = _Zones(servers=12)
        view = zones.service.view
        if is_initial:
            zones.service.rows.rows.clear()
            view.set_table(_make_table(1, *allowed))
            zones.evacuate(*evacuated)
        await zones.start()
        view.set_table(_make_table(2, *allowed))
        zones.evacuate(*evacuated)
        await zones.run_for(3_000)
        zones.check_served(*expected)
        # Later moves keep to the regions, too.
        zones.service.leader.record_keys(list(range(1_000, 1_040)) * 20)
        await zones.run_for(2_000)
        assert zones.list_zones() <= expected
        assert zones.service.fleet.violations == []

    testing.run_manual(run())
