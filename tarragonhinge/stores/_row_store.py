"""Interface of a row store whose changes can be watched."""

import abc
from collections.abc import Sequence

import msgspec

from tarragonhinge.stores import _rows


class StoredRow(msgspec.Struct, frozen=True, kw_only=True):
    """One row of a table.

    Parameters
    ----------
    table, key : str
        Where it stands.
    value : bytes
        Content, opaque to the store.
    version : int
        Store-wide number of the transaction that wrote it.
    dropped : bool
        Whether the row was removed.
    """

    table: str
    key: str
    value: bytes = b""
    version: int = 0
    dropped: bool = False


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Rows of a table, or of its changes, up to a version."""

    rows: tuple[StoredRow, ...]
    version: int


class RowCheck(msgspec.Struct, frozen=True, kw_only=True):
    """Condition that a row still has a version; 0 means no such row."""

    table: str
    key: str
    version: int


class RowPut(msgspec.Struct, frozen=True, kw_only=True):
    """New content of a row."""

    table: str
    key: str
    value: bytes


class HistoryLost(msgspec.Struct, frozen=True, kw_only=True):
    """The changes that were asked for are no longer available."""


WatchResult = Snapshot | HistoryLost | _rows.Unavailable


class RowStore(abc.ABC):
    """Reads, watches and conditional writes of rows.

    No method raises for an outage: it is reported as `Unavailable`.
    """

    @abc.abstractmethod
    async def read(self, table: str) -> Snapshot | _rows.Unavailable:
        """Return all rows of a table."""

    @abc.abstractmethod
    async def watch(
        self, table: str, *, after: int, wait_ms: int
    ) -> WatchResult:
        """Return the changes of a table after a version.

        It answers as soon as there is one, or with no rows after
        `wait_ms`.
        """

    @abc.abstractmethod
    async def write(
        self, *, checks: Sequence[RowCheck], puts: Sequence[RowPut]
    ) -> _rows.TransactResult:
        """Write rows together if all checks hold."""

    async def close(self) -> None:  # noqa: B027
        """Release connections."""
