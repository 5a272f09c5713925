"""Answers that the router itself gives, as problem documents (RFC 9457)."""

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
_RETRY = (503, "nothing was run; retry after the time that is stated")
_UNKNOWN = (
    504,
    "read back whether the request took effect, or repeat it under the "
    "same Idempotency-Key",
)


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of an answer that the router itself gives.

    Parameters
    ----------
    title : str
        The reason.
    status : int
        HTTP status.
    outcome : str
        ``not_run`` or ``unknown``.
    remedy : str
        What the caller can do.
    retry_after_ms : int or None
        When to come back.
    """

    title: str
    status: int
    outcome: str
    remedy: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProblemAnswer:
    """A problem with its header fields, ready to send."""

    status: int
    headers: dict[str, str]
    body: bytes


def make_problem(outcome: base.NotRun | base.Unknown) -> ProblemAnswer:
    """Return the answer that tells a caller about an outcome."""
    retry_after_ms = None
    if isinstance(outcome, base.NotRun):
        status, remedy = _REMEDIES.get(outcome.reason, _RETRY)
        kind = "not_run"
        retry_after_ms = outcome.retry_after_ms
    else:
        status, remedy = _UNKNOWN
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
