"""Measures for how long partitions cannot be served."""

import collections

from tarragonhinge import base
from tarragonhinge import shards

#: Finest resolution of the measurement.
PERIOD_MS = 250

#: Partitions looked at in a second; with more of them the resolution
#: gets coarser and the cost stays.
LOOKS_PER_S = 4096


class UnservedMeter:
    """Adds up the time that led partitions had no usable owner.

    It looks at the partitions of the shards that this instance leads
    only, and a shard without a leader is measured by nobody.

    Parameters
    ----------
    coordinator : ShardCoordinator
        Knows the shards that this instance leads.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    partition_ms : Counter
        Milliseconds without an owner, summed over partitions, by shard.
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
        return max(PERIOD_MS, partitions * base.MS_PER_S // LOOKS_PER_S)


def count_unserved(leader: shards.ShardLeader) -> int:
    """Return the partitions of a shard that nobody can serve now."""
    _, region = base.split_shard_id(leader.shard)
    partitions = leader.row.list_partitions(region)
    if leader.state is not shards.LeaderState.LEADING:
        return len(partitions)
    return sum(leader.owners.find_owner(p) is None for p in partitions)
