"""Requests that a stopping instance admits."""

import pytest

from tarragonhinge.gateway import _shutdown
from tarragonhinge import testing

KILL_AFTER_MS = 6_000


@pytest.mark.parametrize(
    ("elapsed_ms", "timeout_ms", "is_admitted"),
    [
        # The load balancer may not have noticed the stop yet.
        (0, 5_000, True),
        (1_900, 5_000, True),
        # The request could still be running when the process is killed.
        (3_000, 5_000, False),
        (3_200, 5_000, False),
        (5_500, 400, False),
        # The response is due before that.
        (3_000, 2_500, True),
        (5_000, 400, True),
    ],
)
def test_stop_admits_requests_that_it_can_finish(
    elapsed_ms, timeout_ms, is_admitted
):
    async def run():
        clock = testing.ManualClock()
        shutdown = _shutdown.Shutdown(kill_after_ms=KILL_AFTER_MS, clock=clock)
        shutdown.begin()
        await clock.sleep(elapsed_ms)
        assert shutdown.admits(clock.now() + timeout_ms) is is_admitted

    testing.run_manual(run())


def test_running_instance_admits_all_requests():
    async def run():
        clock = testing.ManualClock()
        shutdown = _shutdown.Shutdown(kill_after_ms=KILL_AFTER_MS, clock=clock)
        await clock.sleep(10 * KILL_AFTER_MS)
        assert shutdown.admits(clock.now() + 10 * KILL_AFTER_MS)

    testing.run_manual(run())


@pytest.mark.parametrize("kill_after_ms", [200, 1_000, 6_000, 30_000])
def test_notice_ends_before_requests_are_aborted(kill_after_ms):
    async def run():
        clock = testing.ManualClock()
        shutdown = _shutdown.Shutdown(kill_after_ms=kill_after_ms, clock=clock)
        shutdown.begin()
        while not shutdown.is_time_up():
            await clock.sleep(10)
        assert shutdown.is_notice_over()
        assert shutdown.compute_elapsed_ms() < kill_after_ms

    testing.run_manual(run())
