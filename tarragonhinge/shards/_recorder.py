"""Writes the record of a shard that this instance leads."""

import asyncio
from collections.abc import Callable

from tarragonhinge import base
from tarragonhinge.shards import _record
from tarragonhinge import stores


class ShardRecorder:
    """The leader's copy of its record, changed only by confirmed writes.

    Parameters
    ----------
    shard : ShardId
        The shard.
    record : ShardRecord
        The record as this instance wrote it.
    row_version : int
        Version of the shard's row after that write.
    committer : Committer
        Writes the row.
    on_conflict : callable
        Called when another instance has changed the row.
    """

    def __init__(
        self,
        *,
        shard: base.ShardId,
        record: _record.ShardRecord,
        row_version: int,
        committer: stores.Committer,
        on_conflict: Callable[[], None],
    ) -> None:
        self.shard = shard
        self.record = record
        self.row_version = row_version
        self._committer = committer
        self._on_conflict = on_conflict
        self._writing = asyncio.Lock()

    async def write(
        self,
        change: Callable[[_record.ShardRecord], _record.ShardRecord],
    ) -> bool:
        """Apply a change to the record; True once it is stored.

        Changes are applied one after the other, each to the result of
        the one before.
        """
        async with self._writing:
            record = change(self.record)
            if record == self.record:
                return True
            result = await self._committer.commit(
                _record.make_record_write(
                    self.shard, record, row_version=self.row_version
                )
            )
            if isinstance(result, stores.Conflict):
                self._on_conflict()
            if not isinstance(result, stores.Committed):
                return False
            self.record = record
            self.row_version += 1
            return True
