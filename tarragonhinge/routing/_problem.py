"""Problem documents (RFC 9457) for requests without a server's answer."""

import dataclasses

import msgspec

from tarragonhinge import base

HEADER_OUTCOME = "Tarragonhinge-Outcome"
CONTENT_TYPE = "application/problem+json"

_REMEDIES = {
    base.NotRunReason.UNKNOWN_SERVICE: (
        404,
        "name a service of the operators' table in the first path segment",
    ),
    base.NotRunReason.BAD_REQUEST: (
        400,
        "give the key where the service's row says, a deadline in whole "
        "milliseconds and an Idempotency-Key that is a fresh UUIDv7",
    ),
    base.NotRunReason.BODY_TOO_LARGE: (413, "send a smaller body"),
    base.NotRunReason.KEY_REUSED: (
        422,
        "use a new Idempotency-Key for another request",
    ),
    base.NotRunReason.DEADLINE: (504, "retry with a later deadline"),
}
_RETRY_REMEDY = (503, "nothing was run; retry after the time that is stated")
_UNKNOWN_REMEDY = (
    504,
    "read back whether the request took effect, or repeat it under the "
    "same Idempotency-Key",
)


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Problem document, the body of an answer by the router itself.

    Parameters
    ----------
    title : str
        Reason of the outcome.
    status : int
        HTTP status.
    outcome : str
        ``not_run`` or ``unknown``.
    remedy : str
        Action that the caller can take.
    retry_after_ms : int or None
        Delay before a retry, in milliseconds; None if not applicable.
    """

    title: str
    status: int
    outcome: str
    remedy: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProblemAnswer:
    """HTTP answer with a problem document."""

    status: int
    headers: dict[str, str]
    body: bytes


def make_problem(outcome: base.NotRun | base.Unknown) -> ProblemAnswer:
    """Return the HTTP answer that reports an outcome to the caller."""
    retry_after_ms = None
    if isinstance(outcome, base.NotRun):
        status, remedy = _REMEDIES.get(outcome.reason, _RETRY_REMEDY)
        kind = "not_run"
        retry_after_ms = outcome.retry_after_ms
    else:
        status, remedy = _UNKNOWN_REMEDY
        kind = "unknown"
    problem = Problem(
        title=outcome.reason.value,
        status=status,
        outcome=kind,
        remedy=remedy,
        retry_after_ms=retry_after_ms,
    )
    headers = {HEADER_OUTCOME: kind, "Content-Type": CONTENT_TYPE}
    if retry_after_ms is not None:
        seconds = -(-retry_after_ms // base.MS_PER_S)
        headers["Retry-After"] = str(max(1, seconds))
    body = msgspec.json.encode(problem)
    return ProblemAnswer(status=status, headers=headers, body=body)
