"""Share of a cold server's rate at an instance without a coordinator."""

import math

from tarragonhinge import base
from tarragonhinge.limits import _pacer

#: Part of a turn in which a request may be sent. The rest separates the turns
#: of instances whose clocks differ.
TURN_FRACTION = 0.5


class TurnPacer:
    """Grants one request in each turn of this instance.

    The instances take turns on the wall clock. Equal shares without turns add
    up to one request of each instance in the same second, which is far above
    the rate of a cold server in a large fleet. The first turn is a whole cycle
    away, since the former coordinator may have issued slots.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    rate : float
        Requests per second of all instances together.
    instances : int
        Number of instances.
    rank : int
        Position of this instance among them.
    """

    def __init__(
        self, *, clock: base.Clock, rate: float, instances: int, rank: int
    ) -> None:
        self._clock = clock
        self._turn_ms = base.MS_PER_S / rate
        self._cycle_ms = self._turn_ms * instances
        self._offset_ms = self._turn_ms * (rank % instances)
        self._next_at = clock.read_wall_time() + self._cycle_ms

    def reserve(self, *, max_wait_ms: int) -> _pacer.Reservation:
        """Reserve the next turn if the request can wait for it."""
        now = self._clock.read_wall_time()
        earliest_at = max(now, self._next_at)
        cycles = math.floor((earliest_at - self._offset_ms) / self._cycle_ms)
        begins_at = self._offset_ms + cycles * self._cycle_ms
        if earliest_at >= begins_at + TURN_FRACTION * self._turn_ms:
            begins_at += self._cycle_ms
        start_at = max(earliest_at, begins_at)
        wait_ms = math.ceil(start_at - now)
        if wait_ms > max_wait_ms:
            return _pacer.Reservation(
                is_granted=False,
                wait_ms=wait_ms,
                retry_after_ms=min(wait_ms, _pacer.MAX_RETRY_AFTER_MS),
            )
        self._next_at = begins_at + self._turn_ms
        return _pacer.Reservation(is_granted=True, wait_ms=wait_ms)
