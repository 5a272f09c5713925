"""Writes of the record of a shard that this instance leads."""

import asyncio
from collections.abc import Callable

from tarragonhinge import base
from tarragonhinge.shards import _outage_agreement
from tarragonhinge.shards import _record
from tarragonhinge import stores

#: Pause after a write for which the store was unavailable.
WRITE_RETRY_MS = 500


class ShardRecorder:
    """Holds the leader's record, which only confirmed writes change.

    Parameters
    ----------
    shard : ShardId
        The shard.
    record : ShardRecord
        The record that this instance wrote.
    row_version : int
        Version of the shard's row after that write.
    committer : Committer
        Writes the row.
    on_conflict : callable
        Called when another instance has changed the row.
    agreement : OutageAgreement
        Prevents writes while a standby may hold it.
    clock : Clock
        Measures the pause between writes while the store is down.

    Attributes
    ----------
    confirmed : bool
        False while this leadership is not stored in the table.
    closed : bool
        True while the instance claims the shard again; prevents writes.
    """

    def __init__(
        self,
        *,
        shard: base.ShardId,
        record: _record.ShardRecord,
        row_version: int,
        committer: stores.Committer,
        on_conflict: Callable[[], None],
        agreement: _outage_agreement.OutageAgreement,
        clock: base.Clock,
    ) -> None:
        self.shard = shard
        self.record = record
        self.row_version = row_version
        self._committer = committer
        self._on_conflict = on_conflict
        self.confirmed = True
        self.closed = False
        self._agreement = agreement
        self._clock = clock
        self._retry_at = 0
        self._writing = asyncio.Lock()

    def is_idle(self) -> bool:
        """Return whether no write is under way or waiting."""
        return not self._writing.locked()

    def _may_write(self) -> bool:
        return (
            self.confirmed
            and not self.closed
            and not self._agreement.may_be_held()
            and self._clock.now() >= self._retry_at
        )

    async def write(
        self,
        change: Callable[[_record.ShardRecord], _record.ShardRecord],
    ) -> bool:
        """Apply a change to the record and store the result.

        Concurrent changes are applied one after the other, each to the
        result of the previous one.

        Parameters
        ----------
        change : callable
            Returns the changed record.

        Returns
        -------
        bool
            True if the result is stored.
        """
        async with self._writing:
            record = change(self.record)
            if record == self.record:
                return True
            return self._may_write() and await self._store(record)

    async def confirm(self) -> bool:
        """Store the record of a leadership that began in a store outage.

        Returns
        -------
        bool
            True if the leadership is stored in the table.
        """
        async with self._writing:
            self.confirmed = self.confirmed or await self._store(self.record)
            return self.confirmed

    async def _store(self, record: _record.ShardRecord) -> bool:
        result = await self._committer.commit(
            _record.make_record_write(
                self.shard, record, row_version=self.row_version
            )
        )
        if isinstance(result, stores.Conflict):
            self._on_conflict()
        if isinstance(result, stores.Unavailable):
            self._retry_at = self._clock.now() + WRITE_RETRY_MS
        if not isinstance(result, stores.Committed):
            return False
        self.record = record
        self.row_version += 1
        return True
