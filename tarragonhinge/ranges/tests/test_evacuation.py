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
        count = servers * segments
        bounds = [i * catalog.KEY_COUNT // count for i in range(count + 1)]
        entries = list(self.service.view.servers.values())
        self.service.put_record(
            [
                catalog.Segment(
                    first=bounds[i],
                    last=bounds[i + 1] - 1,
                    server=entries[i % servers].server,
                    born_ms=entries[i % servers].born_ms,
                    fence=i + 1,
                )
                for i in range(count)
            ],
            next_fence=count + 1,
        )

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

    def list_zones(self, first=0, last=catalog.KEY_COUNT - 1):
        """Return the zones of the holders of a key range."""
        view = self.service.view
        return {
            view.servers[s.server].zone
            for s in view.owners[led_service.SERVICE].segments
            if s.first <= last and s.last >= first
        }

    def check_served(self, *zones):
        assert self.list_zones() == set(zones)
        segments = self.service.view.owners[led_service.SERVICE].segments
        assert {s.state for s in segments} == {catalog.SegmentState.HELD}
        assert self.service.fleet.count_unowned_keys() == 0
        assert self.service.fleet.violations == []


@pytest.mark.parametrize(
    "fault", ["none", "second_zone", "store", "coordinator"]
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
        if fault == "second_zone":
            zones.evacuate("a1", "b1")
        elif fault == "store":
            service.store.faults.rejects_writes = True
            await service.run_for(600)
            service.store.faults.rejects_writes = False
        elif fault == "coordinator":
            await service.stop_leader()
            service.start_leader(zones=REGIONS)
        await zones.run_for(LIMIT_MS)
        zones.check_served(
            *({"a2"} if fault == "second_zone" else {"a2", "b1"})
        )
        # The keys stay there, whatever their load.
        await zones.run_for(3_000)
        assert "a1" not in zones.list_zones()

    testing.run_manual(run())
