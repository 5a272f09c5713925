"""How one attempt at a server can end."""

import dataclasses
import enum

from tarragonhinge import http1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Whole:
    """The server's own answer, complete; `failed` if it reports a fault."""

    answer: http1.HttpResponse
    failed: bool = False


class NotRunCause(enum.Enum):
    """Why a server certainly did not run a request.

    MISDIRECTED: it does not hold the key; REPLACED: another server
    listens at its address; UNSENT: no connection could be opened.
    """

    SHED = "shed"
    MISDIRECTED = "misdirected"
    REPLACED = "replaced"
    UNSENT = "unsent"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The server did not run the request."""

    cause: NotRunCause
    detail: str = ""


class LostCause(enum.Enum):
    """Why it is not known whether a server ran a request."""

    BROKEN = "broken"
    GARBLED = "garbled"
    SILENT = "silent"
    TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lost:
    """The request may have run; there is no answer of its own."""

    cause: LostCause
    detail: str = ""


AttemptOutcome = Whole | NotRun | Lost
