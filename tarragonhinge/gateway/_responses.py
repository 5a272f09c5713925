"""Final responses and their outcomes for other instances."""

import msgspec

from tarragonhinge import base
from tarragonhinge import forwarding
from tarragonhinge import http1
from tarragonhinge import jobs


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a response that the instance generates itself."""

    error: str
    ran: str
    remedy: str


def describe_outcome(
    result: http1.HttpResponse | jobs.Refused, job: jobs.Job | None
) -> forwarding.ForwardedOutcome:
    """Return the outcome of a request for the instance that forwarded it."""
    sent_count = job.sent_count if job is not None else 0
    if not isinstance(result, jobs.Refused):
        return forwarding.ForwardedOutcome(
            kind=forwarding.OutcomeKind.ANSWERED,
            sent_count=sent_count,
            server=job.answered_by if job is not None else None,
        )
    kind = forwarding.OutcomeKind.FAILED
    if result.is_not_run:
        kind = forwarding.OutcomeKind.REFUSED
    return forwarding.ForwardedOutcome(
        kind=kind,
        reason=result.reason,
        retry_after_ms=result.retry_after_ms,
        sent_count=sent_count,
        is_transferable=result.reason in jobs.TRANSFERABLE_REASONS,
    )


def make_response(refused: jobs.Refused) -> http1.HttpResponse:
    """Return the response to a request that no server answers."""
    fields = [("content-type", "application/json")]
    if refused.retry_after_ms:
        seconds = refused.retry_after_ms / base.MS_PER_S
        fields.append(("retry-after", f"{seconds:.3f}"))
    report = ErrorBody(
        error=refused.reason,
        ran="no" if refused.is_not_run else "unknown",
        remedy=refused.get_remedy(),
    )
    return http1.HttpResponse(
        status=refused.status, fields=fields, body=msgspec.json.encode(report)
    )
