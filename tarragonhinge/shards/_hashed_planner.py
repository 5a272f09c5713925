"""Planner that ignores load."""

from collections.abc import Collection
from collections.abc import Sequence

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge.shards import _planner


@_planner.PLANNERS.register("hashed")
class HashedPlanner(_planner.Planner):
    """Chooses owners by rendezvous hashing; serves as a baseline."""

    def place(
        self,
        partitions: Sequence[base.PartitionId],
        *,
        owners: _planner.OwnerMap,
        loads: _planner.LoadMap,
        weights: _planner.WeightMap,
    ) -> dict[base.PartitionId, base.ServerId]:
        """Choose an owner for each of `partitions`."""
        return {
            partition: membership.rank_names(str(partition), weights)[0]
            for partition in partitions
        }

    def rebalance(
        self,
        *,
        owners: _planner.OwnerMap,
        loads: _planner.LoadMap,
        weights: _planner.WeightMap,
        limit: int,
        splits: Collection[base.PartitionId] = (),
    ) -> dict[base.PartitionId, base.ServerId]:
        """Choose partitions whose hash prefers another usable server."""
        chosen = {}
        for partition, server in owners.items():
            if len(chosen) >= limit:
                break
            preferred = membership.rank_names(str(partition), weights)[0]
            if server in weights and preferred != server:
                chosen[partition] = preferred
        return chosen
