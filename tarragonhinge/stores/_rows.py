"""Rows and transactions of the platform's table service."""

import dataclasses

import msgspec

from tarragonhinge import base


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One stored row.

    Parameters
    ----------
    value : bytes
        Content, opaque to the service.
    version : int
        Grows by one with every write; a row never written has 0.
    write_id : WriteId
        Id of the write that stored this content.
    """

    value: bytes = b""
    version: int = 0
    write_id: base.WriteId = base.WriteId("")


class Check(msgspec.Struct, frozen=True, kw_only=True):
    """Condition that a row still has the version that was read."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """New content of a row."""

    key: str
    value: bytes


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Puts that take effect together if all checks hold.

    Parameters
    ----------
    write_id : WriteId
        Unique; stored with each row, so that a lost answer can be
        resolved by reading a row back.
    checks : list of Check
        Conditions.
    puts : list of Put
        Writes.
    """

    write_id: base.WriteId
    checks: list[Check] = []
    puts: list[Put] = []


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """The transaction took effect.

    Parameters
    ----------
    version : int
        Version of the rows that were written, if the service tells it.
    """

    version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A check failed; nothing was written."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The service gave no answer.

    Parameters
    ----------
    maybe_written : bool
        True if a write may have taken effect all the same.
    """

    maybe_written: bool = False


TransactResult = Committed | Conflict | Unavailable
ReadResult = list[Row] | Unavailable
