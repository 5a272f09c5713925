"""Outcomes of one attempt at a server."""

import dataclasses
import enum

from tarragonhinge import http1

#: HTTP statuses that promise a caller that its request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The server answered completely; `failed` if it reports an error."""

    response: http1.HttpResponse
    failed: bool = False


class NotRunCause(enum.Enum):
    """Reason why a server is certain not to have run a request.

    SHED: the server was overloaded and refused it; MISDIRECTED: the server
    does not own the key; REPLACED: another server listens at the address;
    UNSENT: the request was not sent; UNREACHABLE: it was not sent, since no
    connection could be opened; INELIGIBLE: it was not sent, since the server
    no longer may get it; COLD: it was not sent, since the server has become
    cold after the request was placed; CONNECTION_ENDED: the server had ended
    the connection before anything was written; CONNECTIONS: it was not sent,
    since all connections of this instance are in use.
    """

    SHED = "shed"
    MISDIRECTED = "misdirected"
    REPLACED = "replaced"
    UNSENT = "unsent"
    UNREACHABLE = "unreachable"
    INELIGIBLE = "ineligible"
    COLD = "cold"
    CONNECTION_ENDED = "connection_ended"
    CONNECTIONS = "connections"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The server did not run the request.

    Parameters
    ----------
    cause : NotRunCause
        Reason.
    detail : str
        Details for the log.
    wait_ms : int
        Time for which the server wants no requests.
    """

    cause: NotRunCause
    detail: str = ""
    wait_ms: int = 0


class UnknownCause(enum.Enum):
    """Reason why it is unknown whether a server ran a request.

    BROKEN: the connection failed; GARBLED: the response lacks the server's
    seal or belongs to another attempt; SILENT: no response arrived
    before the request was also sent to another server; TIMEOUT: no
    response arrived before the deadline.
    """

    BROKEN = "broken"
    GARBLED = "garbled"
    SILENT = "silent"
    TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeUnknown:
    """The request may have run, but no valid response was received."""

    cause: UnknownCause
    detail: str = ""


AttemptOutcome = Answered | NotRun | OutcomeUnknown
