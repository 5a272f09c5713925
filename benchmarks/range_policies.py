"""Simulates key ranges divided equally, by speed, by load, or by both.

Run as ``python benchmarks/range_policies.py``.  The hot keys of the load lie
close together and are replaced every five seconds.  The router's own load
counts and planner decide every half second, and moves take effect at once.
Server speeds differ by up to 1:2.5.

busiest  utilization of the busiest server: mean over the steps
excess   fraction of the requests beyond the capacity of their server
moved    number of moved keys over the number of all keys
"""

from collections.abc import Callable
import random
import statistics

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import ranges
from tarragonhinge import testing

SERVER_COUNT = 16
SLOTS = 2
#: Service time at a server of speed 1, as in the users' sheets.
SERVICE_MS = 220
SPEEDS = (0.6, 1.0, 1.0, 1.5)
STEP_MS = 500
STEPS = 120
HOT_KEY_CHANGE_STEPS = 10
HOT_KEY_COUNT = 100
HOT_REQUEST_FRACTION = 0.4
SEEDS = range(5)

#: Requests per second on a quiet day and on a busy day.
LOADS_PER_S = (75, 150)

Capacities = dict[base.ServerId, float]

POLICIES: base.Registry = base.Registry(kind="policy")


def _draw_capacities(rng: random.Random) -> Capacities:
    """Draw the capacity of each server, in requests per second."""
    base_capacity = SLOTS * base.MS_PER_S / SERVICE_MS
    return {
        base.ServerId(f"s{n}"): base_capacity * rng.choice(SPEEDS)
        for n in range(SERVER_COUNT)
    }


def _equalize(capacities: Capacities) -> Capacities:
    mean = statistics.fmean(capacities.values())
    return dict.fromkeys(capacities, mean)


@POLICIES.register("equal")
class Equal:
    """Fixed ranges of equal width."""

    rebalances = False
    estimate_capacities = staticmethod(_equalize)


@POLICIES.register("by speed")
class BySpeed:
    """Fixed ranges whose width is proportional to the speed of the server."""

    rebalances = False
    estimate_capacities = staticmethod(dict)


@POLICIES.register("by load")
class ByLoad:
    """Ranges rebalanced by load; all servers count as equally fast."""

    rebalances = True
    estimate_capacities = staticmethod(_equalize)


@POLICIES.register("by load and speed")
class ByLoadAndSpeed:
    """Ranges rebalanced by load and by the speed of the servers."""

    rebalances = True
    estimate_capacities = staticmethod(dict)


def _draw_hot_keys(rng: random.Random) -> list[int]:
    first = rng.randrange(catalog.KEY_COUNT - 1_000)
    return [first + rng.randrange(1_000) for _ in range(HOT_KEY_COUNT)]


def _make_capacities(capacities: Capacities) -> list[ranges.Capacity]:
    return [
        ranges.Capacity(server=server, requests_per_s=capacity)
        for server, capacity in capacities.items()
    ]


class Trial:
    """Simulation of one policy under one load.

    Parameters
    ----------
    policy : type
        Policy that divides the keys; one of `POLICIES`.
    request_rate : float
        Arrival rate in requests per second.
    seed : int
        Seed of the draws of speeds, hot keys and requests.
    """

    def __init__(
        self, *, policy: type, request_rate: float, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self._policy = policy
        self._request_rate = request_rate
        self._capacities = _draw_capacities(self._rng)
        self._clock = testing.ManualClock()
        self._load = ranges.KeyLoad(clock=self._clock)
        self._owners = catalog.OwnerMap(
            segments=[
                catalog.Segment(
                    first=first, last=last, server=server, born_ms=1, fence=1
                )
                for first, last, server in ranges.divide_evenly(
                    _make_capacities(
                        policy.estimate_capacities(self._capacities)
                    )
                )
            ]
        )
        self.busiest: list[float] = []
        self.excess = 0.0
        self.requests = 0
        self.moved = 0

    async def run(self) -> None:
        """Draw the requests of all steps, count them and move ranges."""
        for step in range(STEPS):
            if step % HOT_KEY_CHANGE_STEPS == 0:
                hot_keys = _draw_hot_keys(self._rng)
            count = int(self._request_rate * STEP_MS / base.MS_PER_S)
            keys = [
                self._rng.choice(hot_keys)
                if self._rng.random() < HOT_REQUEST_FRACTION
                else self._rng.randrange(catalog.KEY_COUNT)
                for _ in range(count)
            ]
            self._record_utilization(keys)
            self._load.add(keys)
            if self._policy.rebalances:
                self._rebalance()
            await self._clock.sleep(STEP_MS)

    def _record_utilization(self, keys: list[int]) -> None:
        counts = dict.fromkeys(self._capacities, 0)
        for key in keys:
            counts[self._owners.find(key).server] += 1
        step_capacities = {
            server: capacity * STEP_MS / base.MS_PER_S
            for server, capacity in self._capacities.items()
        }
        self.busiest.append(
            max(counts[s] / step_capacities[s] for s in counts)
        )
        self.excess += sum(
            max(0.0, counts[s] - step_capacities[s]) for s in counts
        )
        self.requests += len(keys)

    def _rebalance(self) -> None:
        self._load.decay()
        balance = ranges.Balance(
            owners=self._owners,
            profile=self._load.make_profile(),
            capacities=_make_capacities(
                self._policy.estimate_capacities(self._capacities)
            ),
        )
        moves = ranges.plan_moves(balance)
        self.moved += sum(move.last - move.first + 1 for move in moves)
        self._owners = self._owners.replace(
            catalog.Segment(
                first=move.first,
                last=move.last,
                server=move.target,
                born_ms=1,
                fence=1,
            )
            for move in moves
        )


def run_trials(policy: type, request_rate: float) -> list[Trial]:
    """Run one trial per seed and return them."""

    async def run(seed: int) -> Trial:
        trial = Trial(policy=policy, request_rate=request_rate, seed=seed)
        await trial.run()
        return trial

    return [testing.run_manual(run(seed)) for seed in SEEDS]


def main(write: Callable[[str], None] = print) -> None:
    """Write the results as a Markdown table."""
    write("| requests/s | policy | busiest | excess | moved |")
    write("|---:|---|---:|---:|---:|")
    for request_rate in LOADS_PER_S:
        for name in POLICIES.names():
            trials = run_trials(POLICIES.find(name), request_rate)
            busiest = statistics.fmean(b for t in trials for b in t.busiest)
            excess = sum(t.excess for t in trials) / sum(
                t.requests for t in trials
            )
            moved = statistics.fmean(t.moved for t in trials)
            write(
                f"| {request_rate} | {name} | {busiest:.2f} | {excess:.3f} "
                f"| {moved / catalog.KEY_COUNT:.2f} |"
            )


if __name__ == "__main__":
    main()
