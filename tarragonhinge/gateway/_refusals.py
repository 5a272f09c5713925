"""Final answers of the instance's own.

A status that promises that a request has not run is given only if that
is certain; what may have run ends with 502 or 504.
"""

import dataclasses

from tarragonhinge.gateway import _job
from tarragonhinge.gateway import _outcomes
from tarragonhinge.gateway import _sender
from tarragonhinge import http1

#: Time to come back where nothing tells a better one.
RETRY_DEFAULT_MS = 400


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A final answer without a server's answer.

    Parameters
    ----------
    status : int
        HTTP status; 503 promises that the request has not run.
    reason : str
        Why, for the caller and the log.
    retry_ms : int
        When to come back; 0 for no statement.
    """

    status: int
    reason: str
    retry_ms: int = 0

    @property
    def is_not_run(self) -> bool:
        """Whether the status promises that the request has not run."""
        return self.status in _sender.PROMISES or self.status == 404

    @classmethod
    def after_budget(cls) -> "Refused":
        """Return the refusal of a repeat that the budget forbids."""
        return cls(
            status=503, reason="repeat_budget", retry_ms=RETRY_DEFAULT_MS
        )

    def get_remedy(self) -> str:
        """Return what the caller can do."""
        if self.status == 404:
            return "check host and path against the routes in force"
        if self.is_not_run:
            return "send it again after Retry-After"
        return "find out whether it ran before you send it again"


def describe(outcome: _outcomes.AttemptOutcome) -> str:
    """Return a name of an attempt's outcome for logs and metrics."""
    if isinstance(outcome, _outcomes.Whole):
        return "failed" if outcome.failed else "answered"
    return outcome.cause.value


def conclude(
    job: _job.Job,
    failure: _outcomes.AttemptOutcome | None,
    refused: Refused | None,
) -> http1.HttpResponse | Refused:
    """Return the final answer after the last attempt.

    Parameters
    ----------
    job : Job
        The request.
    failure : AttemptOutcome or None
        How the last attempt ended, if there was one.
    refused : Refused or None
        Why there is no further attempt, if that was decided.
    """
    if isinstance(failure, _outcomes.Whole):
        if failure.answer.status not in _sender.PROMISES:
            return failure.answer
        # The server's status would promise that the request has not run.
        return Refused(status=502, reason="server_failed")
    if job.may_have_run:
        if isinstance(failure, _outcomes.Lost):
            is_late = failure.cause is _outcomes.LostCause.TIMEOUT
            return Refused(
                status=504 if is_late else 502, reason=failure.cause.value
            )
        return Refused(status=502, reason="earlier_attempt_unknown")
    if refused is not None:
        return refused
    return Refused(
        status=503, reason=describe(failure), retry_ms=RETRY_DEFAULT_MS
    )
