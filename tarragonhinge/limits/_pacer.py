"""Rate limiter that spaces requests evenly."""

import math

import msgspec

from tarragonhinge import base

#: Burst size, as the time in which it accumulates at the full rate.
BURST_MS = 100

#: Upper limit of the delay before the retry of a refused request.
MAX_RETRY_AFTER_MS = 3_000


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """Time at which a request may be sent, or a refusal.

    Parameters
    ----------
    is_granted : bool
        Whether the request may be sent after the wait.
    wait_ms : int
        Time until the next free slot, which the request has if granted.
    retry_after_ms : int
        Delay before a retry if the request is refused.
    """

    is_granted: bool
    wait_ms: int
    retry_after_ms: int = 0


class Pacer:
    """Rate limiter with evenly spaced slots, which requests reserve.

    Within any period `t`, there are at most ``rate * (t + BURST_MS) + 1``
    slots. The first one is a whole interval away, so that a new pacer and its
    predecessor keep the rate together.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    rate : float
        Requests per second, above zero.
    """

    def __init__(self, *, clock: base.Clock, rate: float) -> None:
        self._clock = clock
        self._interval_ms = base.MS_PER_S / rate
        self._next_at = clock.now() + self._interval_ms
        # Time of the last retry that a refused request was told.
        self._retry_at = self._next_at

    def set_rate(self, rate: float) -> None:
        """Change the rate of the following slots."""
        interval_ms = base.MS_PER_S / rate
        self._next_at += interval_ms - self._interval_ms
        self._interval_ms = interval_ms

    def reserve(self, *, max_wait_ms: int) -> Reservation:
        """Reserve the next slot if the request can wait for it.

        The retries of refused requests are spaced evenly, too, so that they
        do not come back together.

        Parameters
        ----------
        max_wait_ms : int
            Longest time that the request can wait.
        """
        now = self._clock.now()
        start_at = max(self._next_at, now - BURST_MS)
        wait_ms = max(0.0, start_at - now)
        if wait_ms <= max_wait_ms:
            self._next_at = start_at + self._interval_ms
            return Reservation(is_granted=True, wait_ms=math.ceil(wait_ms))
        self._retry_at = min(
            max(self._retry_at, start_at) + self._interval_ms,
            max(start_at, now + MAX_RETRY_AFTER_MS),
        )
        return Reservation(
            is_granted=False,
            wait_ms=math.ceil(wait_ms),
            retry_after_ms=math.ceil(self._retry_at - now),
        )
