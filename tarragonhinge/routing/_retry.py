"""Retry policy: conditions, backoff and budget."""

import dataclasses
import random

from tarragonhinge import base

#: Upper bound of the backoff before the first retry; its mean is half.
BACKOFF_BASE_MS = 20

#: Upper bound of the backoff before any retry.
BACKOFF_LIMIT_MS = 250

#: Maximum number of tokens in the retry budget of a service.
RETRY_BURST = 10

#: Maximum number of resends of a request whose leader was lost.
RESEND_LIMIT = 2

#: Refusals after which another instance may accept the request.  Since the
#: request has not reached a server, its retry does not use the budget.
REDIRECT_REASONS = frozenset(
    {
        base.NotRunReason.NOT_LEADER,
        base.NotRunReason.NO_LEADER,
    }
)

#: Other refusals after which a retry may succeed within the deadline.
RETRIABLE_REFUSALS = frozenset(
    {
        base.NotRunReason.FENCED,
        base.NotRunReason.MOVING,
        base.NotRunReason.NO_AUTHORITY,
        base.NotRunReason.SERVER_SHED,
        base.NotRunReason.SERVER_UNREACHABLE,
    }
)

#: Reasons of unknown outcomes after which idempotent requests are retried.
RETRIABLE_UNKNOWN_REASONS = frozenset(
    {
        base.UnknownReason.ANSWER_CUT,
        base.UnknownReason.ANSWER_LOST,
    }
)


class RetryBudget:
    """Token bucket that each request credits with a fraction of a token.

    Parameters
    ----------
    burst : int
        Initial and maximum number of tokens.

    Examples
    --------
    >>> budget = RetryBudget(burst=1)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.earn(0.5), budget.earn(0.5), budget.take()
    (None, None, True)
    """

    def __init__(self, *, burst: int = RETRY_BURST) -> None:
        self._burst = burst
        self._tokens = float(burst)

    def earn(self, ratio: float) -> None:
        """Credit the budget for one request of a caller."""
        self._tokens = min(self._tokens + ratio, self._burst)

    def take(self) -> bool:
        """Take a token for one retry; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempts:
    """State of the attempts at one request.

    Parameters
    ----------
    idempotent : bool
        True if the request may run more than once.
    has_idempotency_key : bool
        True if the request has an idempotency key, so that leaders run it
        at most once.
    budget : RetryBudget
        Retry budget of the service.
    count : int
        Number of finished attempts.
    resend_count : int
        Number of attempts whose leader was lost.
    first_unknown : Unknown or None
        First unknown outcome of an attempt.
    """

    idempotent: bool
    has_idempotency_key: bool
    budget: RetryBudget
    count: int = 0
    resend_count: int = 0
    first_unknown: base.Unknown | None = None

    def should_retry(self, outcome: base.Outcome) -> bool:
        """Count an attempt and return whether to retry the request."""
        self.count += 1
        if isinstance(outcome, base.NotRun):
            if outcome.reason in REDIRECT_REASONS:
                return True
            return outcome.reason in RETRIABLE_REFUSALS and self.budget.take()
        if isinstance(outcome, base.Unknown):
            self.first_unknown = self.first_unknown or outcome
            return self._should_retry_unknown(outcome.reason)
        return False

    def _should_retry_unknown(self, reason: base.UnknownReason) -> bool:
        if reason is base.UnknownReason.LEADER_LOST:
            # Resends do not use the budget, since it would leave most
            # requests of a lost leader unanswered.
            self.resend_count += 1
            repeatable = self.idempotent or self.has_idempotency_key
            return repeatable and self.resend_count <= RESEND_LIMIT
        return (
            self.idempotent
            and reason in RETRIABLE_UNKNOWN_REASONS
            and self.budget.take()
        )

    def combine_outcomes(self, outcome: base.Outcome) -> base.Outcome:
        """Return the outcome of all attempts.

        A refusal of the last attempt does not prove that an earlier attempt
        did not run.
        """
        if isinstance(outcome, base.NotRun) and self.first_unknown is not None:
            return self.first_unknown
        return outcome

    def draw_backoff_ms(self, rng: random.Random) -> int:
        """Return an exponential backoff with full jitter, in milliseconds."""
        doublings = min(self.count - 1, 10)
        limit_ms = min(BACKOFF_BASE_MS * 2**doublings, BACKOFF_LIMIT_MS)
        return rng.randint(1, limit_ms)
