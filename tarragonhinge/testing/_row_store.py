"""In-memory row store with the faults of the platform's store."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from tarragonhinge import base
from tarragonhinge import stores


#: Longest table, part or key of a row, in bytes.
MAX_NAME_BYTES = 200

#: Largest number of rows that one call checks, writes and deletes together.
MAX_CALL_ENTRIES = 100

#: Longest call, in bytes.
MAX_CALL_BYTES = 1 << 20

#: Largest number of rows of a page, and bound of its length in bytes.
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000

#: Reason that the platform's store states for a write that it never accepts.
REJECTION = "a table, key, version or value is missing or too long"


@dataclasses.dataclass(kw_only=True, slots=True)
class StoreFaults:
    """Faults of the store as one client sees them.

    Parameters
    ----------
    is_down : bool
        Whether calls are neither carried out nor answered.
    loses_answers : bool
        Whether writes are carried out but not answered.
    late_ms : int
        Delay after which unanswered writes are carried out, provided
        that their checks still hold; 0 for no delay.
    delay_ms : int
        Duration of each call.
    rejects_writes : bool
        Whether writes are rejected without an effect.
    """

    is_down: bool = False
    loses_answers: bool = False
    late_ms: int = 0
    delay_ms: int = 4
    rejects_writes: bool = False


class MemoryRows:
    """Rows shared by all clients.

    Attributes
    ----------
    rows : dict
        Rows by table and key, including deleted ones.
    version : int
        Version of the last transaction.
    era : int
        Number of times that the rows were restored, plus one.
    row_bytes : int
        Longest value of a row, in bytes of base64.
    page_rows : int
        Largest number of rows of a page.
    kept_from : int
        Version from which changes are kept; earlier ones can't be watched.
    after_page : callable
        Called with the table and whether more pages follow, once a page has
        been read. Rows may be changed there.
    """

    def __init__(self) -> None:
        self.page_rows = PAGE_ROWS
        self.kept_from = 0
        self.after_page: Callable[[str, bool], None] = lambda *_: None
        self.rows: dict[tuple[str, str], stores.StoredRow] = {}
        self.version = 0
        self.era = 1
        self.row_bytes = 65_536
        self._changed = asyncio.Event()

    def copy(self) -> "MemoryRows":
        """Return a copy of the rows as of now."""
        copied = MemoryRows()
        copied.rows = dict(self.rows)
        copied.version = self.version
        return copied

    def restore(self, copied: "MemoryRows") -> None:
        """Go back to a copy, whose later versions are given out again."""
        self.rows = dict(copied.rows)
        self.version = copied.version
        self.era += 1
        self.wake_watches()

    def wake_watches(self) -> None:
        """Let all watches look at the rows again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def find_problem(
        self,
        checks: Sequence[stores.RowCheck],
        puts: Sequence[stores.RowPut],
        drops: Sequence[tuple[str, str]] = (),
        *,
        parts: Sequence[str] = (),
    ) -> str:
        """Return why a transaction is never accepted, or an empty text.

        Parameters
        ----------
        checks, puts, drops : sequence
            As for `apply`.
        parts : sequence of str
            Parts of the rows, which may be empty.
        """
        rows = [(entry.table, entry.key) for entry in (*checks, *puts)]
        names = [name.encode() for row in (*rows, *drops) for name in row]
        sizes = [stores.compute_encoded_bytes(put.value) for put in puts]
        is_valid = (
            all(0 < len(name) <= MAX_NAME_BYTES for name in names)
            and all(len(part.encode()) <= MAX_NAME_BYTES for part in parts)
            and max(sizes, default=0) <= self.row_bytes
            and len(rows) + len(drops) <= MAX_CALL_ENTRIES
            and sum(sizes) + sum(map(len, names)) <= MAX_CALL_BYTES
        )
        return "" if is_valid else REJECTION

    def apply(
        self,
        checks: Sequence[stores.RowCheck],
        puts: Sequence[stores.RowPut],
        drops: Sequence[tuple[str, str]] = (),
    ) -> bool:
        """Carry out a transaction if all its checks hold.

        Parameters
        ----------
        checks : sequence of RowCheck
            Expected versions; 0 for a row that does not exist.
        puts : sequence of RowPut
            Rows to write.
        drops : sequence of tuple of str
            Tables and keys of rows to delete.

        Returns
        -------
        bool
            Whether the transaction was carried out.
        """
        for check in checks:
            row = self.rows.get((check.table, check.key))
            current = row.version if row and not row.dropped else 0
            if current != check.version:
                return False
        self.version += 1
        for put in puts:
            self.rows[put.table, put.key] = stores.StoredRow(
                table=put.table,
                key=put.key,
                value=put.value,
                version=self.version,
            )
        for table, key in drops:
            self.rows[table, key] = stores.StoredRow(
                table=table, key=key, version=self.version, dropped=True
            )
        self.wake_watches()
        return True

    def list_rows(
        self, table: str, *, after: int = -1
    ) -> tuple[stores.StoredRow, ...]:
        """Return a table's rows whose version is later than `after`."""
        return tuple(
            row
            for row in self.rows.values()
            if row.table == table and row.version > after
        )

    def list_page(
        self, table: str, *, first: str = "", end: str | None = None
    ) -> tuple[list[stores.StoredRow], bool]:
        """Return a page of a table's rows, and whether more rows follow.

        Parameters
        ----------
        table : str
            Name of the table.
        first : str
            Smallest key of the page.
        end : str or None
            Key at which the rows end, exclusive; None for the last one.
        """
        rows = [
            row
            for row in sorted(
                self.list_rows(table), key=lambda row: row.key.encode()
            )
            if not row.dropped
            and first.encode() <= row.key.encode()
            and (end is None or row.key.encode() < end.encode())
        ]
        page, size = [], 0
        for row in rows[: self.page_rows]:
            size += stores.compute_encoded_bytes(row.value)
            if page and size > PAGE_BYTES:
                break
            page.append(row)
        return page, len(page) < len(rows)

    async def wait_change(self, wait_ms: int) -> None:
        """Return after the next transaction, or after `wait_ms`."""
        try:
            async with asyncio.timeout(wait_ms / base.MS_PER_S):
                await self._changed.wait()
        except TimeoutError:
            return


class MemoryRowStore(stores.RowStore):
    """One client's access to shared rows.

    Parameters
    ----------
    rows : MemoryRows
        The shared rows.
    clock : Clock
        Clock of the client.

    Attributes
    ----------
    faults : StoreFaults
        Faults of the store at present.
    """

    #: Time after which a call without an answer fails.
    TIMEOUT_MS = 900

    def __init__(self, *, rows: MemoryRows, clock: base.Clock) -> None:
        super().__init__()
        self._rows = rows
        self._clock = clock
        self._late_tasks: set[asyncio.Task] = set()
        self.faults = StoreFaults()

    async def _reach(self) -> bool:
        await self._clock.sleep(self.faults.delay_ms)
        if self.faults.is_down:
            await self._clock.sleep(self.TIMEOUT_MS)
            return False
        self._record_era(self._rows.era)
        return True

    async def _read_page(
        self, table: str, start: str
    ) -> stores.Page | stores.Unavailable:
        if not await self._reach():
            return stores.Unavailable()
        rows, has_more = self._rows.list_page(table, first=start)
        page = stores.Page(
            rows=tuple(rows),
            version=self._rows.version,
            era=self.era,
            has_more=has_more,
        )
        self._rows.after_page(table, has_more)
        return page

    async def watch(
        self, table: str, *, after: int, era: int, wait_ms: int
    ) -> stores.WatchResult:
        """Return a table's rows whose version is later than `after`.

        Waits up to `wait_ms` for the first such row.
        """
        if not await self._reach():
            return stores.Unavailable()
        if (
            not self._rows.kept_from <= after <= self._rows.version
            or self.era != era
        ):
            return stores.HistoryLost()
        ends_at = self._clock.now() + wait_ms
        while not (rows := self._rows.list_rows(table, after=after)):
            remaining_ms = ends_at - self._clock.now()
            if remaining_ms <= 0:
                break
            await self._rows.wait_change(remaining_ms)
            if self.faults.is_down:
                await self._clock.sleep(self.TIMEOUT_MS)
                return stores.Unavailable()
        self._record_era(self._rows.era)
        if self.era != era:
            return stores.HistoryLost()
        return stores.Snapshot(rows=rows, version=self._rows.version, era=era)

    async def write(
        self,
        *,
        checks: Sequence[stores.RowCheck],
        puts: Sequence[stores.RowPut],
        era: int,
    ) -> stores.TransactResult:
        """Write rows atomically if all checks hold."""
        if not await self._reach():
            return stores.Unavailable(maybe_written=True)
        if self.era != era:
            return stores.Unavailable()
        if self.faults.rejects_writes:
            return stores.Unavailable()
        problem = self._rows.find_problem(checks, puts)
        if problem:
            return stores.Rejected(problem=problem)
        if self.faults.loses_answers:
            if self.faults.late_ms:
                task = asyncio.create_task(self._apply_late(checks, puts))
                self._late_tasks.add(task)
                task.add_done_callback(self._late_tasks.discard)
            else:
                self._rows.apply(checks, puts)
            await self._clock.sleep(self.TIMEOUT_MS)
            return stores.Unavailable(maybe_written=True)
        if self._rows.apply(checks, puts):
            return stores.Committed(version=self._rows.version)
        return stores.Conflict()

    async def _apply_late(
        self,
        checks: Sequence[stores.RowCheck],
        puts: Sequence[stores.RowPut],
    ) -> None:
        await self._clock.sleep(self.faults.late_ms)
        self._rows.apply(checks, puts)
