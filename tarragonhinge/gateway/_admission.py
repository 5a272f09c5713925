"""How long a request may be expected to take, and when to come back.

Answers sustained overload: a request is admitted only while it is
expected to end within its objective, so that the queues at servers stay
short and most of what runs is in time.  A caller that comes back after a
refusal is admitted up to a later end than a new one, since refusing it
again loses it for good.
"""

import random

#: Part of the objective within which a new request must be expected to
#: end; the rest covers the error of the estimate.
NEW_PART = 1.0

#: The same for a caller that comes back.
RETURN_PART = 1.3

#: Part of the time left that an expected end may use.
DEADLINE_PART = 0.85

#: A request whose deadline is below this part of the usual one is taken
#: to come back after a refusal.
RETURN_DEADLINE_PART = 0.97

#: Shortest and longest time to come back.
RETRY_MIN_MS = 150
RETRY_MAX_MS = 3_000

#: Times to come back are spread by up to this factor.
RETRY_SPREAD = 1.6


class UsualDeadline:
    """The deadline that callers of a route state at first."""

    def __init__(self) -> None:
        self._longest_ms = 0

    def is_return(self, deadline_ms: int) -> bool:
        """Learn a deadline; return whether it is of a later attempt."""
        self._longest_ms = max(self._longest_ms, deadline_ms)
        return deadline_ms < RETURN_DEADLINE_PART * self._longest_ms


def compute_limit_ms(
    *, objective_ms: float, left_ms: float, is_return: bool
) -> float:
    """Return the expected time up to which a request is admitted.

    Examples
    --------
    >>> compute_limit_ms(objective_ms=800, left_ms=5000, is_return=False)
    800.0
    >>> compute_limit_ms(objective_ms=800, left_ms=400, is_return=True)
    340.0
    """
    part = RETURN_PART if is_return else NEW_PART
    return min(part * objective_ms, DEADLINE_PART * left_ms)


def compute_retry_ms(
    *, expected_ms: float, limit_ms: float, rng: random.Random
) -> int:
    """Return when there will be room, spread over the callers.

    Parameters
    ----------
    expected_ms : float
        Time that the request would take now.
    limit_ms : float
        Time up to which it would be admitted.
    rng : random.Random
        Source of the spread.
    """
    excess_ms = max(RETRY_MIN_MS, expected_ms - limit_ms)
    spread_ms = excess_ms * rng.uniform(1.0, RETRY_SPREAD)
    return int(min(RETRY_MAX_MS, spread_ms))
