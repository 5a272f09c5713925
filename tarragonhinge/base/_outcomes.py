"""Tagged outcomes of a request."""

import dataclasses
import enum


class NotRunReason(enum.Enum):
    """Why a request was refused before any part of it could run."""

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
    """Why it is not known whether a request ran."""

    ANSWER_LOST = "answer_lost"
    ANSWER_CUT = "answer_cut"
    TIMEOUT = "timeout"
    LEADER_LOST = "leader_lost"
    HISTORY_LOST = "history_lost"
    EARLIER_UNKNOWN = "earlier_unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The whole answer of the backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end header fields, in order.
    body : bytes
        The whole body.
    replayed : bool
        True if the answer was recorded from an earlier run.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    replayed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """A refusal: it is proven that nothing of the request ran.

    Parameters
    ----------
    reason : NotRunReason
        Why it was refused.
    retry_after_ms : int or None
        When the caller should come back; None if a retry cannot help.
    hint : str
        Address of the shard's leader where the refuser knows it.
    """

    reason: NotRunReason
    retry_after_ms: int | None = None
    hint: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """It cannot be told whether the request ran.

    Parameters
    ----------
    reason : UnknownReason
        What was lost.
    """

    reason: UnknownReason


Outcome = Answered | NotRun | Unknown
