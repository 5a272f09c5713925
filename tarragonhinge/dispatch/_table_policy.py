"""Copy of the history in the platform's table."""

import asyncio

import msgspec

from tarragonhinge import base
from tarragonhinge.dispatch import _policy
from tarragonhinge.dispatch import _saved_history
from tarragonhinge import shards
from tarragonhinge import stores

#: Rows that hold the copy of one shard.
SEGMENTS = 64

#: Size at which a row is full.
SEGMENT_LIMIT_BYTES = 64 * 1024

#: Writes of one batch that are tried before it is refused.
ATTEMPTS = 3

#: Generations of one term.
_GENERATION_BITS = 24


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """Content of one row of the copy.

    Parameters
    ----------
    generation : int
        Only rows of the highest generation count.
    horizon : int
        Keys minted before this wall time may have run unseen.
    entries : list of SavedEntry
        Later entries of a key replace earlier ones.
    """

    generation: int
    horizon: int
    entries: list[_saved_history.SavedEntry]


def make_segment_keys(shard: base.ShardId) -> list[str]:
    """Return the keys of all rows that may hold a shard's copy."""
    return [f"history/{shard}/{number}" for number in range(SEGMENTS)]


def decode_segments(
    rows: list[stores.Row],
) -> _saved_history.SavedHistory | None:
    """Return the history in the rows of a copy; None if there is none."""
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


@_policy.HISTORY_POLICIES.register("table")
class TablePolicy(_policy.HistoryPolicy):
    """Holds a dispatch until the table service has stored its key.

    Each write checks that the record is still the one of this term, so
    a successor that has claimed the record reads a complete copy.
    """

    name = "table"

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._committer = stores.Committer(
            table=self._table, clock=self._clock
        )
        self._keys = make_segment_keys(self._leader.shard)
        self._lock = asyncio.Lock()
        self._versions: list[int] = []
        self._generation = self._leader.record.term << _GENERATION_BITS
        self._index = SEGMENTS
        self._segment: list[_saved_history.SavedEntry] = []
        self._size = 0

    async def keep(self) -> None:
        """Start the copy of this term."""
        while self._leader.state is shards.LeaderState.LEADING:
            if self._leader.record.history == self.name:
                return
            if await self._write([]) is None:
                return
            await self._clock.sleep(1000)

    async def _write(self, batch: list[int]) -> base.NotRun | None:
        async with self._lock:
            return await self._store(batch)

    async def _store(self, batch: list[int]) -> base.NotRun | None:
        entries = self._history.export(batch)
        size = len(msgspec.msgpack.encode(entries))
        if self._size + size > SEGMENT_LIMIT_BYTES:
            self._index += 1
            self._segment = []
            self._size = 0
        if self._index >= SEGMENTS:
            written = await self._rewrite()
        else:
            self._segment.extend(entries)
            self._size += size
            written = await self._put({self._index: self._segment})
        if written and await self._name_in_record(self.name):
            return None
        # What is in the rows is not known; begin a generation.
        self._index = SEGMENTS
        return self._refuse()

    async def _rewrite(self) -> bool:
        """Write the whole history as a new generation."""
        entries = self._history.export(self._history.list_keys())
        parts = _split_entries(entries)
        if len(parts) > SEGMENTS:
            return False
        self._generation += 1
        if not await self._put(dict(enumerate(parts))):
            return False
        self._index = len(parts) - 1
        self._segment = list(parts[-1])
        self._size = len(msgspec.msgpack.encode(self._segment))
        return True

    async def _put(
        self, parts: dict[int, list[_saved_history.SavedEntry]]
    ) -> bool:
        """Store rows while the record is still this leader's."""
        puts = [
            stores.Put(
                key=self._keys[index],
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
        for _ in range(ATTEMPTS):
            if not self._versions and not await self._read_versions():
                return False
            result = await self._committer.commit(
                self._make_write(puts, list(parts))
            )
            if isinstance(result, stores.Committed):
                for index in parts:
                    self._versions[index] += 1
                return True
            self._versions = []
            if isinstance(result, stores.Unavailable):
                return False
        return False

    async def _read_versions(self) -> bool:
        rows = await self._table.read(self._keys)
        if isinstance(rows, stores.Unavailable):
            return False
        self._versions = [row.version for row in rows]
        return True

    def _make_write(
        self, puts: list[stores.Put], indexes: list[int]
    ) -> stores.Transaction:
        """Return a write that only the record's leader can make.

        The versions of the rows are checked too, so that a write that
        the service delayed cannot replace a later one.
        """
        checks = [
            stores.Check(
                key=shards.make_record_key(self._leader.shard),
                version=self._leader.recorder.row_version,
            )
        ]
        checks += [
            stores.Check(key=self._keys[n], version=self._versions[n])
            for n in indexes
        ]
        return stores.Transaction(
            write_id=stores.make_write_id(), checks=checks, puts=puts
        )


def _split_entries(
    entries: list[_saved_history.SavedEntry],
) -> list[list[_saved_history.SavedEntry]]:
    """Return entries in parts that each fit a row; at least one part."""
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
