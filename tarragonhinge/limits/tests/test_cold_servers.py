"""What is known of cold servers, and the pace of all instances together."""

import asyncio
import random

import pytest

from tarragonhinge import base
from tarragonhinge import limits
from tarragonhinge.limits.tests import manual
from tarragonhinge import testing

SERVER = base.ServerId("s1")
COLD_RATE = 4.6
WARM_UP_MS = 3_000

#: Requests that a cold server takes in any second (deployment R).
BOUND = 1.5 * COLD_RATE + 8

_ENTRY = limits.ColdSource.ENTRY
_HEALTH = limits.ColdSource.HEALTH
_EVACUATION = limits.ColdSource.EVACUATION
_PATH = limits.ColdSource.PATH


def _record(cold, left_ms, source, *, born_ms=1):
    cold.record(
        (SERVER, born_ms), left_ms=left_ms, rate=COLD_RATE, source=source
    )


@pytest.mark.parametrize(
    ("evidence", "born_ms", "expected_ms"),
    [
        ([], 1, 0),
        ([(3_000, _ENTRY, 1)], 1, 3_000),
        # The entry ends what it has said, but not what a path has shown.
        ([(3_000, _ENTRY, 1), (0, _ENTRY, 1)], 1, 0),
        ([(2_000, _PATH, 1), (900, _ENTRY, 1), (0, _ENTRY, 1)], 1, 2_000),
        # A health response is newer than all other evidence.
        ([(3_000, _EVACUATION, 1), (400, _HEALTH, 1)], 1, 400),
        ([(3_000, _PATH, 1), (0, _HEALTH, 1)], 1, 0),
        # A server that becomes cold again without a new start.
        ([(3_000, _ENTRY, 1), (0, _ENTRY, 1), (2_200, _ENTRY, 1)], 1, 2_200),
        # A newer start supersedes, also for who knows of the former only.
        ([(3_000, _PATH, 1)], 2, 0),
        ([(3_000, _PATH, 1), (1_300, _ENTRY, 2)], 2, 1_300),
        ([(1_300, _ENTRY, 2), (3_000, _PATH, 1)], 2, 1_300),
        ([(1_300, _ENTRY, 2)], 1, 1_300),
    ],
)
@manual.on_manual_time
async def test_newest_evidence_counts(evidence, born_ms, expected_ms):
    """Guards against a cold server that is taken for warm, or the reverse."""
    clock = testing.ManualClock()
    cold = testing.make_permits(clock).limits.cold
    for left_ms, source, started in evidence:
        _record(cold, left_ms, source, born_ms=started)
    assert cold.get_left_ms((SERVER, born_ms)) == expected_ms
    await clock.sleep(expected_ms)
    assert cold.find((SERVER, born_ms)) is None


@manual.on_manual_time
async def test_reports_are_sent_once_and_again_to_a_new_coordinator():
    """Guards against coldness that a new coordinator never hears of."""
    clock = testing.ManualClock()
    here = testing.make_permits(clock).limits.cold
    there = testing.make_permits(clock).limits.cold
    _record(here, WARM_UP_MS, _PATH)
    _record(here, WARM_UP_MS, _ENTRY)
    there.apply(here.take_unreported())
    assert there.get_left_ms((SERVER, 1)) == WARM_UP_MS
    await clock.sleep(100)
    _record(here, WARM_UP_MS, _PATH)
    assert here.take_unreported() == []
    await clock.sleep(300)
    _record(here, WARM_UP_MS, _PATH)
    there.apply(here.take_unreported())
    assert there.get_left_ms((SERVER, 1)) == WARM_UP_MS
    _record(there, WARM_UP_MS, _PATH)
    assert there.take_unreported() == []
    there.report_again()
    (report,) = there.take_unreported()
    assert (report.server, report.left_ms) == (SERVER, WARM_UP_MS)


class _Coordinator(limits.PermitSource):
    """Issuer in the same process, reached after a network delay."""

    def __init__(self, clock):
        self._clock = clock
        own = testing.make_permits(clock).limits
        self.issuer = limits.PermitIssuer(limits=own, clock=clock)
        self.is_reachable = True

    async def request_permit(self, incarnation, **options):
        await self._clock.sleep(20)
        if not self.is_reachable:
            await self._clock.sleep(300)
            return None
        options["named_rate"] = options.pop("rate")
        reservation = self.issuer.reserve(incarnation, **options)
        await self._clock.sleep(20)
        return reservation


def _count_most(times):
    return max(
        (sum(at <= t < at + base.MS_PER_S for t in times) for at in times),
        default=0,
    )


class _Fleet:
    """Instances that all have requests for one cold server."""

    def __init__(self, *, count, per_s, seconds, learn_within_ms=0):
        self.clock = testing.ManualClock()
        self.rng = random.Random(7)
        self.coordinators = [_Coordinator(self.clock) for _ in range(2)]
        self.permits = [
            testing.make_permits(self.clock, instances=count, rank=rank)
            for rank in range(count)
        ]
        self.sent = []
        self._per_s = per_s
        self._ends_at = seconds * base.MS_PER_S
        self._learn_within_ms = learn_within_ms
        for permits in self.permits:
            permits.source = self.coordinators[0]

    async def _send_all(self, permits, group):
        await self.clock.sleep(self.rng.randint(0, self._learn_within_ms))
        _record(permits.limits.cold, 2 * self._ends_at, _PATH)
        while self.clock.now() < self._ends_at:
            pause_s = self.rng.expovariate(self._per_s / len(self.permits))
            await self.clock.sleep(int(pause_s * base.MS_PER_S))
            group.create_task(self._send(permits))

    async def _send(self, permits):
        reservation = await permits.acquire(
            (SERVER, 1), max_wait_ms=self.rng.choice([0, 700])
        )
        if reservation.is_granted:
            await self.clock.sleep(reservation.wait_ms)
            self.sent.append(self.clock.now())

    async def run(self, *changes):
        async with asyncio.TaskGroup() as group:
            for permits in self.permits:
                group.create_task(self._send_all(permits, group))
            for at_ms, change in changes:
                await self.clock.sleep(at_ms - self.clock.now())
                change(self)


def _split(fleet):
    """Let half of the instances follow a second coordinator."""
    for permits in fleet.permits[::2]:
        permits.source = fleet.coordinators[1]


def _change(fleet):
    """Replace the coordinator, which has issued slots in advance."""
    fleet.coordinators[0] = _Coordinator(fleet.clock)
    for permits in fleet.permits:
        permits.source = fleet.coordinators[0]


def _lose(fleet):
    for permits in fleet.permits:
        permits.source = None


def _silence(fleet):
    for coordinator in fleet.coordinators:
        coordinator.is_reachable = False


def _cut_some(fleet):
    """Leave two coordinators, and a third of the fleet without any."""
    _split(fleet)
    for permits in fleet.permits[::3]:
        permits.source = None


@pytest.mark.parametrize(
    "changes",
    [
        (),
        ((5_000, _split),),
        ((5_000, _change), (5_300, _change), (9_000, _change)),
        ((5_000, _lose),),
        ((5_000, _silence),),
        ((5_000, _cut_some),),
        ((5_000, _cut_some), (9_000, _lose), (30_000, _change)),
    ],
)
@pytest.mark.parametrize("count", [3, 66])
@manual.on_manual_time
async def test_cold_server_gets_no_more_than_its_bound(count, changes):
    """Guards against a crash by requests of many instances in one second."""
    fleet = _Fleet(count=count, per_s=60, seconds=45, learn_within_ms=1_000)
    await fleet.run(*changes)
    assert _count_most(fleet.sent) <= BOUND
    assert len(fleet.sent) >= 0.5 * COLD_RATE * 5


@manual.on_manual_time
async def test_lower_of_limit_and_cold_rate_is_kept():
    """Guards against an issuer that knows only one of the two rates."""
    clock = testing.ManualClock()
    for known, stated, is_cold, expected in [
        (None, 4.6, True, 4.6),
        (20.0, 4.6, True, 4.6),
        (2.0, 4.6, True, 2.0),
        (20.0, 50.0, False, 20.0),
    ]:
        own = testing.make_permits(clock).limits
        own.record_response((SERVER, 1), known)
        issuer = limits.PermitIssuer(limits=own, clock=clock)
        slots = [
            issuer.reserve(
                (SERVER, 1),
                named_rate=stated,
                max_wait_ms=60_000,
                is_cold=is_cold,
            ).wait_ms
            for _ in range(11)
        ]
        assert slots[-1] - slots[0] == pytest.approx(10_000 / expected, abs=2)


@manual.on_manual_time
async def test_restart_while_cold_has_the_slots_of_one_server():
    """Guards against slots for both starts of a server at the same time."""
    clock = testing.ManualClock()
    own = testing.make_permits(clock).limits
    issuer = limits.PermitIssuer(limits=own, clock=clock)
    waits = [
        issuer.reserve(
            (SERVER, number % 2),
            named_rate=4.6,
            max_wait_ms=60_000,
            is_cold=True,
        ).wait_ms
        for number in range(24)
    ]
    assert waits[-1] - waits[0] == pytest.approx(23_000 / 4.6, abs=2)
