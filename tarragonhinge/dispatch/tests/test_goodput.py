"""Goodput under overload, on manual time with seeded arrivals."""

import pytest

from tarragonhinge import testing

#: Target: part of the capacity that is answered in time under overload.
TARGET = 0.9

SERVICE_MS = 50
DURATION_MS = 10_000


@pytest.mark.parametrize("high_part", [1.0, 0.3])
@pytest.mark.parametrize("overload", [2.0, 3.0])
def test_goodput_stays_high_under_overload(overload, high_part):
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
            high_part=high_part,
        )
        await load.run(DURATION_MS)
        assert load.count_good() >= TARGET * capacity
        offered_high = sum(s.priority == 1 for s in load.samples)
        if offered_high < TARGET * capacity:
            assert load.count_good(1) >= TARGET * offered_high

    testing.run_manual(scenario())
