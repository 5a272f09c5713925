"""What requests and answers say in their header fields."""

import abc
from collections.abc import Mapping
import dataclasses

from tarragonhinge import base

#: Header fields by name in lower case.
Fields = Mapping[str, str]

#: Longest deadline that a caller may state.
DEADLINE_LIMIT_MS = 3_600_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """What a caller says of its request.

    Parameters
    ----------
    attempt : str
        Id of this attempt.
    deadline_ms : int or None
        How long the caller waits, if it says so.
    key : int or None
        The key that the request is about.
    """

    attempt: str
    deadline_ms: int | None = None
    key: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportedLoad:
    """What a server says of its load."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerMetadata:
    """What a server says of its answer.

    Parameters
    ----------
    attempt : str
        Id of the attempt that it answers.
    sealed : bool
        Whether it bears the server's signature.
    not_run : bool
        Whether the server states that the request did not run.
    load : ReportedLoad or None
        The server's load.
    server : ServerId or None
        The server that refused the request as meant for another one.
    """

    attempt: str
    sealed: bool = False
    not_run: bool = False
    load: ReportedLoad | None = None
    server: base.ServerId | None = None


class Dialect(abc.ABC):
    """Reads and writes the header fields of one platform."""

    @abc.abstractmethod
    def read_request(self, fields: Fields) -> RequestMetadata:
        """Return what the header of a caller's request says."""

    @abc.abstractmethod
    def make_fields(
        self, *, deadline_ms: int, server: base.ServerId
    ) -> list[tuple[str, str]]:
        """Return the fields that a forwarded request gets."""

    @abc.abstractmethod
    def is_replaced(self, name: str) -> bool:
        """Return whether `make_fields` replaces a field."""

    @abc.abstractmethod
    def read_answer(self, fields: Fields) -> AnswerMetadata:
        """Return what the header of a server's answer says."""
