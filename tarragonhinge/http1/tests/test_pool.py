"""Reuse of idle connections to a server."""

import pytest

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge import testing


class _Connection:
    def __init__(self, clock, keep_alive_ms):
        self.used_at = clock.now()
        self.keep_alive_ms = keep_alive_ms

    def has_ended_early(self, idle_ms):
        return False

    def is_reusable(self):
        return True

    def close(self):
        pass


class _Pool(http1.ConnectionPool):
    keep_alive_ms = None

    async def _open(self, *, timeout_ms):
        return _Connection(self._clock, self.keep_alive_ms)


def _reuses(keep_alive_ms, idle_ms, *, fresh, forgotten_ms=0, later_ms=0):
    async def run():
        clock = testing.ManualClock()
        pool = _Pool(address=base.Address("h:1"), clock=clock, limit=4)
        pool.keep_alive_ms = keep_alive_ms
        if forgotten_ms:
            pool.record_forgotten(idle_ms=forgotten_ms)
        await clock.sleep(later_ms)
        first = await pool.acquire(fresh=fresh)
        pool.release(first)
        await clock.sleep(idle_ms)
        nonlocal is_reused
        is_reused = await pool.acquire(fresh=fresh) is first

    is_reused = None
    testing.run_manual(run())
    return is_reused


@pytest.mark.parametrize(
    ("keep_alive_ms", "idle_ms", "expected"),
    [
        (None, 3_900, True),
        (None, 4_100, False),
        (1_000, 650, True),
        (1_000, 750, False),
        (10_000, 9_100, True),
        (10_000, 9_300, False),
    ],
)
def test_connection_is_reused_while_the_server_keeps_it(
    keep_alive_ms, idle_ms, expected
):
    """Guards against resets, and against new connections without need."""
    assert _reuses(keep_alive_ms, idle_ms, fresh=False) is expected


@pytest.mark.parametrize(
    ("forgotten_ms", "idle_ms", "later_ms", "expected"),
    [
        (0, 900, 0, True),
        (400, 300, 0, True),
        (400, 350, 0, False),
        # The server forgets connections only at times.
        (400, 900, 31_000, True),
        # A reset at once has another reason.
        (100, 900, 0, True),
    ],
)
def test_server_that_forgets_connections_gets_new_ones(
    forgotten_ms, idle_ms, later_ms, expected
):
    """Guards against unknown outcomes of requests that run once only."""
    is_reused = _reuses(
        10_000,
        idle_ms,
        fresh=True,
        forgotten_ms=forgotten_ms,
        later_ms=later_ms,
    )
    assert is_reused is expected


@pytest.mark.parametrize(
    ("idle", "uses_reserve", "is_opened"),
    [(0, False, False), (0, True, True), (1, False, True), (7, False, True)],
)
def test_pools_share_a_budget(idle, uses_reserve, is_opened):
    """Guards against connections to many servers that take all descriptors."""

    async def run():
        clock = testing.ManualClock()
        budget = http1.ConnectionBudget(limit=8)
        pools = [
            _Pool(
                address=base.Address(f"h:{number}"),
                clock=clock,
                limit=8,
                budget=budget,
            )
            for number in range(8)
        ]
        connections = [await pool.acquire(fresh=True) for pool in pools[:7]]
        for pool, connection in zip(pools[:idle], connections, strict=False):
            pool.release(connection)
        if is_opened:
            await pools[7].acquire(fresh=True, uses_reserve=uses_reserve)
            # The one that has been idle for the longest time made room.
            assert not pools[0].has_idle(fresh=True)
            assert sum(p.has_idle(fresh=True) for p in pools) == max(
                0, idle - 1
            )
        else:
            with pytest.raises(http1.ConnectionBudgetError):
                await pools[7].acquire(fresh=True)
        assert budget.open_count == 7 + uses_reserve

    testing.run_manual(run())
