"""Planner that trades load imbalance off against churn."""

from collections.abc import Collection
from collections.abc import Sequence

from tarragonhinge import base
from tarragonhinge.shards import _planner

#: Imbalances above which moves start and continue.  The imbalance is the
#: excess of the highest relative load over the mean, as a fraction of
#: the mean.
MOVE_START_IMBALANCE = 0.2
MOVE_STOP_IMBALANCE = 0.1

#: Number of `rebalance` calls during which a moved partition does not
#: move again.
MOVE_COOLDOWN_ROUNDS = 30

#: Load added to each partition, as a fraction of the mean load, so that
#: idle partitions count too.
IDLE_LOAD_RATIO = 0.05


class _TentativeAssignment:
    """Assignment to which moves are applied tentatively.

    The relative load of a server is its load divided by its weight.
    """

    def __init__(
        self,
        *,
        owners: _planner.OwnerMap,
        loads: _planner.LoadMap,
        weights: _planner.WeightMap,
    ) -> None:
        self.weights = weights
        self.count = max(1, len(owners))
        mean_load = sum(loads.values()) / self.count
        self._idle = IDLE_LOAD_RATIO * mean_load or 1.0
        self._loads = loads
        self.owned: dict[base.ServerId, list[base.PartitionId]] = {
            name: [] for name in weights
        }
        self.totals = dict.fromkeys(weights, 0.0)
        for partition, server in owners.items():
            if server in self.owned:
                self.add(partition, server)

    def get_load(self, partition: base.PartitionId) -> float:
        """Return the load of a partition, increased by the idle load."""
        return self._loads.get(partition, 0.0) + self._idle

    def get_relative_load(
        self, server: base.ServerId, extra: float = 0.0
    ) -> float:
        """Return the load of a server divided by its weight."""
        return (self.totals[server] + extra) / self.weights[server]

    def get_mean_relative_load(self) -> float:
        """Return the relative load of all servers in perfect balance."""
        return sum(self.totals.values()) / sum(self.weights.values())

    def add(self, partition: base.PartitionId, server: base.ServerId) -> None:
        """Assign a partition to a server."""
        self.owned[server].append(partition)
        self.totals[server] += self.get_load(partition)

    def move(
        self,
        partition: base.PartitionId,
        source: base.ServerId,
        target: base.ServerId,
    ) -> None:
        """Move a partition between two servers."""
        self.owned[source].remove(partition)
        self.totals[source] -= self.get_load(partition)
        self.add(partition, target)


@_planner.PLANNERS.register("weighed")
class WeighedPlanner(_planner.Planner):
    """Moves a partition only if the gain exceeds the cost of the churn.

    The gain of a move is the reduction of the higher relative load of
    its two servers, divided by the mean relative load.  The cost is
    `churn_weight` times the same ratio for a partition of mean load, and
    0 for a partition that holds a single key.  With a churn weight of 1, a
    move must gain as much as a partition of mean load adds to the relative
    load of a server.  Two measures prevent oscillation under noisy loads:
    moves stop at a lower imbalance than they start at, and a moved
    partition does not move again for `MOVE_COOLDOWN_ROUNDS` calls.
    """

    def __init__(self, *, churn_weight: float) -> None:
        super().__init__(churn_weight=churn_weight)
        self._round = 0
        self._active = False
        self._moved: dict[base.PartitionId, int] = {}

    def place(
        self,
        partitions: Sequence[base.PartitionId],
        *,
        owners: _planner.OwnerMap,
        loads: _planner.LoadMap,
        weights: _planner.WeightMap,
    ) -> dict[base.PartitionId, base.ServerId]:
        """Choose an owner for each partition, in descending order of load.

        Each partition goes to the server with the lowest relative load.
        """
        placed = set(partitions)
        other_owners = {p: s for p, s in owners.items() if p not in placed}
        assignment = _TentativeAssignment(
            owners=other_owners, loads=loads, weights=weights
        )
        chosen = {}
        for partition in sorted(
            partitions, key=assignment.get_load, reverse=True
        ):
            load = assignment.get_load(partition)
            server = min(
                weights, key=lambda n: assignment.get_relative_load(n, load)
            )
            assignment.add(partition, server)
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
        """Choose moves from the most to the least loaded servers."""
        self._expire_cooldowns()
        if not loads or len(weights) < 2:
            return {}
        assignment = _TentativeAssignment(
            owners=owners, loads=loads, weights=weights
        )
        chosen: dict[base.PartitionId, base.ServerId] = {}
        exhausted: set[base.ServerId] = set()
        while len(chosen) < limit:
            source = max(
                (name for name in weights if name not in exhausted),
                key=assignment.get_relative_load,
            )
            if not self._is_imbalanced(assignment, source):
                break
            partition, target = self._find_move(assignment, source, splits)
            if partition is None:
                exhausted.add(source)
                if len(exhausted) == len(weights):
                    break
                continue
            assignment.move(partition, source, target)
            chosen[partition] = target
            self._moved[partition] = self._round
        return chosen

    def _expire_cooldowns(self) -> None:
        self._round += 1
        self._moved = {
            partition: moved
            for partition, moved in self._moved.items()
            if self._round - moved < MOVE_COOLDOWN_ROUNDS
        }

    def _is_imbalanced(
        self, assignment: _TentativeAssignment, source: base.ServerId
    ) -> bool:
        imbalance = (
            assignment.get_relative_load(source)
            / assignment.get_mean_relative_load()
            - 1
        )
        limit = MOVE_STOP_IMBALANCE if self._active else MOVE_START_IMBALANCE
        self._active = imbalance > limit
        return self._active

    def _find_move(
        self,
        assignment: _TentativeAssignment,
        source: base.ServerId,
        splits: Collection[base.PartitionId],
    ) -> tuple[base.PartitionId | None, base.ServerId]:
        """Return the best move from a server to the least loaded one.

        Returns
        -------
        partition : PartitionId or None
            The partition to move; None if no move is worth its cost.
        target : ServerId
            The least loaded server.
        """
        target = min(assignment.weights, key=assignment.get_relative_load)
        source_load = assignment.get_relative_load(source)
        mean_relative_load = assignment.get_mean_relative_load()
        best, best_gain = None, 0.0
        for partition in assignment.owned[source]:
            if partition in self._moved:
                continue
            load = assignment.get_load(partition)
            highest_after = max(
                assignment.get_relative_load(source, -load),
                assignment.get_relative_load(target, load),
            )
            cost = (
                0.0
                if partition in splits
                else self._compute_move_cost(assignment)
            )
            net_gain = (
                source_load - highest_after
            ) / mean_relative_load - cost
            if net_gain > best_gain:
                best, best_gain = partition, net_gain
        return best, target

    def _compute_move_cost(self, assignment: _TentativeAssignment) -> float:
        return self.churn_weight * len(assignment.weights) / assignment.count
