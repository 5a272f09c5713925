"""Gives hot keys partitions of their own."""

from collections.abc import Callable

from absl import logging
import msgspec

from tarragonhinge import base
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _hot_keys
from tarragonhinge.shards import _in_flight
from tarragonhinge.shards import _record
from tarragonhinge.shards import _recorder

#: Period at which keys are compared.
CHECK_PERIOD_MS = 1000

#: Keys that are split out or merged back in one write.
BATCH = 8

#: Longest time that requests of a key are held for those in flight.
DRAIN_LIMIT_MS = 100

#: Period at which requests in flight are looked at.
DRAIN_POLL_MS = 5

#: Pause after a write that the store refused.
RETRY_MS = 10_000


class KeySplitter:
    """Splits hot keys out of their partitions and merges cold ones back.

    A split changes no owner: the key stays on the server that owns its
    partition when the split is written, and moves from there like any
    other partition.  The key's requests are held from before its last
    request under the old partition has finished until the write is
    stored.  A merge is a move: the split partition is held, drained and
    withdrawn at its server, and then the record forgets it.  Either way
    a key is never in two partitions.

    Parameters
    ----------
    recorder : ShardRecorder
        The shard's record.
    authority : AuthorityLease
        Checked before changes.
    in_flight : InFlightCounter
        Requests that are running.
    count_servers : callable
        Returns the number of usable servers.
    request_merge : callable
        Asks the mover to merge a partition back.
    on_written : callable
        Called after a change of the record.
    partitions : int
        Number of partitions of the key space.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        recorder: _recorder.ShardRecorder,
        authority: _authority.AuthorityLease,
        in_flight: _in_flight.InFlightCounter,
        count_servers: Callable[[], int],
        request_merge: Callable[[base.PartitionId], None],
        on_written: Callable[[], None],
        partitions: int,
        clock: base.Clock,
    ) -> None:
        self.hot_keys = _hot_keys.HotKeyDetector(clock=clock)
        self._recorder = recorder
        self._authority = authority
        self._in_flight = in_flight
        self._count_servers = count_servers
        self._request_merge = request_merge
        self._on_written = on_written
        self._partitions = partitions
        self._clock = clock
        self._retry_at = clock.now()
        self._held: set[int] = set()
        self._seen: dict | None = None
        self._split: dict[int, base.PartitionId] = {}

    def resolve(
        self, partition: base.PartitionId, key_hash: int
    ) -> base.PartitionId | None:
        """Return the partition that holds a key; None while it changes."""
        if key_hash in self._held:
            return None
        return self._list_split().get(key_hash, partition)

    def _list_split(self) -> dict[int, base.PartitionId]:
        splits = self._recorder.record.splits
        if splits is not self._seen:
            self._seen = splits
            self._split = {key: part for part, key in splits.items()}
        return self._split

    async def run(self) -> None:
        """Compare keys until cancelled."""
        while True:
            await self._clock.sleep(CHECK_PERIOD_MS)
            self.hot_keys.decay()
            if self._authority.is_valid() and (
                self._clock.now() >= self._retry_at
            ):
                await self._check()

    async def _check(self) -> None:
        split = self._list_split()
        servers = self._count_servers()
        cold = self.hot_keys.list_cold(servers=servers, split=split)
        for key in cold[:BATCH]:
            self._request_merge(split[key])
        hot = self.hot_keys.list_hot(servers=servers, split=split)
        if hot:
            await self._split_out(hot[:BATCH])

    async def _split_out(self, keys: list[int]) -> None:
        """Hold keys, let their requests finish, and write the splits."""
        self._held.update(keys)
        try:
            drained = await self._drain(keys)
            if drained and not await self._recorder.write(
                self._make_change(drained)
            ):
                self._retry_at = self._clock.now() + RETRY_MS
        finally:
            self._held.difference_update(keys)
            self._on_written()
        logging.info(
            "split keys changed shard=%s count=%d split=%d",
            self._recorder.shard,
            len(drained),
            len(self._recorder.record.splits),
        )

    async def _drain(self, keys: list[int]) -> list[int]:
        """Return the held keys without requests in flight."""
        give_up_at = self._clock.now() + DRAIN_LIMIT_MS
        while any(map(self._in_flight.count_key, keys)):
            if self._clock.now() >= give_up_at:
                break
            await self._clock.sleep(DRAIN_POLL_MS)
        drained = [k for k in keys if not self._in_flight.count_key(k)]
        self._held.difference_update(set(keys) - set(drained))
        return drained

    def _make_change(
        self, keys: list[int]
    ) -> Callable[[_record.ShardRecord], _record.ShardRecord]:
        def split(record: _record.ShardRecord) -> _record.ShardRecord:
            owners, splits = dict(record.owners), dict(record.splits)
            number = max(record.next_split, self._partitions)
            for key in keys:
                home = owners.get(base.PartitionId(key % self._partitions))
                if home is None:
                    continue
                part = base.PartitionId(number)
                number += 1
                owners[part] = _record.Assignment(
                    server=home.server, epoch=base.Epoch(1)
                )
                splits[part] = key
            return msgspec.structs.replace(
                record, owners=owners, splits=splits, next_split=number
            )

        return split

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        return {
            "split": {str(p): k for k, p in self._list_split().items()},
            "held_keys": len(self._held),
        }
