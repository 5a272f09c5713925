"""A follower knows the rows of a table that comes in pages."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from tarragonhinge import feeds
from tarragonhinge.stores import RowPut
from tarragonhinge import testing

TABLE = "rows"

#: Number of keys, and of rows of a page.
KEYS = 9
PAGE_ROWS = 2

#: Longer than a follower's backoff and its watch take together.
SETTLED_MS = 4_000

#: Key of a row that is written or removed after a page of the table.
_writes = strategies.lists(
    strategies.tuples(strategies.integers(0, KEYS - 1), strategies.booleans()),
    max_size=4,
)


class _FollowedRows:
    """Rows in memory that change between pages, and their follower."""

    def __init__(self, writes_by_page):
        self.clock = testing.ManualClock()
        self.rows = testing.MemoryRows()
        self.rows.page_rows = PAGE_ROWS
        self.rows.after_page = self._write_some
        self.followed = {}
        self.page_count = 0
        self.keeps_history = True
        self._writes_by_page = list(writes_by_page)

    def _write_some(self, _table, _has_more):
        self.page_count += 1
        if self._writes_by_page:
            for key, is_removed in self._writes_by_page.pop(0):
                self.write(key, is_removed=is_removed)
        if not self.keeps_history:
            self.write(KEYS)
            self.rows.kept_from = self.rows.version

    def write(self, key, *, is_removed=False):
        """Write or remove a row; its value is the version."""
        name = (TABLE, f"k{key:02}")
        if is_removed:
            self.rows.apply([], [], [name])
            return
        value = str(self.rows.version).encode()
        put = RowPut(table=TABLE, key=name[1], value=value)
        self.rows.apply([], [put])

    def _handle_rows(self, rows, is_whole):
        if is_whole:
            self.followed = {}
        for row in rows:
            self.followed.pop(row.key, None)
            if not row.dropped:
                self.followed[row.key] = row.value

    def list_stored(self):
        return {
            row.key: row.value
            for row in self.rows.list_rows(TABLE)
            if not row.dropped
        }

    async def follow(self, duration_ms):
        follower = feeds.TableFollower(
            store=testing.MemoryRowStore(rows=self.rows, clock=self.clock),
            table=TABLE,
            handle_rows=self._handle_rows,
            log=testing.make_event_log(self.clock),
            clock=self.clock,
        )
        task = asyncio.create_task(follower.run())
        await self.clock.sleep(duration_ms)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


# Guards against a change between two pages that a follower missed for ever.
@hypothesis.given(
    first=strategies.sets(strategies.integers(0, KEYS - 1)),
    writes_by_page=strategies.lists(_writes, max_size=6),
    kept_from=strategies.integers(0, 30),
)
def test_writes_between_pages_are_followed(first, writes_by_page, kept_from):
    async def run():
        table = _FollowedRows(writes_by_page)
        for key in first:
            table.write(key)
        # The store may keep no history of the first part of the read.
        table.rows.kept_from = min(kept_from, table.rows.version + 10)
        while table.rows.version < table.rows.kept_from:
            table.rows.apply([], [RowPut(table="x", key="x", value=b"")])
        await table.follow(SETTLED_MS)
        assert table.followed == table.list_stored()

    testing.run_manual(run())


# Guards against a follower that reads a table without end and without a pause.
@pytest.mark.parametrize("keeps_history", [True, False])
def test_history_shorter_than_the_read(keeps_history):
    async def run():
        table = _FollowedRows([])
        table.keeps_history = keeps_history
        for key in range(KEYS):
            table.write(key)
        await table.follow(10_000)
        pages = -(-(KEYS + 1) // PAGE_ROWS)
        # A read takes 20 ms here, and the pause follows it.
        assert table.page_count <= pages * 10_000 / 70
        table.keeps_history = True
        await table.follow(SETTLED_MS)
        assert table.followed == table.list_stored()

    testing.run_manual(run())
