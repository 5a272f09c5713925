"""Reservations keep the rate, however requests arrive."""

import random

import pytest

from tarragonhinge import limits
from tarragonhinge.limits.tests import manual
from tarragonhinge import testing

WINDOW_MS = 4_000


def _count_most(times):
    return max(sum(at <= t < at + WINDOW_MS for t in times) for at in times)


@pytest.mark.parametrize("rate", [0.25, 1.3, 2.0, 40.0])
@pytest.mark.parametrize("arrivals_per_s", [0.5, 5.0, 200.0])
@pytest.mark.parametrize("max_wait_ms", [0, 300])
@manual.on_manual_time
async def test_rate_is_kept_and_used(rate, arrivals_per_s, max_wait_ms):
    clock = testing.ManualClock()
    rng = random.Random(1)
    pacer = limits.Pacer(clock=clock, rate=rate)
    sent = []
    while clock.now() < 60_000:
        await clock.sleep(max(1, int(rng.expovariate(arrivals_per_s) * 1000)))
        reservation = pacer.reserve(max_wait_ms=max_wait_ms)
        if reservation.is_granted:
            sent.append(clock.now() + reservation.wait_ms)
        else:
            assert (
                reservation.retry_after_ms >= reservation.wait_ms > max_wait_ms
            )
    burst = rate * limits.BURST_MS / 1000
    assert _count_most(sent) <= rate * WINDOW_MS / 1000 + burst + 1
    # Without a queue, a slot is lost whenever no request comes in time.
    offered = min(rate, arrivals_per_s)
    assert len(sent) >= 0.5 * offered * 60


@manual.on_manual_time
async def test_first_slot_is_one_interval_away():
    """A new coordinator and the former one keep the limit together."""
    clock = testing.ManualClock()
    pacer = limits.Pacer(clock=clock, rate=2.0)
    assert not pacer.reserve(max_wait_ms=0).is_granted
    await clock.sleep(500)
    assert pacer.reserve(max_wait_ms=0).is_granted


@manual.on_manual_time
async def test_retries_of_refused_requests_are_spaced():
    clock = testing.ManualClock()
    pacer = limits.Pacer(clock=clock, rate=2.0)
    delays = [pacer.reserve(max_wait_ms=0).retry_after_ms for _ in range(9)]
    assert delays == [1000, 1500, 2000, 2500, *[3000] * 5]


@manual.on_manual_time
async def test_wait_is_limited_by_request():
    clock = testing.ManualClock()
    pacer = limits.Pacer(clock=clock, rate=2.0)
    assert pacer.reserve(max_wait_ms=600).wait_ms == 500
    assert not pacer.reserve(max_wait_ms=600).is_granted
    assert pacer.reserve(max_wait_ms=1_000).wait_ms == 1_000


@pytest.mark.parametrize(
    ("new_rate", "expected_ms"), [(1.0, 1_000), (4.0, 250)]
)
@manual.on_manual_time
async def test_changed_rate_holds_from_the_next_slot_on(new_rate, expected_ms):
    clock = testing.ManualClock()
    pacer = limits.Pacer(clock=clock, rate=2.0)
    pacer.set_rate(new_rate)
    assert pacer.reserve(max_wait_ms=5_000).wait_ms == expected_ms
