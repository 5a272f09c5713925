"""Final responses that the instance generates itself.

A status that promises that a request did not run is used only if that is
certain; a request that may have run is answered with 502 or 504.
"""

import dataclasses

from tarragonhinge import http1
from tarragonhinge.jobs import _job
from tarragonhinge.jobs import _outcomes
from tarragonhinge import limits

#: Retry-After of a refusal for which no delay is estimated.
DEFAULT_RETRY_AFTER_MS = 400

#: Retry-After of a refusal by a stopping instance, since the load balancer
#: sends the retry to another one.
STOPPING_RETRY_AFTER_MS = 10

#: Retry-After of a request that crashes servers. It stays refused; a caller
#: that comes back all the same is kept away for a while.
QUARANTINE_RETRY_AFTER_MS = 30_000

#: Reasons of refusals that concern only the refusing instance.
TRANSFERABLE_REASONS = frozenset(
    {"unreachable", "stopping", "no_table", "memory", "connections"}
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A final response that does not come from a server.

    Parameters
    ----------
    status : int
        HTTP status; 503 promises that the request did not run.
    reason : str
        Reason for the caller and the log.
    retry_after_ms : int
        Delay after which the caller should retry; 0 if none is stated.
    detour_servers : tuple of Incarnation
        Servers to which another instance may be able to send the request.
    """

    status: int
    reason: str
    retry_after_ms: int = 0
    detour_servers: tuple[limits.Incarnation, ...] = ()

    @property
    def is_not_run(self) -> bool:
        """Whether the status promises that the request did not run."""
        return self.status in _outcomes.NOT_RUN_STATUSES or self.status == 404

    @classmethod
    def for_exhausted_budget(cls) -> "Refused":
        """Return the refusal of a retry that the budget does not allow."""
        return cls(
            status=503,
            reason="repeat_budget",
            retry_after_ms=DEFAULT_RETRY_AFTER_MS,
        )

    @classmethod
    def for_stopping_instance(cls) -> "Refused":
        """Return the refusal of a request that the stop can't wait for."""
        return cls(
            status=503,
            reason="stopping",
            retry_after_ms=STOPPING_RETRY_AFTER_MS,
        )

    @classmethod
    def for_quarantined(cls, *, is_sent: bool) -> "Refused":
        """Return the response to a request that crashes servers."""
        if is_sent:
            return cls(status=502, reason="crashes_servers")
        return cls(
            status=503,
            reason="crashes_servers",
            retry_after_ms=QUARANTINE_RETRY_AFTER_MS,
        )

    @classmethod
    def for_lack_of_connections(cls) -> "Refused":
        """Return the refusal of a request that can't be sent from here."""
        return cls(
            status=503,
            reason=_outcomes.NotRunCause.CONNECTIONS.value,
            retry_after_ms=DEFAULT_RETRY_AFTER_MS,
        )

    @classmethod
    def for_full_memory(cls, retry_after_ms: int) -> "Refused":
        """Return the refusal of a request for which there is no memory."""
        return cls(status=503, reason="memory", retry_after_ms=retry_after_ms)

    @classmethod
    def for_ended_stop(cls, *, is_sent: bool) -> "Refused":
        """Return the response to a request that the stop aborts."""
        if is_sent:
            return cls(status=504, reason="stopping")
        return cls.for_stopping_instance()

    def get_remedy(self) -> str:
        """Return the remedy stated to the caller."""
        if self.reason == "crashes_servers":
            return "ask the operators of the service; it is not sent again"
        if self.status == 404:
            return "check host and path against the routes in force"
        if self.is_not_run:
            return "send it again after Retry-After"
        return "find out whether it ran before you send it again"


def get_outcome_name(outcome: _outcomes.AttemptOutcome) -> str:
    """Return the name of an outcome in logs and metrics."""
    if isinstance(outcome, _outcomes.Answered):
        return "failed" if outcome.failed else "answered"
    return outcome.cause.value


def make_final_response(
    job: _job.Job,
    failure: _outcomes.AttemptOutcome | None,
    refused: Refused | None,
    *,
    room_ms: int = DEFAULT_RETRY_AFTER_MS,
) -> http1.HttpResponse | Refused:
    """Return the final response after the last attempt.

    Parameters
    ----------
    job : Job
        The request.
    failure : AttemptOutcome or None
        Outcome of the last attempt, if there was one.
    refused : Refused or None
        Refusal of a further attempt, if there is one.
    room_ms : int
        Retry-After if no server has stated one.
    """
    if isinstance(failure, _outcomes.Answered):
        if failure.response.status not in _outcomes.NOT_RUN_STATUSES:
            return failure.response
        # The server's status would promise that the request did not run.
        return Refused(status=502, reason="server_failed")
    if job.may_have_run:
        if isinstance(failure, _outcomes.OutcomeUnknown):
            is_late = failure.cause is _outcomes.UnknownCause.TIMEOUT
            return Refused(
                status=504 if is_late else 502, reason=failure.cause.value
            )
        return Refused(status=502, reason="earlier_attempt_unknown")
    if refused is not None:
        return refused
    wait_ms = 0
    if isinstance(failure, _outcomes.NotRun):
        wait_ms = failure.wait_ms
    return Refused(
        status=503,
        reason=get_outcome_name(failure),
        retry_after_ms=wait_ms or room_ms,
    )
