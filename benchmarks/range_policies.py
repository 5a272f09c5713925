"""Key ranges divided equally, by speed, by load, and by load and speed.

Run as ``python benchmarks/range_policies.py``.  Pure computation: requests
are drawn from a profile whose hot keys lie close together and are others
each five seconds, the service's own counts and planner decide each half
second, and moves take effect at once.  Servers differ in speed by 1:2.5.

busiest  load of the busiest server over what it can run: mean
excess   part of the requests that come to a server beyond what it can run
moved    how often all keys changed owner
"""

from collections.abc import Callable
import random
import statistics

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import ranges
from tarragonhinge import testing

SERVERS = 16
SLOTS = 2
#: Time of one request at a server of speed 1, as in the users' sheets.
SERVICE_MS = 220
SPEEDS = (0.6, 1.0, 1.0, 1.5)
STEP_MS = 500
STEPS = 120
HOT_STEPS = 10
HOT_KEYS = 100
HOT_PART = 0.4
SEEDS = range(5)

#: Requests a second on a quiet day and on a day of load.
LOADS = (75, 150)

Capacities = dict[base.ServerId, float]

POLICIES: base.Registry = base.Registry(kind="policy")


def _list_speeds(rng: random.Random) -> Capacities:
    """Return the requests a second that each server can run."""
    per_s = SLOTS * base.MS_PER_S / SERVICE_MS
    return {
        base.ServerId(f"s{n}"): per_s * rng.choice(SPEEDS)
        for n in range(SERVERS)
    }


def _make_equal(capacities: Capacities) -> Capacities:
    mean = statistics.fmean(capacities.values())
    return dict.fromkeys(capacities, mean)


@POLICIES.register("equal")
class Equal:
    """Ranges of one width, which stay."""

    moves = False
    view = staticmethod(_make_equal)


@POLICIES.register("by speed")
class BySpeed:
    """Ranges as wide as the servers are fast, which stay."""

    moves = False
    view = staticmethod(dict)


@POLICIES.register("by load")
class ByLoad:
    """Ranges that follow the load of servers taken to be alike."""

    moves = True
    view = staticmethod(_make_equal)


@POLICIES.register("by load and speed")
class ByLoadAndSpeed:
    """Ranges that follow the load and the servers' speed."""

    moves = True
    view = staticmethod(dict)


def _draw_hot(rng: random.Random) -> list[int]:
    first = rng.randrange(catalog.KEY_COUNT - 1_000)
    return [first + rng.randrange(1_000) for _ in range(HOT_KEYS)]


def _list_capacities(per_s: Capacities) -> list[ranges.Capacity]:
    return [
        ranges.Capacity(server=s, requests_per_s=x) for s, x in per_s.items()
    ]


class Trial:
    """One policy under one load.

    Parameters
    ----------
    policy : type
        How keys are divided.
    per_s : float
        Requests a second.
    seed : int
        Draws speeds, hot keys and requests.
    """

    def __init__(self, *, policy: type, per_s: float, seed: int) -> None:
        self._rng = random.Random(seed)
        self._policy = policy
        self._per_s = per_s
        self._true = _list_speeds(self._rng)
        self._clock = testing.ManualClock()
        self._load = ranges.KeyLoad(clock=self._clock)
        self._owners = catalog.OwnerMap(
            segments=[
                catalog.Segment(
                    first=first, last=last, server=server, born_ms=1, fence=1
                )
                for first, last, server in ranges.divide_evenly(
                    _list_capacities(policy.view(self._true))
                )
            ]
        )
        self.busiest: list[float] = []
        self.excess = 0.0
        self.requests = 0
        self.moved = 0

    async def run(self) -> None:
        """Draw requests, count them, and plan."""
        for step in range(STEPS):
            if step % HOT_STEPS == 0:
                hot = _draw_hot(self._rng)
            count = int(self._per_s * STEP_MS / base.MS_PER_S)
            keys = [
                self._rng.choice(hot)
                if self._rng.random() < HOT_PART
                else self._rng.randrange(catalog.KEY_COUNT)
                for _ in range(count)
            ]
            self._measure(keys)
            self._load.add(keys)
            if self._policy.moves:
                self._plan()
            await self._clock.sleep(STEP_MS)

    def _measure(self, keys: list[int]) -> None:
        counts = dict.fromkeys(self._true, 0)
        for key in keys:
            counts[self._owners.find(key).server] += 1
        limits = {
            server: per_s * STEP_MS / base.MS_PER_S
            for server, per_s in self._true.items()
        }
        self.busiest.append(max(counts[s] / limits[s] for s in counts))
        self.excess += sum(max(0.0, counts[s] - limits[s]) for s in counts)
        self.requests += len(keys)

    def _plan(self) -> None:
        self._load.decay()
        balance = ranges.Balance(
            owners=self._owners,
            profile=self._load.make_profile(),
            capacities=_list_capacities(self._policy.view(self._true)),
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


def run_trials(policy: type, per_s: float) -> list[Trial]:
    """Return one trial for each seed."""

    async def run(seed: int) -> Trial:
        trial = Trial(policy=policy, per_s=per_s, seed=seed)
        await trial.run()
        return trial

    return [testing.run_manual(run(seed)) for seed in SEEDS]


def main(write: Callable[[str], None] = print) -> None:
    """Write the table."""
    write("| requests/s | policy | busiest | excess | moved |")
    write("|---:|---|---:|---:|---:|")
    for per_s in LOADS:
        for name in POLICIES.names():
            trials = run_trials(POLICIES.find(name), per_s)
            busiest = statistics.fmean(b for t in trials for b in t.busiest)
            excess = sum(t.excess for t in trials) / sum(
                t.requests for t in trials
            )
            moved = statistics.fmean(t.moved for t in trials)
            write(
                f"| {per_s} | {name} | {busiest:.2f} | {excess:.3f} "
                f"| {moved / catalog.KEY_COUNT:.2f} |"
            )


if __name__ == "__main__":
    main()
