"""Reads the records of all shards that concern one instance."""

import asyncio
import random
from typing import Protocol

from absl import logging

from tarragonhinge import base
from tarragonhinge.shards import _record
from tarragonhinge.shards import _timing
from tarragonhinge import stores

#: Longest pause between two reads while the store is down.
DOWN_CAP_MS = 2000

#: Age of a contact that never was.
NEVER_MS = 1 << 40


class RecordWatcher(Protocol):
    """Role of this instance in one shard."""

    def is_urgent(self) -> bool:
        """Return whether the record is needed at once."""

    def take_record(self, record: _record.ShardRecord, sent_at: int) -> None:
        """Take the record as a read that was sent at `sent_at` saw it."""


class RecordReader:
    """One batched read for all shards, paced by the most urgent one.

    A leader that its standby confirms needs the table seldom, so the
    reads of an instance do not grow with its shards.

    Parameters
    ----------
    table : TableClient
        The table service.
    clock : Clock
        This process's clock.
    timing : Timing
        Durations.
    rng : random.Random or None
        Source of jitter.

    Attributes
    ----------
    down : bool
        True if the last read failed or took longer than a lease.
    confirm_ms : int
        Period of reads while nothing is urgent.
    """

    def __init__(
        self,
        *,
        table: stores.TableClient,
        clock: base.Clock,
        timing: _timing.Timing,
        rng: random.Random | None = None,
    ) -> None:
        self.down = False
        self.confirm_ms = timing.confirm_ms
        self._watchers: dict[base.ShardId, RecordWatcher] = {}
        self._table = table
        self._clock = clock
        self._timing = timing
        self._rng = rng or random.Random()
        self._read_at = -NEVER_MS
        self._wake = asyncio.Event()
        self._pause_ms = 0

    def watch(self, shard: base.ShardId, watcher: RecordWatcher) -> None:
        """Read a shard's record from now on, in place of any other role."""
        self._watchers[shard] = watcher
        self._wake.set()

    def forget(self, shard: base.ShardId, watcher: RecordWatcher) -> None:
        """Stop reading for a role that has ended."""
        if self._watchers.get(shard) is watcher:
            del self._watchers[shard]

    async def run(self) -> None:
        """Read records until cancelled."""
        tick_ms = self._timing.lease_ms // 3
        while True:
            self._wake.clear()
            if self._is_due():
                await self._read()
            pause = asyncio.create_task(
                self._clock.sleep(max(tick_ms, self._pause_ms))
            )
            wake = asyncio.create_task(self._wait_wake())
            try:
                await asyncio.wait(
                    {pause, wake}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                pause.cancel()
                wake.cancel()

    async def _wait_wake(self) -> None:
        """Wait for a new role; a store that is down is left its pause."""
        await self._wake.wait()
        if self.down:
            await self._clock.sleep(self._pause_ms)

    def _is_due(self) -> bool:
        if not self._watchers:
            return False
        if self.down or any(w.is_urgent() for w in self._watchers.values()):
            return True
        return self._clock.now() - self._read_at >= self.confirm_ms

    async def _read(self) -> None:
        watchers = dict(self._watchers)
        keys = [_record.make_record_key(shard) for shard in watchers]
        sent_at = self._clock.now()
        reading = asyncio.create_task(self._table.read(keys))
        try:
            await asyncio.wait(
                {reading}, timeout=self._timing.lease_ms / base.MS_PER_S
            )
            if not reading.done():
                self._note_state(down=True)
            rows = await reading
        finally:
            reading.cancel()
        if isinstance(rows, stores.Unavailable):
            self._note_state(down=True)
            self._back_off()
            return
        self._read_at = sent_at
        self._pause_ms = 0
        late = self._clock.now() - sent_at > self._timing.lease_ms
        self._note_state(down=late)
        for (shard, watcher), row in zip(watchers.items(), rows, strict=True):
            if row.version and self._watchers.get(shard) is watcher:
                watcher.take_record(_record.decode_record(row.value), sent_at)

    def _back_off(self) -> None:
        """Spread the reads of all instances that wait for the store."""
        longest = min(
            DOWN_CAP_MS, max(self._timing.lease_ms, 2 * self._pause_ms)
        )
        self._pause_ms = self._rng.randint(longest // 2, longest)

    def _note_state(self, *, down: bool) -> None:
        if down != self.down:
            state = "down" if down else "up"
            logging.info("store seen state=%s", state)
        self.down = down
