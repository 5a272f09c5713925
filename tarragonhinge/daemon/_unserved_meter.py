"""Measures how long partitions cannot be served."""

import collections

from tarragonhinge import base
from tarragonhinge import shards

#: Shortest period between two checks of all partitions.
MIN_CHECK_PERIOD_MS = 250

#: Limit on the partitions checked per second.  The period is longer if there
#: are more partitions, so that the cost stays bounded.
MAX_CHECKED_PARTITIONS_PER_S = 4096


class UnservedMeter:
    """Measures the time during which partitions have no usable owner.

    Only partitions of shards that this instance leads are measured; no
    instance measures a leaderless shard.

    Parameters
    ----------
    coordinator : ShardCoordinator
        Lists the shards that this instance leads.
    clock : Clock
        Clock of this process.

    Attributes
    ----------
    partition_ms : Counter
        Time without a usable owner in milliseconds, summed over partitions,
        by shard.
    """

    def __init__(
        self, *, coordinator: shards.ShardCoordinator, clock: base.Clock
    ) -> None:
        self.partition_ms: collections.Counter[base.ShardId] = (
            collections.Counter()
        )
        self._coordinator = coordinator
        self._clock = clock

    async def run(self) -> None:
        """Measure until cancelled."""
        last_at = self._clock.now()
        while True:
            await self._clock.sleep(self._choose_period_ms())
            now = self._clock.now()
            for shard, leader in self._coordinator.leaders.items():
                count = count_unserved(leader)
                self.partition_ms[shard] += count * (now - last_at)
            last_at = now

    def _choose_period_ms(self) -> int:
        partitions = sum(
            leader.row.partitions
            for leader in self._coordinator.leaders.values()
        )
        return max(
            MIN_CHECK_PERIOD_MS,
            partitions * base.MS_PER_S // MAX_CHECKED_PARTITIONS_PER_S,
        )


def count_unserved(leader: shards.ShardLeader) -> int:
    """Return the number of partitions without a usable owner."""
    _, region = base.split_shard_id(leader.shard)
    partitions = leader.row.list_partitions(region)
    if leader.state is not shards.LeaderState.LEADING:
        return len(partitions)
    return sum(leader.owners.find_owner(p) is None for p in partitions)
