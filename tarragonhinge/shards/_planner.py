"""Contract of the policies that choose owners for partitions."""

import abc
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from tarragonhinge import base

#: Owner of each partition, as a planner sees it.
OwnerMap = Mapping[base.PartitionId, base.ServerId]

#: Load of each partition, in any one unit; a missing one has none.
LoadMap = Mapping[base.PartitionId, float]

#: Usable servers with their weights.
WeightMap = Mapping[base.ServerId, float]


class Planner(abc.ABC):
    """Chooses owners, weighing imbalance against churn.

    A planner belongs to one leadership and may remember what it did.

    Parameters
    ----------
    churn_weight : float
        Cost of moving a partition, in units of the load of an average
        one; the higher, the fewer moves.
    """

    def __init__(self, *, churn_weight: float) -> None:
        self.churn_weight = churn_weight

    @abc.abstractmethod
    def place(
        self,
        partitions: Sequence[base.PartitionId],
        *,
        owners: OwnerMap,
        loads: LoadMap,
        weights: WeightMap,
    ) -> dict[base.PartitionId, base.ServerId]:
        """Choose an owner for each of `partitions`.

        Parameters
        ----------
        partitions : sequence of PartitionId
            Partitions without a usable owner.
        owners : mapping
            Present owners.
        loads : mapping
            Load of each partition.
        weights : mapping
            Usable servers with their weights; not empty.
        """

    @abc.abstractmethod
    def rebalance(
        self,
        *,
        owners: OwnerMap,
        loads: LoadMap,
        weights: WeightMap,
        limit: int,
        splits: Collection[base.PartitionId] = (),
    ) -> dict[base.PartitionId, base.ServerId]:
        """Choose partitions of usable servers that should move.

        Parameters
        ----------
        owners, loads, weights : mapping
            As for `place`.
        limit : int
            Most partitions that may be chosen.
        splits : collection of PartitionId
            Partitions that hold a single key, whose move is no churn to
            speak of.
        """


#: Planners by the name that a row of the operators' table gives.
PLANNERS: base.Registry[Planner] = base.Registry(kind="planner")
