"""Metadata that requests and responses carry in their header fields."""

import abc
from collections.abc import Mapping
import dataclasses

from tarragonhinge import base

#: Header field values by lowercase name.
Fields = Mapping[str, str]

#: Longest deadline that a caller may request.
DEADLINE_LIMIT_MS = 3_600_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """Metadata of a request, as stated by its caller.

    Parameters
    ----------
    attempt : str
        Id of this attempt.
    deadline_ms : int or None
        Time that the caller waits for a response, if stated.
    key : int or None
        Key that the request refers to, if any.
    caller : str
        What names its caller; empty if nothing does.
    """

    attempt: str
    deadline_ms: int | None = None
    key: int | None = None
    caller: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportedLoad:
    """Load of a server, as reported in one of its responses.

    Parameters
    ----------
    running, waiting : int
        Number of requests that run and that are queued.
    slots : int
        Number of requests that the server runs concurrently.
    work_percent : int
        Duration of work on the server's machine at this moment; 100 is the
        usual one.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = 100


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseMetadata:
    """Metadata of a response, as stated by the server.

    Parameters
    ----------
    attempt : str
        Id of the attempt that the response belongs to.
    sealed : bool
        Whether the response carries a seal, which proves that a backend
        server produced it.
    not_run : bool
        Whether the server states that it did not run the request.
    load : ReportedLoad or None
        Load of the server, if reported.
    server : ServerId or None
        Id of the server that answered, if it refused the request because
        the request was addressed to another server.
    limit : float or None
        Requests per second that the server takes from all instances
        together; None if it names no limit.
    is_limit_invalid : bool
        Whether it names something that is no limit.
    is_leaving : bool
        Whether the server says that it leaves.
    wait_ms : int or None
        Time for which the server wants no requests from this instance, if
        it has turned the request away with one.
    warm_up_ms : int or None
        Time for which the server stays cold; only health checks state it.
    """

    attempt: str
    sealed: bool = False
    not_run: bool = False
    load: ReportedLoad | None = None
    server: base.ServerId | None = None
    limit: float | None = None
    is_limit_invalid: bool = False
    is_leaving: bool = False
    wait_ms: int | None = None
    warm_up_ms: int | None = None


class Dialect(abc.ABC):
    """Codec for the header fields of one platform."""

    @abc.abstractmethod
    def read_request(self, fields: Fields) -> RequestMetadata:
        """Parse the header fields of a caller's request."""

    @abc.abstractmethod
    def make_fields(
        self, *, deadline_ms: int, server: base.ServerId
    ) -> list[tuple[str, str]]:
        """Return the header fields to set on a forwarded request.

        Parameters
        ----------
        deadline_ms : int
            Time left before the deadline of the request.
        server : ServerId
            Server that the request is forwarded to.
        """

    @abc.abstractmethod
    def is_replaced(self, name: str) -> bool:
        """Return whether `make_fields` replaces the field `name`."""

    @abc.abstractmethod
    def read_answer(self, fields: Fields) -> ResponseMetadata:
        """Parse the header fields of a server's response."""
