"""Which attempts are repeated, how soon, and how many."""

import dataclasses
import random

from tarragonhinge import base

#: Mean pause before the first repeat is half of this.
PAUSE_MS = 20

#: Longest pause before a repeat.
PAUSE_LIMIT_MS = 250

#: Retries that a service has saved up at most.
BURST = 10

#: Times that a request of a lost leader is sent on.
RESEND_LIMIT = 2

#: Refusals after which another instance may take the request.  None of
#: them reached a server, so they cost none of the budget.
REDIRECTS = frozenset(
    {
        base.NotRunReason.NOT_LEADER,
        base.NotRunReason.NO_LEADER,
    }
)

#: Refusals after which the same request may succeed within its deadline.
RETRIED = frozenset(
    {
        base.NotRunReason.FENCED,
        base.NotRunReason.MOVING,
        base.NotRunReason.NO_AUTHORITY,
        base.NotRunReason.SERVER_SHED,
        base.NotRunReason.SERVER_UNREACHABLE,
    }
)

#: What an idempotent request is repeated after.
REPEATED = frozenset(
    {
        base.UnknownReason.ANSWER_CUT,
        base.UnknownReason.ANSWER_LOST,
    }
)


class RetryBudget:
    """Token bucket that each request fills by a fraction.

    Parameters
    ----------
    burst : int
        Tokens at the start and at most.

    Examples
    --------
    >>> budget = RetryBudget(burst=1)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.earn(0.5), budget.earn(0.5), budget.take()
    (None, None, True)
    """

    def __init__(self, *, burst: int = BURST) -> None:
        self._burst = burst
        self._tokens = float(burst)

    def earn(self, ratio: float) -> None:
        """Count a request of a caller."""
        self._tokens = min(self._tokens + ratio, self._burst)

    def take(self) -> bool:
        """Take the token of one retry; False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempts:
    """Attempts at one request.

    Parameters
    ----------
    idempotent : bool
        True if the request may be run again.
    keyed : bool
        True if leaders run it at most once.
    budget : RetryBudget
        The service's budget.
    """

    idempotent: bool
    keyed: bool
    budget: RetryBudget
    count: int = 0
    resent: int = 0
    maybe_run: base.Unknown | None = None

    def may_repeat(self, outcome: base.Outcome) -> bool:
        """Return whether to attempt the request again."""
        self.count += 1
        if isinstance(outcome, base.NotRun):
            if outcome.reason in REDIRECTS:
                return True
            return outcome.reason in RETRIED and self.budget.take()
        if isinstance(outcome, base.Unknown):
            self.maybe_run = self.maybe_run or outcome
            return self._may_resend(outcome.reason)
        return False

    def _may_resend(self, reason: base.UnknownReason) -> bool:
        if reason is base.UnknownReason.LEADER_LOST:
            # A budget would leave most of the requests of a lost leader
            # without an answer.
            self.resent += 1
            repeatable = self.idempotent or self.keyed
            return repeatable and self.resent <= RESEND_LIMIT
        return self.idempotent and reason in REPEATED and self.budget.take()

    def conclude(self, outcome: base.Outcome) -> base.Outcome:
        """Return the outcome of all attempts together.

        A refusal of the last attempt proves nothing about an earlier
        one.
        """
        if isinstance(outcome, base.NotRun) and self.maybe_run is not None:
            return self.maybe_run
        return outcome

    def draw_pause_ms(self, rng: random.Random) -> int:
        """Return a pause with full jitter that grows with each attempt."""
        doublings = min(self.count - 1, 10)
        limit_ms = min(PAUSE_MS * 2**doublings, PAUSE_LIMIT_MS)
        return rng.randint(1, limit_ms)
