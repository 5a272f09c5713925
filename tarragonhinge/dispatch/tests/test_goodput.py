"""Goodput under overload, on a manual clock with seeded arrivals."""

import pytest

from tarragonhinge import testing

#: Required ratio of requests answered in time to the capacity.
MIN_GOODPUT_FRACTION = 0.9

SERVICE_MS = 50
DURATION_MS = 10_000


@pytest.mark.parametrize("high_priority_fraction", [1.0, 0.3])
@pytest.mark.parametrize("overload", [2.0, 3.0])
def test_goodput_stays_high_under_overload(overload, high_priority_fraction):
    async def scenario():
        row = testing.make_row(servers=3, partitions=66)
        deployment = testing.Deployment(row=row)
        for server in deployment.servers.values():
            server.service_ms = SERVICE_MS
        await deployment.start()
        capacity = 3 * row.slots * DURATION_MS / SERVICE_MS
        load = testing.OpenLoad(
            deployment=deployment,
            rate=overload * capacity * 1000 / DURATION_MS,
            high_priority_fraction=high_priority_fraction,
        )
        await load.run(DURATION_MS)
        assert load.count_good() >= MIN_GOODPUT_FRACTION * capacity
        offered_high = sum(s.priority == 1 for s in load.samples)
        if offered_high < MIN_GOODPUT_FRACTION * capacity:
            assert load.count_good(1) >= MIN_GOODPUT_FRACTION * offered_high

    testing.run_manual(scenario())
