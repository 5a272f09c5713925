"""Planner that weighs imbalance against churn."""

from collections.abc import Collection
from collections.abc import Sequence

from tarragonhinge import base
from tarragonhinge.shards import _planner

#: Imbalance at which moves begin, and below which they end.
START_IMBALANCE = 0.2
STOP_IMBALANCE = 0.1

#: Calls of `rebalance` for which a moved partition stays where it is.
REST_ROUNDS = 30

#: Load of an idle partition, as a share of the mean load of one.
IDLE_SHARE = 0.05


class _Balance:
    """Loads of servers while moves are tried out."""

    def __init__(
        self,
        *,
        owners: _planner.OwnerMap,
        loads: _planner.LoadMap,
        weights: _planner.WeightMap,
    ) -> None:
        self.weights = weights
        self.count = max(1, len(owners))
        mean = sum(loads.values()) / self.count
        self._idle = IDLE_SHARE * mean or 1.0
        self._loads = loads
        self.owned: dict[base.ServerId, list[base.PartitionId]] = {
            name: [] for name in weights
        }
        self.totals = dict.fromkeys(weights, 0.0)
        for partition, server in owners.items():
            if server in self.owned:
                self.add(partition, server)

    def get_load(self, partition: base.PartitionId) -> float:
        """Return the load of a partition, with a floor for idle ones."""
        return self._loads.get(partition, 0.0) + self._idle

    def get_level(self, server: base.ServerId, extra: float = 0.0) -> float:
        """Return a server's load over its weight."""
        return (self.totals[server] + extra) / self.weights[server]

    def get_mean(self) -> float:
        """Return the level of all servers if loads were even."""
        return sum(self.totals.values()) / sum(self.weights.values())

    def add(self, partition: base.PartitionId, server: base.ServerId) -> None:
        """Give a partition to a server."""
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
    """Moves a partition only where that gains more than it costs.

    The gain of a move is the fall of the higher level of its two
    servers, in units of the mean level; its cost is `churn_weight`
    times the level of a partition of average load.  So at 1 a partition
    moves only if that gains as much as its keys are on average worth,
    and a partition that holds a single key costs nothing.  Moves
    begin at one imbalance and end at a lower one, and a partition that
    has moved rests for a while, so that noise moves nothing to and fro.
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
        """Give the heaviest first, each to the lowest level."""
        placed = set(partitions)
        rest = {p: s for p, s in owners.items() if p not in placed}
        balance = _Balance(owners=rest, loads=loads, weights=weights)
        chosen = {}
        for partition in sorted(
            partitions, key=balance.get_load, reverse=True
        ):
            load = balance.get_load(partition)
            server = min(weights, key=lambda n: balance.get_level(n, load))
            balance.add(partition, server)
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
        """Choose moves from high to low levels, while they are worth it."""
        self._forget_rested()
        if not loads or len(weights) < 2:
            return {}
        balance = _Balance(owners=owners, loads=loads, weights=weights)
        chosen: dict[base.PartitionId, base.ServerId] = {}
        full: set[base.ServerId] = set()
        while len(chosen) < limit:
            source = max(
                (name for name in weights if name not in full),
                key=balance.get_level,
            )
            if not self._is_worth_it(balance, source):
                break
            partition, target = self._find_move(balance, source, splits)
            if partition is None:
                full.add(source)
                if len(full) == len(weights):
                    break
                continue
            balance.move(partition, source, target)
            chosen[partition] = target
            self._moved[partition] = self._round
        return chosen

    def _forget_rested(self) -> None:
        self._round += 1
        self._moved = {
            partition: moved
            for partition, moved in self._moved.items()
            if self._round - moved < REST_ROUNDS
        }

    def _is_worth_it(self, balance: _Balance, source: base.ServerId) -> bool:
        imbalance = balance.get_level(source) / balance.get_mean() - 1
        limit = STOP_IMBALANCE if self._active else START_IMBALANCE
        self._active = imbalance > limit
        return self._active

    def _find_move(
        self,
        balance: _Balance,
        source: base.ServerId,
        splits: Collection[base.PartitionId],
    ) -> tuple[base.PartitionId | None, base.ServerId]:
        """Return the best move from a server to the lowest level."""
        target = min(balance.weights, key=balance.get_level)
        level = balance.get_level(source)
        mean = balance.get_mean()
        best, best_profit = None, 0.0
        for partition in balance.owned[source]:
            if partition in self._moved:
                continue
            load = balance.get_load(partition)
            higher = max(
                balance.get_level(source, -load),
                balance.get_level(target, load),
            )
            cost = 0.0 if partition in splits else self._get_cost(balance)
            profit = (level - higher) / mean - cost
            if profit > best_profit:
                best, best_profit = partition, profit
        return best, target

    def _get_cost(self, balance: _Balance) -> float:
        return self.churn_weight * len(balance.weights) / balance.count
