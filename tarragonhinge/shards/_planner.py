"""Interface of the planners that choose owners for partitions."""

import abc
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from tarragonhinge import base

#: Owner of each partition.
OwnerMap = Mapping[base.PartitionId, base.ServerId]

#: Load of each partition, in an arbitrary common unit; 0 if missing.
LoadMap = Mapping[base.PartitionId, float]

#: Weight of each usable server.
WeightMap = Mapping[base.ServerId, float]


class Planner(abc.ABC):
    """Chooses owners in a trade-off between imbalance and churn.

    Each leadership has its own planner, which may keep state between
    calls.

    Parameters
    ----------
    churn_weight : float
        Cost of moving a partition, as a multiple of the mean load of a
        partition.  Higher values lead to fewer moves.
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
            Current owners.
        loads : mapping
            Load of each partition.
        weights : mapping
            Weight of each usable server; not empty.

        Returns
        -------
        dict
            Owner of each of `partitions`.
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
        owners : mapping
            Current owners.
        loads : mapping
            Load of each partition.
        weights : mapping
            Weight of each usable server; not empty.
        limit : int
            Maximum number of partitions to move.
        splits : collection of PartitionId
            Partitions that hold a single key; the churn of their moves
            is negligible.

        Returns
        -------
        dict
            New owner of each partition that should move.
        """


#: Planners by their name in the operators' table.
PLANNERS: base.Registry[Planner] = base.Registry(kind="planner")
