"""Outcomes of a request."""

import dataclasses
import enum


class NotRunReason(enum.Enum):
    """Why a request was rejected before any part of it could run."""

    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    NOT_LEADER = "not_leader"
    NO_LEADER = "no_leader"
    NO_OWNER = "no_owner"
    NO_AUTHORITY = "no_authority"
    MOVING = "moving"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    FENCED = "fenced"
    SERVER_UNREACHABLE = "server_unreachable"
    SERVER_SHED = "server_shed"
    KEY_REUSED = "key_reused"


class UnknownReason(enum.Enum):
    """Why it is unknown whether a request ran."""

    ANSWER_LOST = "answer_lost"
    ANSWER_CUT = "answer_cut"
    TIMEOUT = "timeout"
    LEADER_LOST = "leader_lost"
    HISTORY_LOST = "history_lost"
    EARLIER_UNKNOWN = "earlier_unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The complete response of the backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end header fields, in order.
    body : bytes
        The complete body.
    replayed : bool
        True if the response was recorded when an earlier attempt with the
        same idempotency key ran.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    replayed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """Rejection: no part of the request has run.

    Parameters
    ----------
    reason : NotRunReason
        Why the request was rejected.
    retry_after_ms : int or None
        Delay after which the caller should retry, in milliseconds; None if
        a retry cannot succeed.
    hint : str
        Address of the shard's leader; empty if unknown to the instance that
        rejected the request.
    """

    reason: NotRunReason
    retry_after_ms: int | None = None
    hint: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """It is unknown whether the request ran.

    Parameters
    ----------
    reason : UnknownReason
        Why it is unknown.
    """

    reason: UnknownReason


Outcome = Answered | NotRun | Unknown
