"""Reader for the records of the shards in which one instance has a role."""

import asyncio
import random
from typing import Protocol

from absl import logging

from tarragonhinge import base
from tarragonhinge.shards import _record
from tarragonhinge.shards import _timing
from tarragonhinge import stores

#: Longest pause between two reads while the store is down.
MAX_OUTAGE_PAUSE_MS = 2000

#: Age of the last contact with the store if there has been none.
NO_CONTACT_AGE_MS = 1 << 40


class RecordWatcher(Protocol):
    """Role of this instance in one shard that follows its record."""

    def needs_immediate_read(self) -> bool:
        """Return whether the record must be read without delay."""

    def apply_record(self, record: _record.ShardRecord, sent_at: int) -> None:
        """Apply the result of a read that was sent at `sent_at`."""


class RecordReader:
    """Reads the records of all watched shards in one batch.

    The most urgent role determines when to read.  A leader with a live
    standby rarely needs the table, so the number of reads of an instance
    does not grow with its number of shards.

    Parameters
    ----------
    table : TableClient
        Client of the table service.
    clock : Clock
        Clock of this process.
    timing : Timing
        Durations of leases and heartbeats.
    rng : random.Random or None
        Source of jitter.

    Attributes
    ----------
    down : bool
        True if the last read failed or took longer than a lease.
    confirm_ms : int
        Period of reads while no role needs an immediate one.
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
        self._read_at = -NO_CONTACT_AGE_MS
        self._wake = asyncio.Event()
        self._pause_ms = 0

    def watch(self, shard: base.ShardId, watcher: RecordWatcher) -> None:
        """Watch a shard's record for a role; replaces its other watcher."""
        self._watchers[shard] = watcher
        self._wake.set()

    def unwatch(self, shard: base.ShardId, watcher: RecordWatcher) -> None:
        """Stop watching a shard's record for a role that has ended."""
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
            wake = asyncio.create_task(self._wait_for_watcher())
            try:
                await asyncio.wait(
                    {pause, wake}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                pause.cancel()
                wake.cancel()

    async def _wait_for_watcher(self) -> None:
        """Wait for a new watcher and, in a store outage, for the pause."""
        await self._wake.wait()
        if self.down:
            await self._clock.sleep(self._pause_ms)

    def _is_due(self) -> bool:
        if not self._watchers:
            return False
        if self.down or any(
            w.needs_immediate_read() for w in self._watchers.values()
        ):
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
                self._update_state(down=True)
            rows = await reading
        finally:
            reading.cancel()
        if isinstance(rows, stores.Unavailable):
            self._update_state(down=True)
            self._back_off()
            return
        self._read_at = sent_at
        self._pause_ms = 0
        is_late = self._clock.now() - sent_at > self._timing.lease_ms
        self._update_state(down=is_late)
        for (shard, watcher), row in zip(watchers.items(), rows, strict=True):
            if row.version and self._watchers.get(shard) is watcher:
                watcher.apply_record(_record.decode_record(row.value), sent_at)

    def _back_off(self) -> None:
        """Choose a longer random pause before the next read.

        The jitter spreads the reads of all instances over time, so that
        they do not all reach a recovering store at once.
        """
        longest_ms = min(
            MAX_OUTAGE_PAUSE_MS, max(self._timing.lease_ms, 2 * self._pause_ms)
        )
        self._pause_ms = self._rng.randint(longest_ms // 2, longest_ms)

    def _update_state(self, *, down: bool) -> None:
        if down != self.down:
            state = "down" if down else "up"
            logging.info("store state changed state=%s", state)
        self.down = down
