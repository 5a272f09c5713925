"""Token bucket for rate limits."""

import math

from tarragonhinge import base

#: Burst size, as the time in which it accumulates at the full rate.
BURST_MS = 100

#: Tolerated rounding error of the number of tokens.
TOKEN_ROUNDING_ERROR = 1e-6


class TokenBucket:
    """Limits the rate of units, such as requests or bytes, with a short burst.

    The bucket starts empty, so that a new leader and the previous one do not
    exceed the limit together.  Within any period `t` it admits at most
    ``rate * (t + burst_ms)`` units plus one request.

    Parameters
    ----------
    rate : float
        Units per second; infinite for no limit.
    clock : Clock
        This process's clock.
    burst_ms : int
        Burst size, as the time in which it accumulates at the full rate.
    """

    def __init__(
        self, *, rate: float, clock: base.Clock, burst_ms: int = BURST_MS
    ) -> None:
        self.rate = rate
        self._clock = clock
        self._burst_ms = burst_ms
        self._tokens = 0.0
        self._refilled_at = clock.now()

    def set_rate(self, rate: float) -> None:
        """Change the rate; tokens earned so far are added at the old rate."""
        if rate != self.rate:
            self._refill()
            self.rate = rate
            self._tokens = min(self._tokens, self._compute_burst())

    def _compute_burst(self) -> float:
        return max(1.0, self.rate * self._burst_ms / base.MS_PER_S)

    def _refill(self) -> None:
        now = self._clock.now()
        elapsed_ms = now - self._refilled_at
        self._refilled_at = now
        if math.isinf(self.rate):
            return
        earned = self.rate * elapsed_ms / base.MS_PER_S
        self._tokens = min(self._compute_burst(), self._tokens + earned)

    def take(self, units: int = 1, *, reserved: float = 0.0) -> int:
        """Take tokens; return 0, or the time to wait in milliseconds.

        Parameters
        ----------
        units : int
            Tokens to take.  A request for more units than the burst size
            is admitted once the bucket is full, and leaves a debt.
        reserved : float
            Fraction of the burst size that must remain in the bucket.
        """
        self._refill()
        if math.isinf(self.rate):
            return 0
        if not self.rate:
            return base.MS_PER_S
        burst = self._compute_burst()
        needed = min(units + reserved * burst, burst)
        missing = needed - self._tokens
        if missing <= TOKEN_ROUNDING_ERROR:
            self._tokens -= units
            return 0
        return math.ceil(missing * base.MS_PER_S / self.rate)

    def charge(self, units: int) -> None:
        """Take tokens unconditionally; a debt delays later requests."""
        self._refill()
        if not math.isinf(self.rate):
            self._tokens -= units

    def dump(self) -> dict:
        """Return the rate and the number of tokens for operators."""
        return {"rate": self.rate, "tokens": round(self._tokens, 1)}
