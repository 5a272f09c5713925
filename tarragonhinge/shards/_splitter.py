"""Splitting of hot keys into partitions of their own."""

from collections.abc import Callable

from absl import logging
import msgspec

from tarragonhinge import base
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _hot_keys
from tarragonhinge.shards import _in_flight
from tarragonhinge.shards import _record
from tarragonhinge.shards import _recorder

#: Period at which hot and cold keys are determined.
HOT_KEY_CHECK_PERIOD_MS = 1000

#: Maximum number of keys to split out, and to merge back, in one check.
MAX_KEYS_PER_CHECK = 8

#: Longest time for which the requests of a key are held until those in
#: flight have finished.
DRAIN_TIMEOUT_MS = 100

#: Polling period for the end of requests in flight.
DRAIN_POLL_MS = 5

#: Pause after a failed write.
SPLIT_RETRY_MS = 10_000


class KeySplitter:
    """Splits hot keys out of their partitions and merges cold ones back.

    A split does not change the owner: the new partition is assigned to
    the server that owns the key's original partition, and can then move
    like any other.  The key's requests are held while those in flight
    finish, and until the split is stored.  A merge is a move: the split
    partition is held, drained and withdrawn at its server, and then
    removed from the record.  A key is therefore never in two partitions.

    Parameters
    ----------
    recorder : ShardRecorder
        Holds the shard's record.
    authority : AuthorityLease
        Checked before changes.
    in_flight : InFlightCounter
        Requests in flight.
    count_servers : callable
        Returns the number of usable servers.
    request_merge : callable
        Asks the mover to merge a partition back.
    on_written : callable
        Called after each attempt to split keys.
    partitions : int
        Number of partitions of the key space.
    clock : Clock
        Clock of this process.
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
        self._indexed_splits: dict | None = None
        self._split_partitions: dict[int, base.PartitionId] = {}

    def resolve(
        self, partition: base.PartitionId, key_hash: int
    ) -> base.PartitionId | None:
        """Return the partition of a key; None while it is being split."""
        if key_hash in self._held:
            return None
        return self._get_split_partitions().get(key_hash, partition)

    def _get_split_partitions(self) -> dict[int, base.PartitionId]:
        splits = self._recorder.record.splits
        if splits is not self._indexed_splits:
            self._indexed_splits = splits
            self._split_partitions = {
                key: split_partition for split_partition, key in splits.items()
            }
        return self._split_partitions

    async def run(self) -> None:
        """Split hot keys and merge cold ones until cancelled."""
        while True:
            await self._clock.sleep(HOT_KEY_CHECK_PERIOD_MS)
            self.hot_keys.decay()
            if self._authority.is_valid() and (
                self._clock.now() >= self._retry_at
            ):
                await self._check()

    async def _check(self) -> None:
        split = self._get_split_partitions()
        servers = self._count_servers()
        cold = self.hot_keys.list_cold(servers=servers, split=split)
        for key in cold[:MAX_KEYS_PER_CHECK]:
            self._request_merge(split[key])
        hot = self.hot_keys.list_hot(servers=servers, split=split)
        if hot:
            await self._split_out(hot[:MAX_KEYS_PER_CHECK])

    async def _split_out(self, keys: list[int]) -> None:
        """Hold keys, wait for their requests in flight, and split them."""
        self._held.update(keys)
        try:
            drained = await self._drain(keys)
            if drained and not await self._recorder.write(
                self._make_split(drained)
            ):
                self._retry_at = self._clock.now() + SPLIT_RETRY_MS
        finally:
            self._held.difference_update(keys)
            self._on_written()
        logging.info(
            "hot keys split shard=%s count=%d split=%d",
            self._recorder.shard,
            len(drained),
            len(self._recorder.record.splits),
        )

    async def _drain(self, keys: list[int]) -> list[int]:
        """Wait for the requests in flight of held keys.

        Keys that still have some after `DRAIN_TIMEOUT_MS` are released.

        Returns
        -------
        list of int
            Keys without requests in flight.
        """
        give_up_at = self._clock.now() + DRAIN_TIMEOUT_MS
        while any(map(self._in_flight.count_key, keys)):
            if self._clock.now() >= give_up_at:
                break
            await self._clock.sleep(DRAIN_POLL_MS)
        drained = [k for k in keys if not self._in_flight.count_key(k)]
        self._held.difference_update(set(keys) - set(drained))
        return drained

    def _make_split(
        self, keys: list[int]
    ) -> Callable[[_record.ShardRecord], _record.ShardRecord]:
        def split(record: _record.ShardRecord) -> _record.ShardRecord:
            owners, splits = dict(record.owners), dict(record.splits)
            number = max(record.next_split, self._partitions)
            for key in keys:
                original = owners.get(base.PartitionId(key % self._partitions))
                if original is None:
                    continue
                split_partition = base.PartitionId(number)
                number += 1
                owners[split_partition] = _record.Assignment(
                    server=original.server, epoch=base.Epoch(1)
                )
                splits[split_partition] = key
            return msgspec.structs.replace(
                record, owners=owners, splits=splits, next_split=number
            )

        return split

    def dump(self) -> dict:
        """Return the internal state, for inspection by operators."""
        return {
            "split": {
                str(p): k for k, p in self._get_split_partitions().items()
            },
            "held_keys": len(self._held),
        }
