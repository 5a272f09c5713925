"""Copy of the request history in the platform's table."""

import asyncio

import msgspec

from tarragonhinge import base
from tarragonhinge.dispatch import _history_policy
from tarragonhinge.dispatch import _saved_history
from tarragonhinge import shards
from tarragonhinge import stores

#: Number of rows that store the copy of one shard.
SEGMENTS_PER_SHARD = 64

#: Size of the entries at which a row is full.
SEGMENT_LIMIT_BYTES = 64 * 1024

#: Number of attempts to write a batch before it is refused.
WRITE_ATTEMPTS = 3

#: Number of low bits of a generation that count within its term.
_GENERATION_BITS = 24


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """Content of one row of the copy.

    Parameters
    ----------
    generation : int
        Number of the copy; rows of lower generations are obsolete.
    horizon : int
        Wall-clock time in milliseconds.  Keys created before it may have
        run without being recorded.
    entries : list of SavedEntry
        Records; a later one of a key replaces an earlier one.
    """

    generation: int
    horizon: int
    entries: list[_saved_history.SavedEntry]


def make_segment_keys(shard: base.ShardId) -> list[str]:
    """Return the keys of all rows that may store a shard's copy."""
    return [
        f"history/{shard}/{number}" for number in range(SEGMENTS_PER_SHARD)
    ]


def decode_segments(
    rows: list[stores.Row],
) -> _saved_history.SavedHistory | None:
    """Return the history stored in a copy, or None if it is empty."""
    segments = [
        msgspec.msgpack.decode(row.value, type=Segment)
        for row in rows
        if row.version
    ]
    if not segments:
        return None
    newest = max(segment.generation for segment in segments)
    current = [s for s in segments if s.generation == newest]
    return _saved_history.SavedHistory(
        horizon=current[0].horizon,
        entries=[entry for s in current for entry in s.entries],
    )


@_history_policy.HISTORY_POLICIES.register("table")
class TablePolicy(_history_policy.HistoryPolicy):
    """Dispatches a request once the table service has stored its key.

    Each write checks that the record is still that of this term.  A
    successor that has claimed the record thus reads a complete copy.
    """

    name = "table"

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._committer = stores.Committer(
            table=self._table, clock=self._clock
        )
        self._segment_keys = make_segment_keys(self._leader.shard)
        self._lock = asyncio.Lock()
        self._row_versions: list[int] = []
        self._generation = self._leader.record.term << _GENERATION_BITS
        self._segment_index = SEGMENTS_PER_SHARD
        self._segment_entries: list[_saved_history.SavedEntry] = []
        self._segment_bytes = 0

    async def maintain_copy(self) -> None:
        """Write the first copy of this term."""
        while self._leader.state is shards.LeaderState.LEADING:
            if self._leader.record.history == self.name:
                return
            if await self._write([]) is None:
                return
            await self._clock.sleep(1000)

    async def _write(self, batch: list[int]) -> base.NotRun | None:
        async with self._lock:
            return await self._append(batch)

    async def _append(self, batch: list[int]) -> base.NotRun | None:
        entries = self._history.export(batch)
        size = len(msgspec.msgpack.encode(entries))
        if self._segment_bytes + size > SEGMENT_LIMIT_BYTES:
            self._segment_index += 1
            self._segment_entries = []
            self._segment_bytes = 0
        if self._segment_index >= SEGMENTS_PER_SHARD:
            written = await self._write_generation()
        else:
            self._segment_entries.extend(entries)
            self._segment_bytes += size
            written = await self._write_segments(
                {self._segment_index: self._segment_entries}
            )
        if written and await self._record_complete_copy(self.name):
            return None
        # The write may have taken effect, so the content of the rows is
        # unknown.  The next write starts a new generation.
        self._segment_index = SEGMENTS_PER_SHARD
        return self._make_refusal()

    async def _write_generation(self) -> bool:
        """Write the whole history as a new generation."""
        entries = self._history.export(self._history.list_keys())
        parts = _split_entries(entries)
        if len(parts) > SEGMENTS_PER_SHARD:
            return False
        self._generation += 1
        if not await self._write_segments(dict(enumerate(parts))):
            return False
        self._segment_index = len(parts) - 1
        self._segment_entries = list(parts[-1])
        self._segment_bytes = len(
            msgspec.msgpack.encode(self._segment_entries)
        )
        return True

    async def _write_segments(
        self, parts: dict[int, list[_saved_history.SavedEntry]]
    ) -> bool:
        """Write rows if the record is still that of this leader."""
        puts = [
            stores.Put(
                key=self._segment_keys[index],
                value=msgspec.msgpack.encode(
                    Segment(
                        generation=self._generation,
                        horizon=self._history.horizon,
                        entries=entries,
                    )
                ),
            )
            for index, entries in parts.items()
        ]
        for _ in range(WRITE_ATTEMPTS):
            if not self._row_versions and not await self._read_row_versions():
                return False
            result = await self._committer.commit(
                self._make_write(puts, list(parts))
            )
            if isinstance(result, stores.Committed):
                for index in parts:
                    self._row_versions[index] += 1
                return True
            self._row_versions = []
            if isinstance(result, stores.Unavailable):
                return False
        return False

    async def _read_row_versions(self) -> bool:
        rows = await self._table.read(self._segment_keys)
        if isinstance(rows, stores.Unavailable):
            return False
        self._row_versions = [row.version for row in rows]
        return True

    def _make_write(
        self, puts: list[stores.Put], indexes: list[int]
    ) -> stores.Transaction:
        """Return a transaction that only succeeds for the recorded leader.

        It also checks the versions of the rows, so that a write that the
        table service delayed cannot overwrite a later one.
        """
        checks = [
            stores.Check(
                key=shards.make_record_key(self._leader.shard),
                version=self._leader.recorder.row_version,
            )
        ]
        checks += [
            stores.Check(
                key=self._segment_keys[n], version=self._row_versions[n]
            )
            for n in indexes
        ]
        return stores.Transaction(
            write_id=stores.make_write_id(), checks=checks, puts=puts
        )


def _split_entries(
    entries: list[_saved_history.SavedEntry],
) -> list[list[_saved_history.SavedEntry]]:
    """Split entries into parts that each fit a row; at least one."""
    parts: list[list[_saved_history.SavedEntry]] = [[]]
    size = 0
    for entry in entries:
        added = len(msgspec.msgpack.encode(entry))
        if size + added > SEGMENT_LIMIT_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(entry)
        size += added
    return parts
