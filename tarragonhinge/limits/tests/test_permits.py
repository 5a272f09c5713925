"""Permits of all instances together keep a server's limit."""

import pytest

from tarragonhinge import base
from tarragonhinge import limits
from tarragonhinge.limits.tests import manual
from tarragonhinge import testing

SERVER = (base.ServerId("s1"), 1)
REBORN = (base.ServerId("s1"), 2)


class _Issuer(limits.PermitSource):
    """Issuer in the same process that may be out of reach."""

    def __init__(self, clock):
        known = limits.ServerLimits(log=testing.make_event_log(clock))
        self.issuer = limits.PermitIssuer(limits=known, clock=clock)
        self.is_reachable = True
        self.asked = 0

    async def request_permit(
        self, incarnation, *, rate, max_wait_ms, is_cold=False
    ):
        self.asked += 1
        if not self.is_reachable:
            return None
        return self.issuer.reserve(
            incarnation,
            named_rate=rate,
            max_wait_ms=max_wait_ms,
            is_cold=is_cold,
        )


def _make_instances(clock, *, count, rate, issuer=None):
    instances = []
    for _ in range(count):
        permits = testing.make_permits(clock, instances=count)
        permits.limits.record_response(SERVER, rate)
        permits.source = issuer
        instances.append(permits)
    return instances


async def _count_granted(clock, instances, *, seconds, per_s):
    granted = 0
    for number in range(seconds * per_s):
        await clock.sleep(1000 // per_s)
        permits = instances[number % len(instances)]
        reservation = await permits.acquire(SERVER, max_wait_ms=0)
        granted += reservation.is_granted
    return granted


@pytest.mark.parametrize("is_reachable", [True, False])
@pytest.mark.parametrize("count", [1, 9])
@manual.on_manual_time
async def test_instances_share_one_limit(count, is_reachable):
    clock = testing.ManualClock()
    issuer = _Issuer(clock)
    issuer.is_reachable = is_reachable
    instances = _make_instances(clock, count=count, rate=2.0, issuer=issuer)
    granted = await _count_granted(clock, instances, seconds=60, per_s=20)
    assert 60 <= granted <= 2 * 60 + 1


@manual.on_manual_time
async def test_issuer_that_returns_replaces_the_own_part():
    """What an instance saved up meanwhile is not sent in addition."""

    clock = testing.ManualClock()
    issuer = _Issuer(clock)
    instances = _make_instances(clock, count=9, rate=2.0, issuer=issuer)
    granted = 0
    for is_reachable in (True, False) * 10:
        issuer.is_reachable = is_reachable
        granted += await _count_granted(clock, instances, seconds=2, per_s=20)
    assert granted <= 1.5 * 2 * 40


@manual.on_manual_time
async def test_refused_instance_does_not_ask_again_before_the_next_slot():
    clock = testing.ManualClock()
    issuer = _Issuer(clock)
    (permits,) = _make_instances(clock, count=1, rate=1.0, issuer=issuer)
    for _ in range(10):
        reservation = await permits.acquire(SERVER, max_wait_ms=0)
        assert not reservation.is_granted
        assert reservation.retry_after_ms >= reservation.wait_ms > 0
    assert issuer.asked == 1
    await clock.sleep(1_000)
    assert (await permits.acquire(SERVER, max_wait_ms=0)).is_granted


@pytest.mark.parametrize(
    ("responses", "server", "expected"),
    [
        ([], SERVER, None),
        ([2.0], SERVER, 2.0),
        ([2.0, 5.0], SERVER, 5.0),
        ([2.0, None], SERVER, None),
        ([2.0], REBORN, None),
        ([0.0], SERVER, 0.25),
    ],
)
@manual.on_manual_time
async def test_limit_holds_as_long_as_the_server_says_so(
    responses, server, expected
):
    known = testing.make_permits(testing.ManualClock()).limits
    for rate in responses:
        known.record_response(SERVER, rate)
    assert known.find(server) == expected


@manual.on_manual_time
async def test_changes_are_reported_once_and_applied_by_others():
    clock = testing.ManualClock()
    here = testing.make_permits(clock).limits
    there = testing.make_permits(clock).limits
    here.record_response(SERVER, 2.0)
    there.apply(here.take_unreported())
    assert there.find(SERVER) == 2.0
    here.record_response(SERVER, 2.0)
    assert here.take_unreported() == []
    assert there.take_unreported() == []
    here.record_response(SERVER, None)
    there.apply(here.take_unreported())
    assert there.find(SERVER) is None
