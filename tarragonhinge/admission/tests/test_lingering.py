"""Tests of the bound on lingering requests at a server."""

import asyncio

import pytest

from tarragonhinge import admission
from tarragonhinge import testing


async def _send_requests(slots, clock, until):
    """Run requests one at a time, whenever a slot is free."""
    while clock.now() < until:
        if await slots.acquire(deadline_at=until) is not None:
            await clock.sleep(10)
            continue
        await clock.sleep(100)
        slots.release(service_ms=100)


@pytest.mark.parametrize("ends_ms", [300, 5000, None])
def test_lingering_requests_are_counted_until_they_end(ends_ms):
    """The count is exact although own requests run all the time.

    Own requests are part of the reported totals, so that no total reaches
    zero by chance.
    """

    async def scenario():
        clock = testing.ManualClock()
        slots = admission.ServerSlots(slots=2, queue=10, clock=clock)
        slots.count_inherited(1)
        senders = [
            asyncio.create_task(_send_requests(slots, clock, 20_000))
            for _ in range(3)
        ]
        own_ms = 0
        while clock.now() < 20_000:
            await clock.sleep(250)
            lingering = ends_ms is None or clock.now() < ends_ms
            assert slots.running + lingering <= 2
            own_ms += 250 * bool(slots.running)
            slots.take_report(
                slots.running + lingering,
                sent_at=clock.now(),
                incarnation="a",
            )
            if 15_000 <= clock.now() < 18_000:
                assert len(slots.lingering) == (ends_ms is None)
        assert own_ms >= 0.9 * 20_000
        await asyncio.gather(*senders)

    testing.run_manual(scenario())
