"""Policies that choose owners for partitions."""

import abc
from collections.abc import Mapping
from collections.abc import Sequence

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge.shards import _record


class Planner(abc.ABC):
    """Chooses owners, weighing imbalance against churn.

    Parameters
    ----------
    churn_weight : float
        Cost of moving a partition against a unit of imbalance.
    """

    def __init__(self, *, churn_weight: float) -> None:
        self.churn_weight = churn_weight

    @abc.abstractmethod
    def place(
        self,
        partitions: Sequence[base.PartitionId],
        *,
        owners: Mapping[base.PartitionId, _record.Assignment],
        weights: Mapping[base.ServerId, float],
    ) -> dict[base.PartitionId, base.ServerId]:
        """Choose an owner for each of `partitions`.

        Parameters
        ----------
        partitions : sequence of PartitionId
            Partitions without a usable owner.
        owners : mapping
            Present assignments.
        weights : mapping
            Usable servers with their weights; not empty.
        """


#: Planners by the name that a row of the operators' table gives.
PLANNERS: base.Registry[Planner] = base.Registry(kind="planner")


@PLANNERS.register("balanced")
class BalancedPlanner(Planner):
    """Gives each partition to the server that is least loaded by count."""

    def place(
        self,
        partitions: Sequence[base.PartitionId],
        *,
        owners: Mapping[base.PartitionId, _record.Assignment],
        weights: Mapping[base.ServerId, float],
    ) -> dict[base.PartitionId, base.ServerId]:
        """Choose an owner for each of `partitions`."""
        counts = dict.fromkeys(weights, 0)
        placed = set(partitions)
        for partition, assignment in owners.items():
            if partition not in placed and assignment.server in counts:
                counts[assignment.server] += 1
        chosen = {}
        for partition in partitions:
            server = min(
                counts, key=lambda name: (counts[name] + 1) / weights[name]
            )
            counts[server] += 1
            chosen[partition] = server
        return chosen


@PLANNERS.register("hashed")
class HashedPlanner(Planner):
    """Baseline: the owner follows from a hash of the partition alone."""

    def place(
        self,
        partitions: Sequence[base.PartitionId],
        *,
        owners: Mapping[base.PartitionId, _record.Assignment],
        weights: Mapping[base.ServerId, float],
    ) -> dict[base.PartitionId, base.ServerId]:
        """Choose an owner for each of `partitions`."""
        return {
            partition: membership.rank_names(str(partition), weights)[0]
            for partition in partitions
        }
