"""Interface of a row store that supports watching changes."""

import abc
from collections.abc import Sequence

import msgspec

from tarragonhinge.stores import _rows


class StoredRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a table.

    Parameters
    ----------
    table : str
        Name of the table.
    key : str
        Key of the row in the table.
    value : bytes
        Content, opaque to the store.
    version : int
        Number of the transaction that wrote the row, counted across the
        whole store.
    dropped : bool
        Whether the row was deleted.
    """

    table: str
    key: str
    value: bytes = b""
    version: int = 0
    dropped: bool = False


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All rows of a table, or only the changed ones, as of one version."""

    rows: tuple[StoredRow, ...]
    version: int


class RowCheck(msgspec.Struct, frozen=True, kw_only=True):
    """Condition that a row still has a version; 0 if it must not exist."""

    table: str
    key: str
    version: int


class RowPut(msgspec.Struct, frozen=True, kw_only=True):
    """New content of a row."""

    table: str
    key: str
    value: bytes


class HistoryLost(msgspec.Struct, frozen=True, kw_only=True):
    """The store no longer keeps changes as old as the requested ones."""


WatchResult = Snapshot | HistoryLost | _rows.Unavailable


class RowStore(abc.ABC):
    """Client for reads, watches and conditional writes of rows.

    Methods do not raise during an outage; they return `Unavailable`.
    """

    @abc.abstractmethod
    async def read(self, table: str) -> Snapshot | _rows.Unavailable:
        """Return all rows of a table."""

    @abc.abstractmethod
    async def watch(
        self, table: str, *, after: int, wait_ms: int
    ) -> WatchResult:
        """Return the changes of a table after a version.

        Returns as soon as there is a change, or without rows after
        `wait_ms` milliseconds.
        """

    @abc.abstractmethod
    async def write(
        self, *, checks: Sequence[RowCheck], puts: Sequence[RowPut]
    ) -> _rows.TransactResult:
        """Write rows atomically if all checks hold."""

    async def close(self) -> None:  # noqa: B027
        """Release connections."""
