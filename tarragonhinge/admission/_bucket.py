"""Token bucket."""

import math

from tarragonhinge import base

#: Time for which unused tokens are kept.
BURST_MS = 100

#: Tolerated error of sums of tokens.
ROUNDING = 1e-6


class TokenBucket:
    """Admits so many units a second, with a short burst.

    It begins empty, so that a new leader adds nothing to what its
    predecessor has just admitted.  In any time `t` it admits at most
    ``rate * (t + burst_ms)`` units and one more request.

    Parameters
    ----------
    rate : float
        Units a second; infinite for no limit.
    clock : Clock
        This process's clock.
    burst_ms : int
        Time for which unused tokens are kept.
    """

    def __init__(
        self, *, rate: float, clock: base.Clock, burst_ms: int = BURST_MS
    ) -> None:
        self.rate = rate
        self._clock = clock
        self._burst_ms = burst_ms
        self._tokens = 0.0
        self._filled_at = clock.now()

    def set_rate(self, rate: float) -> None:
        """Change the rate; tokens so far were earned at the old one."""
        if rate != self.rate:
            self._fill()
            self.rate = rate
            self._tokens = min(self._tokens, self._compute_burst())

    def _compute_burst(self) -> float:
        return max(1.0, self.rate * self._burst_ms / base.MS_PER_S)

    def _fill(self) -> None:
        now = self._clock.now()
        elapsed_ms = now - self._filled_at
        self._filled_at = now
        if math.isinf(self.rate):
            return
        earned = self.rate * elapsed_ms / base.MS_PER_S
        self._tokens = min(self._compute_burst(), self._tokens + earned)

    def take(self, units: int = 1, *, reserved: float = 0.0) -> int:
        """Take tokens; return 0, or how long to wait, in milliseconds.

        Parameters
        ----------
        units : int
            Tokens to take.  A request of more units than there can be
            is admitted once the bucket is full, and leaves a debt.
        reserved : float
            Part of a burst that has to be left.
        """
        self._fill()
        if math.isinf(self.rate):
            return 0
        if not self.rate:
            return base.MS_PER_S
        burst = self._compute_burst()
        needed = min(units + reserved * burst, burst)
        missing = needed - self._tokens
        if missing <= ROUNDING:
            self._tokens -= units
            return 0
        return math.ceil(missing * base.MS_PER_S / self.rate)

    def charge(self, units: int) -> None:
        """Take tokens in any case; a debt holds later requests back."""
        self._fill()
        if not math.isinf(self.rate):
            self._tokens -= units

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        return {"rate": self.rate, "tokens": round(self._tokens, 1)}
