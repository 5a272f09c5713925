"""Budget of repeats that all instances share.

Each instance keeps to its part: repeats up to a ratio of its own
requests and an equal part of the fixed allowance.  Summed over the
instances this stays within the whole budget without any message.
"""

import collections

from tarragonhinge import base

#: Number of steps in which the window slides.
STEPS = 20

#: Part of the budget that is used, since the instances' number lags.
USED_PART = 0.75


class RepeatBudget:
    """Repeats of one service at one instance.

    Parameters
    ----------
    ratio, slack : float
        Allowed repeats for each request, and besides for the fleet.
    window_ms : int
        Time over which both are counted.
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
        self._step_ms = max(1, window_ms // STEPS)
        self._clock = clock
        self._steps: collections.deque[list[int]] = collections.deque()
        self.refused = 0

    def _slide(self) -> list[int]:
        """Return the present step: its number, requests and repeats."""
        number = self._clock.now() // self._step_ms
        while self._steps and self._steps[0][0] <= number - STEPS:
            self._steps.popleft()
        if not self._steps or self._steps[-1][0] != number:
            self._steps.append([number, 0, 0])
        return self._steps[-1]

    def record_request(self) -> None:
        """Count a request of a caller."""
        self._slide()[1] += 1

    def take(self, *, instances: int) -> bool:
        """Count a repeat and return True, if it is allowed.

        Parameters
        ----------
        instances : int
            Number of instances that share the budget.
        """
        step = self._slide()
        requests = sum(s[1] for s in self._steps)
        repeats = sum(s[2] for s in self._steps)
        allowed = self._ratio * requests + self._slack / max(1, instances)
        if repeats + 1 > USED_PART * allowed:
            self.refused += 1
            return False
        step[2] += 1
        return True
