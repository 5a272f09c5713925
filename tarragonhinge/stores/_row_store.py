"""Interface of a row store that supports watching changes."""

import abc
import asyncio
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


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Rows of a table with adjacent keys, as of a single moment.

    Parameters
    ----------
    rows : tuple of StoredRow
        The rows, in ascending order of their keys.
    version : int
        Latest version of the store at that moment.
    era : int
        Era of the store in which the version was given out.
    has_more : bool
        Whether the table has rows with greater keys.
    """

    rows: tuple[StoredRow, ...]
    version: int
    era: int = 0
    has_more: bool = False


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All rows of a table, or only the changed ones.

    Together with all changes after its version, the rows are a state of the
    table. A row may already include some of these changes.

    Parameters
    ----------
    rows : tuple of StoredRow
        The rows.
    version : int
        Version up to which the rows include all changes.
    era : int
        Era of the store in which the version was given out.
    """

    rows: tuple[StoredRow, ...]
    version: int
    era: int = 0


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


def compute_encoded_bytes(value: bytes) -> int:
    """Return the length of a value in base64, to which the store's bound is.

    Examples
    --------
    >>> compute_encoded_bytes(b"four")
    8
    """
    return (len(value) + 2) // 3 * 4


class HistoryLost(msgspec.Struct, frozen=True, kw_only=True):
    """The store does not have the changes since the requested version.

    It no longer keeps changes as old as that, or it has been restored from a
    copy without that version.
    """


WatchResult = Snapshot | HistoryLost | _rows.Unavailable


class RowStore(abc.ABC):
    """Client for reads, watches and conditional writes of rows.

    Methods do not raise during an outage; they return `Unavailable`.

    The store may come back from an older copy. It then lacks what was written
    since, gives versions out again, and states a later era in its responses.
    Versions are comparable within one era only. Responses of an earlier era
    than the latest one seen are discarded.
    """

    def __init__(self) -> None:
        self._era = 0
        self._first_era: int | None = None
        self._era_changed = asyncio.Event()

    @property
    def era(self) -> int:
        """Latest era that a response has shown; 0 before the first one."""
        return self._era

    @property
    def first_era(self) -> int | None:
        """Era that the first response has shown; None before it."""
        return self._first_era

    async def wait_for_era_after(self, era: int) -> None:
        """Wait until a response shows a later era."""
        while self._era <= era:
            await self._era_changed.wait()

    def _record_era(self, era: int) -> bool:
        """Record a response's era; return False if a later one was seen."""
        if self._first_era is None:
            self._first_era = era
        if era < self._era:
            return False
        if era > self._era:
            self._era = era
            self._era_changed.set()
            self._era_changed = asyncio.Event()
        return True

    async def read(self, table: str) -> Snapshot | _rows.Unavailable:
        """Return all rows of a table, page by page.

        The version is that of the first page. A row may be changed, added or
        removed after its page was read; such a change is later than the
        first page, so that a watch from there on returns it.
        """
        pages: list[Page] = []
        start = ""
        while True:
            page = await self._read_page(table, start)
            if not isinstance(page, Page):
                return page
            pages.append(page)
            if page.era != pages[0].era:
                return _rows.Unavailable()
            if not page.has_more or not page.rows:
                break
            # Smallest possible key after the last one of this page.
            start = page.rows[-1].key + "\x00"
        return Snapshot(
            rows=tuple(row for page in pages for row in page.rows),
            version=pages[0].version,
            era=pages[0].era,
        )

    @abc.abstractmethod
    async def _read_page(
        self, table: str, start: str
    ) -> Page | _rows.Unavailable:
        """Return a page of a table's rows.

        Parameters
        ----------
        table : str
            Name of the table.
        start : str
            Smallest key of the page.
        """

    @abc.abstractmethod
    async def watch(
        self, table: str, *, after: int, era: int, wait_ms: int
    ) -> WatchResult:
        """Return the changes of a table after a version of an era.

        Returns as soon as there is a change or the store shows a later era,
        or without rows after `wait_ms` milliseconds.
        """

    @abc.abstractmethod
    async def write(
        self,
        *,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        era: int,
    ) -> _rows.TransactResult:
        """Write rows atomically if all checks hold.

        Parameters
        ----------
        checks : sequence of RowCheck
            Versions that the rows must still have.
        puts : sequence of RowPut
            Rows to write.
        era : int
            Era in which these versions were read. If the store has shown a
            later one, nothing is written; if its response shows one, the
            outcome is unknown.
        """

    async def close(self) -> None:  # noqa: B027
        """Release connections."""
