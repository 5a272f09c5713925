"""How many requests a server is trusted with."""

import math

from tarragonhinge import base

#: Factor of the window after a refusal by the server.
DECREASE = 0.5


class ShedWindow:
    """Additive increase, multiplicative decrease, and a slow start.

    A server that sheds is loaded and not lost: it keeps its partitions
    and at least one slot.  Requests sent before a decrease do not cause
    another one.

    Parameters
    ----------
    limit : int
        Largest size.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    ramp_ms : int
        Time over which a cold server's window grows to its limit.
    """

    def __init__(self, *, limit: int, clock: base.Clock) -> None:
        self.limit = limit
        self.ramp_ms = 0
        self.shed_count = 0
        self._clock = clock
        self._size = math.inf
        self._shrunk_at = clock.now()
        self._ramp_at: int | None = None

    def compute_size(self) -> int:
        """Return how many requests may run at once."""
        size = min(self._size, self.limit)
        if self._ramp_at is not None:
            size = min(size, self._compute_ramp())
        return max(1, int(size))

    def _compute_ramp(self) -> float:
        elapsed_ms = self._clock.now() - self._ramp_at
        if elapsed_ms >= self.ramp_ms:
            self._ramp_at = None
            return math.inf
        return self.limit * elapsed_ms / self.ramp_ms

    def start_ramp(self) -> None:
        """Begin anew with one slot: the server is cold."""
        self._ramp_at = self._clock.now()

    def record_success(self) -> None:
        """Grow by one slot for each window of answers."""
        self._size = min(self._size, self.limit)
        self._size = min(self.limit, self._size + 1 / max(1, self._size))

    def record_shed(self, *, sent_at: int) -> None:
        """Shrink after a refusal by the server."""
        self.shed_count += 1
        if sent_at < self._shrunk_at:
            return
        size = min(self._size, self.limit)
        self._size = max(1.0, size * DECREASE)
        self._shrunk_at = self._clock.now()
