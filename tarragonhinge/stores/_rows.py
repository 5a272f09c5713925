"""Rows and transactions of the platform's table service."""

import dataclasses

import msgspec

from tarragonhinge import base


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Stored row.

    Parameters
    ----------
    value : bytes
        Content, opaque to the service.
    version : int
        Incremented by each write; a row never written has version 0.
    write_id : WriteId
        Id of the write that stored the content.
    """

    value: bytes = b""
    version: int = 0
    write_id: base.WriteId = base.WriteId("")


class Check(msgspec.Struct, frozen=True, kw_only=True):
    """Condition that a row still has the given version."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """New content of a row."""

    key: str
    value: bytes


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that are applied atomically if all checks hold.

    Parameters
    ----------
    write_id : WriteId
        Unique id.  It is stored with each row, so that a lost response
        can be resolved by reading a row back.
    checks : list of Check
        Conditions on rows.
    puts : list of Put
        New contents of rows.
    """

    write_id: base.WriteId
    checks: list[Check] = []
    puts: list[Put] = []


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """The transaction was applied.

    Parameters
    ----------
    version : int
        Version of the written rows; 0 if the service does not report it.
    """

    version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A check failed; nothing was written."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The service gave no usable response.

    Parameters
    ----------
    maybe_written : bool
        Whether a write may nevertheless have taken effect.
    """

    maybe_written: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """The service never accepts the transaction; nothing was written.

    Its content is at fault, for example a value that is too long, so that it
    must not be repeated as it is.

    Parameters
    ----------
    problem : str
        Reason that the service states.
    """

    problem: str = ""


TransactResult = Committed | Conflict | Rejected | Unavailable
ReadResult = list[Row] | Unavailable
