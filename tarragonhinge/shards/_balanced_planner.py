"""Planner that balances the number of partitions."""

from collections.abc import Collection
from collections.abc import Sequence

from tarragonhinge import base
from tarragonhinge.shards import _planner


@_planner.PLANNERS.register("balanced")
class BalancedPlanner(_planner.Planner):
    """Balances the number of partitions by server weight, not by load."""

    def place(
        self,
        partitions: Sequence[base.PartitionId],
        *,
        owners: _planner.OwnerMap,
        loads: _planner.LoadMap,
        weights: _planner.WeightMap,
    ) -> dict[base.PartitionId, base.ServerId]:
        """Choose an owner for each of `partitions`."""
        counts = dict.fromkeys(weights, 0)
        placed = set(partitions)
        for partition, server in owners.items():
            if partition not in placed and server in counts:
                counts[server] += 1
        chosen = {}
        for partition in partitions:
            server = min(
                counts, key=lambda name: (counts[name] + 1) / weights[name]
            )
            counts[server] += 1
            chosen[partition] = server
        return chosen

    def rebalance(
        self,
        *,
        owners: _planner.OwnerMap,
        loads: _planner.LoadMap,
        weights: _planner.WeightMap,
        limit: int,
        splits: Collection[base.PartitionId] = (),
    ) -> dict[base.PartitionId, base.ServerId]:
        """Choose partitions whose move balances the counts."""
        owned: dict[base.ServerId, list] = {name: [] for name in weights}
        for partition, server in owners.items():
            if server in owned:
                owned[server].append(partition)
        chosen: dict[base.PartitionId, base.ServerId] = {}
        while len(chosen) < limit:
            source = max(
                owned,
                key=lambda candidate: (
                    len(owned[candidate]) / weights[candidate]
                ),
            )
            target = min(
                owned,
                key=lambda candidate: (
                    (len(owned[candidate]) + 1) / weights[candidate]
                ),
            )
            source_level = len(owned[source]) / weights[source]
            if (len(owned[target]) + 1) / weights[target] >= source_level:
                break
            partition = owned[source].pop()
            owned[target].append(partition)
            chosen[partition] = target
        return chosen
