"""Token bucket."""

import math

from tarragonhinge import base

#: Time for which unused tokens are kept.
BURST_MS = 100


class TokenBucket:
    """Admits so many units a second, with a short burst.

    It begins empty, so that a new leader adds nothing to what its
    predecessor has just admitted.  In any time `t` it admits at most
    ``rate * (t + BURST_MS)`` units and one more request.

    Parameters
    ----------
    rate : float
        Units a second; infinite for no limit.
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, rate: float, clock: base.Clock) -> None:
        self.rate = rate
        self._clock = clock
        self._tokens = 0.0
        self._filled_at = clock.now()

    def set_rate(self, rate: float) -> None:
        """Change the rate; tokens so far were earned at the old one."""
        if rate != self.rate:
            self._fill()
            self.rate = rate

    def _fill(self) -> None:
        now = self._clock.now()
        elapsed_ms = now - self._filled_at
        self._filled_at = now
        if math.isinf(self.rate):
            return
        burst = max(1.0, self.rate * BURST_MS / base.MS_PER_S)
        earned = self.rate * elapsed_ms / base.MS_PER_S
        self._tokens = min(burst, self._tokens + earned)

    def take(self, units: int = 1) -> int:
        """Take tokens; return 0, or how long to wait, in milliseconds.

        A request of more units than a burst is admitted once the bucket
        is full and leaves a debt.
        """
        self._fill()
        if math.isinf(self.rate):
            return 0
        if not self.rate:
            return base.MS_PER_S
        burst = max(1.0, self.rate * BURST_MS / base.MS_PER_S)
        missing = min(float(units), burst) - self._tokens
        if missing <= 1e-9:
            self._tokens -= units
            return 0
        return math.ceil(missing * base.MS_PER_S / self.rate)
