"""How long work takes now, as load reports state it."""

import pytest

from tarragonhinge.balancing import _server_load
from tarragonhinge.balancing import _work_speed
from tarragonhinge import jobs
from tarragonhinge import testing


@pytest.mark.parametrize(
    ("reports", "at_ms", "low", "high"),
    [
        ([], 0, 1.0, 1.0),
        ([(0, 100), (50, 100)], 60, 1.0, 1.0),
        # Neighbours take the processor: seen at once, forgotten soon.
        ([(0, 100), (50, 300)], 50, 2.6, 3.0),
        ([(0, 100), (50, 300)], 800, 1.0, 1.2),
        ([(0, 300), (400, 100)], 400, 0.9, 1.0),
        # A machine that is always slow has latencies that say so.
        ([(ms, 200) for ms in range(0, 10_000, 100)], 10_000, 0.98, 1.05),
    ],
)
def test_factor_follows_reports(reports, at_ms, low, high):
    """Guards against a busy machine that is seen only when it is over."""
    speed = _work_speed.WorkSpeed()
    for reported_at, percent in reports:
        speed.record(reported_at, percent)
    assert low <= speed.get_factor(at_ms) <= high


def test_changes_of_work_alone_are_not_published():
    """Guards against messages to all instances for each response.

    They doubled the bytes between regions on days with 66 instances.
    """

    async def run():
        load = _server_load.ServerLoad(
            slots=6,
            service_time=_server_load.ServiceTime(),
            clock=testing.ManualClock(),
        )
        published = []
        for percent in (100, 300, 100, 300):
            load.record_response(
                latency_ms=300,
                load=jobs.ReportedLoad(
                    running=2, waiting=0, slots=6, work_percent=percent
                ),
                failed=False,
            )
            published.append(load.take_observed_load())
        return published

    assert testing.run_manual(run()) == [None] * 4
