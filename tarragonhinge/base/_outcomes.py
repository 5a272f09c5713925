"""Outcomes of a request."""

import dataclasses
import enum


class NotRunReason(enum.Enum):
    """Why a request was rejected before any part of it could run."""

    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    #: The instance that received the request does not lead the shard.
    NOT_LEADER = "not_leader"
    #: The shard has no leader that could be reached.
    NO_LEADER = "no_leader"
    #: No backend server owns the partition of the key.
    NO_OWNER = "no_owner"
    #: The leader must not dispatch, for example after its lease expired.
    NO_AUTHORITY = "no_authority"
    #: The partition changed its owner while the request was queued.
    MOVING = "moving"
    OVERLOADED = "overloaded"
    #: The deadline passed before the request was dispatched.
    DEADLINE = "deadline"
    #: The backend server rejected the fencing token of the request.
    FENCED = "fenced"
    SERVER_UNREACHABLE = "server_unreachable"
    #: The backend server was overloaded and rejected the request.
    SERVER_SHED = "server_shed"
    #: The idempotency key was used for a different request.
    KEY_REUSED = "key_reused"
    #: The instance stops, and the deadline lies after the end of the stop.
    STOPPING = "stopping"


class UnknownReason(enum.Enum):
    """Why it is unknown whether a request ran."""

    #: The request was sent, but no response arrived.
    ANSWER_LOST = "answer_lost"
    #: The connection was closed in the middle of the response.
    ANSWER_CUT = "answer_cut"
    #: No response arrived before the deadline.
    TIMEOUT = "timeout"
    #: The leader failed or was disconnected before it replied.
    LEADER_LOST = "leader_lost"
    #: The idempotency key is older than the request history.
    HISTORY_LOST = "history_lost"
    #: The outcome of an earlier attempt is unknown or was not recorded.
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
    """The request was rejected; no part of it has run.

    Parameters
    ----------
    reason : NotRunReason
        Reason for the rejection.
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
