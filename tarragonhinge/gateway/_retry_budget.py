"""Retry budget that all instances share.

Each instance limits its retries to a ratio of its own requests plus an
equal share of a fixed allowance for all instances (`slack`).  The sum over
all instances stays within the whole budget without communication between
them.
"""

import collections

from tarragonhinge import base

#: Number of steps into which the sliding window is divided.
WINDOW_STEPS = 20

#: Fraction of the budget that may be used; the rest is a margin, since the
#: reported number of instances lags behind the actual one.
USABLE_FRACTION = 0.75


class RetryBudget:
    """Limits the retries of one service at one instance.

    Parameters
    ----------
    ratio : float
        Number of retries allowed per request.
    slack : float
        Number of retries allowed within the window in addition, for all
        instances together.
    window_ms : int
        Time window over which requests and retries are counted.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: int,
        clock: base.Clock,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._step_ms = max(1, window_ms // WINDOW_STEPS)
        self._clock = clock
        self._steps: collections.deque[list[int]] = collections.deque()
        self.refused = 0

    def _advance_window(self) -> list[int]:
        """Drop steps outside the window and return the current one.

        A step is a list of its number, its requests and its retries.
        """
        number = self._clock.now() // self._step_ms
        while self._steps and self._steps[0][0] <= number - WINDOW_STEPS:
            self._steps.popleft()
        if not self._steps or self._steps[-1][0] != number:
            self._steps.append([number, 0, 0])
        return self._steps[-1]

    def record_request(self) -> None:
        """Count a request from a caller."""
        self._advance_window()[1] += 1

    def take(self, *, instances: int) -> bool:
        """Count a retry and return True, if the budget allows it.

        Parameters
        ----------
        instances : int
            Number of instances that share the budget.
        """
        step = self._advance_window()
        requests = sum(counts[1] for counts in self._steps)
        retries = sum(counts[2] for counts in self._steps)
        allowed = self._ratio * requests + self._slack / max(1, instances)
        if retries + 1 > USABLE_FRACTION * allowed:
            self.refused += 1
            return False
        step[2] += 1
        return True
