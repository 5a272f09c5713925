"""Timeouts for reading a caller's request."""

import asyncio

from tarragonhinge import base
from tarragonhinge import catalog


class ReadDeadline:
    """Timeouts for reading one request."""

    def __init__(
        self, *, limits: catalog.CallerLimits, has_started: bool
    ) -> None:
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._created_at = self._loop.time()
        self._started_at = self._created_at if has_started else None

    @property
    def has_started(self) -> bool:
        """Whether a byte of the request has been received."""
        return self._started_at is not None

    def start(self) -> None:
        """Record the arrival of the first byte, unless recorded before."""
        if self._started_at is None:
            self._started_at = self._loop.time()

    def compute_timeout_ms(self, *, has_head: bool) -> float:
        """Return the timeout for the next bytes, in milliseconds."""
        if self._started_at is None or has_head:
            return self._limits.idle_timeout_ms
        elapsed_ms = (self._loop.time() - self._started_at) * base.MS_PER_S
        return max(1.0, self._limits.header_timeout_ms - elapsed_ms)

    def compute_idle_ms(self, answered_at: float) -> float:
        """Return what is left of the idle timeout, in milliseconds.

        Parameters
        ----------
        answered_at : float
            Time of the event loop at which the last response was sent.
        """
        since = max(self._created_at, answered_at)
        idle_ms = (self._loop.time() - since) * base.MS_PER_S
        return self._limits.idle_timeout_ms - idle_ms
