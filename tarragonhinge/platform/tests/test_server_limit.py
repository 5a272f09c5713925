"""All instances together respect the limit that a server names."""

import asyncio
import time

import pytest

from tarragonhinge.platform.tests import deployment

#: Window of the rule LIMIT, in seconds, and what it allows in that time.
WINDOW_S = 4.0
ALLOWED_RATIO, ALLOWED_MORE = 1.5, 5


def _count_most(arrivals, since):
    """Return the largest number of arrivals in any window."""
    times = [at for at, _ in arrivals if at >= since]
    return max(
        (sum(at <= t < at + WINDOW_S for t in times) for at in times),
        default=0,
    )


def _make_target(number):
    return f"/x/{number}", number * 7919 % 65_536


@pytest.mark.parametrize("is_keyed", [False, True])
@pytest.mark.parametrize(
    ("limit", "instances", "servers"),
    [("2", 3, 3), ("2", 3, 1), ("1.3", 8, 1)],
)
def test_instances_together_respect_limit(limit, instances, servers, is_keyed):
    async def run():
        async with deployment.Deployment(
            instances=instances, servers=servers, is_keyed=is_keyed
        ) as fleet:
            limited = fleet.servers[0]
            limited.limit = limit
            await fleet.repeat(_make_target, seconds=1.0, every_ms=33)
            since = time.monotonic()
            await fleet.repeat(_make_target, seconds=6.0, every_ms=33)
            most = _count_most(limited.arrivals, since)
            rate = float(limit)
            assert most <= ALLOWED_RATIO * rate * WINDOW_S + ALLOWED_MORE
            if is_keyed or servers == 1:
                # It gets no less than half of what it takes.
                assert most >= rate * WINDOW_S / 2
                assert set(fleet.list_statuses()) <= {200, 503}
            else:
                # Others have room, so that nobody needs to be refused.
                assert set(fleet.list_statuses()) == {200}

    asyncio.run(run())
