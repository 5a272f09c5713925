"""Adaptive limit of the concurrent requests at a server."""

import math

from tarragonhinge import base

#: Factor applied to the window when the server sheds a request.
DECREASE_FACTOR = 0.5


class ConcurrencyWindow:
    """Concurrency window with additive increase, multiplicative decrease.

    A server that sheds requests is overloaded but not lost: it keeps its
    partitions and at least one slot.  Requests sent before a decrease
    cause no further decrease.  After a restart of the server, the window
    grows linearly to its limit over `ramp_ms`.

    Parameters
    ----------
    limit : int
        Maximum size of the window.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    ramp_ms : int
        Time over which the window of a restarted server grows to its
        limit.
    shed_count : int
        Number of requests that the server has shed.
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
        """Return the number of requests that may run concurrently."""
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
        """Reduce the window to one slot after a restart of the server."""
        self._ramp_at = self._clock.now()

    def record_success(self) -> None:
        """Record a response; a full window of responses adds one slot."""
        self._size = min(self._size, self.limit)
        self._size = min(self.limit, self._size + 1 / max(1, self._size))

    def record_shed(self, *, sent_at: int) -> None:
        """Shrink the window after the server shed a request.

        Parameters
        ----------
        sent_at : int
            Time at which the request was sent.
        """
        self.shed_count += 1
        if sent_at < self._shrunk_at:
            return
        size = min(self._size, self.limit)
        self._size = max(1.0, size * DECREASE_FACTOR)
        self._shrunk_at = self._clock.now()
