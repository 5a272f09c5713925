"""Imbalance and churn of each planner, as pure computation.

Run as ``python benchmarks/planning.py``.  One step is one second.  Keys
follow a Zipf distribution; each minute the hottest 20 are others.  A
server is lost after a third of the time and returns after two thirds.
The shard's own planners, slow start and hot-key sketch decide; their
moves take effect at once.

imbalance  highest load over weight against the mean, less one, in the
           seconds of steady service: mean and 95th percentile
floor      imbalance that the hottest key alone causes, as no key can be
           on two servers: mean
moved      part of the shard's keys that changed owner in an hour for
           balance, and in the loss and the return
"""

import asyncio
import collections
import dataclasses
import itertools
import random
import statistics

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge.shards import _hot_keys
from tarragonhinge.shards import _loads
from tarragonhinge.shards import _mover
from tarragonhinge.shards import _ramp
from tarragonhinge import testing

STEPS = 600
STEP_MS = 1000
KEYS = 20_000
REQUESTS_PER_STEP = 1000
SERVICE_MS = 5
HOT_CHANGE_STEPS = 60
HOT_CHANGED = 20
SETTLE_STEPS = 60
HOUR_S = 3600


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Site:
    """Servers and keys of one service."""

    name: str
    servers: int
    partitions: int
    churn_weight: float


SITES = (
    Site(
        name="Registro balances",
        servers=16,
        partitions=64,
        churn_weight=0.25,
    ),
    Site(name="Himal Chiso stock", servers=12, partitions=64, churn_weight=1),
    Site(name="large shard", servers=16, partitions=1024, churn_weight=0.5),
)

SKEWS = (0.8, 1.1)

CHURN_WEIGHTS = (0, 0.25, 0.5, 1, 2)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """Figures of one trial; the module's docstring explains them."""

    mean: float
    p95: float
    floor: float
    moved_per_hour: float
    moved_at_loss: float
    moved_at_return: float
    splits: int


class Trial:
    """One planner against one load."""

    def __init__(self, *, site, skew, planner, splitting, clock):
        self.site = site
        self.clock = clock
        self.rng = random.Random(1)
        self.splitting = splitting
        self.planner = shards.PLANNERS.find(planner)(
            churn_weight=site.churn_weight
        )
        self.weights = {
            base.ServerId(f"s{n:02}"): 1.0 for n in range(site.servers)
        }
        self.lost = base.ServerId("s00")
        self.down = False
        self.loads = _loads.LoadCounter(clock=clock)
        self.ramp = _ramp.ServerRamp(clock=clock)
        self.ramp.mark_warm(self.weights)
        self.hot_keys = _hot_keys.HotKeyDetector(clock=clock)
        self.splits = {}
        self.next_split = site.partitions
        self.owners = {}
        self.names = [self.rng.getrandbits(64) for _ in range(KEYS)]
        ranks = (1 / rank**skew for rank in range(1, KEYS + 1))
        self.sums = list(itertools.accumulate(ranks))
        self.moved = {"balance": 0, "loss": 0, "return": 0}
        self.imbalances = []
        self.floors = []

    def list_usable(self):
        """Return the weights in force."""
        usable = dict(self.weights)
        if self.down:
            del usable[self.lost]
        return self.ramp.scale(usable)

    def find_partition(self, key):
        """Return the partition that holds a key."""
        return self.splits.get(key, key % self.site.partitions)

    def serve(self):
        """Run a second of requests; return those of each server."""
        keys = self.rng.choices(
            self.names, cum_weights=self.sums, k=REQUESTS_PER_STEP
        )
        if self.splitting:
            for key in keys:
                self.hot_keys.add(key)
        self.hottest = max(collections.Counter(keys).values())
        counts = collections.Counter(map(self.find_partition, keys))
        levels = dict.fromkeys(self.weights, 0)
        for partition, count in counts.items():
            self.loads.add(partition, SERVICE_MS * count)
            levels[self.owners[partition]] += count
        return levels

    def change_hot_keys(self):
        """Swap the hottest keys with any others."""
        for rank in range(HOT_CHANGED):
            other = self.rng.randrange(KEYS)
            names = self.names
            names[rank], names[other] = names[other], names[rank]

    def replan(self, step):
        """Place orphans, split hot keys and move for balance."""
        usable = self.list_usable()
        loads = self.loads.collect()
        orphans = [p for p, s in self.owners.items() if s not in usable]
        if not self.owners:
            orphans = list(range(self.site.partitions))
        if orphans:
            chosen = self.planner.place(
                orphans, owners=self.owners, loads=loads, weights=usable
            )
            self.apply(chosen, "loss" if self.owners else None)
        if self.splitting:
            self.split(len(usable))
        chosen = self.planner.rebalance(
            owners=self.owners,
            loads=loads,
            weights=usable,
            limit=max(1, int(len(self.owners) * _mover.MAX_MOVED_FRACTION)),
            splits=set(self.splits.values()),
        )
        returning = 0 <= step - 2 * STEPS // 3 < 2 * SETTLE_STEPS
        self.apply(chosen, "return" if returning else "balance")

    def apply(self, chosen, cause):
        """Let moves take effect."""
        self.owners.update(chosen)
        if cause:
            self.moved[cause] += sum(map(self.count_keys, chosen))

    def count_keys(self, partition):
        """Return the keys of a partition, taken as evenly spread."""
        split = partition >= self.site.partitions
        return 1 if split else KEYS / self.site.partitions

    def split(self, servers):
        """Split out hot keys and merge cold ones back."""
        self.hot_keys.decay()
        cold = self.hot_keys.list_cold(servers=servers, split=self.splits)
        for key in cold:
            partition = self.splits.pop(key)
            home = self.owners[key % self.site.partitions]
            if self.owners.pop(partition) != home:
                self.moved["balance"] += 1
        hot = self.hot_keys.list_hot(servers=servers, split=self.splits)
        for key in hot:
            self.owners[self.next_split] = self.owners[
                key % self.site.partitions
            ]
            self.splits[key] = self.next_split
            self.next_split += 1

    async def run(self):
        """Run all steps."""
        for step in range(STEPS):
            self.down = STEPS // 3 <= step < 2 * STEPS // 3
            if step % HOT_CHANGE_STEPS == 0:
                self.change_hot_keys()
            self.replan(step)
            levels = self.serve()
            usable = self.list_usable()
            if all(
                abs(step - change) > SETTLE_STEPS
                for change in (0, STEPS // 3, 2 * STEPS // 3)
            ):
                self.note(levels, usable)
            await self.clock.sleep(STEP_MS)

    def note(self, levels, usable):
        """Note the imbalance of a step."""
        mean = sum(levels.values()) / len(usable)
        self.imbalances.append(max(levels.values()) / mean - 1)
        self.floors.append(max(0, self.hottest / mean - 1))

    def summarize(self):
        """Return the figures of all steps."""
        hours = STEPS / HOUR_S
        return Summary(
            mean=statistics.mean(self.imbalances),
            p95=statistics.quantiles(self.imbalances, n=20)[-1],
            floor=statistics.mean(self.floors),
            moved_per_hour=self.moved["balance"] / KEYS / hours,
            moved_at_loss=self.moved["loss"] / KEYS,
            moved_at_return=self.moved["return"] / KEYS,
            splits=len(self.splits),
        )

    def print_row(self, name):
        """Print one line of a table."""
        row = self.summarize()
        print(
            f"{name:18} {row.mean:6.2f} {row.p95:6.2f} {row.floor:6.2f}"
            f" {row.moved_per_hour:8.2f} {row.moved_at_loss:6.3f}"
            f" {row.moved_at_return:7.3f} {row.splits:6}"
        )


def main():
    """Print a table for each site and skew."""
    for site, skew in itertools.product(SITES, SKEWS):
        print(
            f"\n{site.name}: {site.servers} servers, {site.partitions}"
            f" partitions, churn_weight {site.churn_weight}, Zipf {skew}"
        )
        print(
            "planner             mean    p95  floor  moved/h   loss  return"
            " splits"
        )
        for planner in shards.PLANNERS.names():
            for splitting in (False, True):
                trial = run_trial(site, skew, planner, splitting)
                suffix = " + split" if splitting else ""
                trial.print_row(planner + suffix)

    for chosen, skew in itertools.product(SITES[:2], SKEWS):
        print(f"\nweighed + split, {chosen.name}, Zipf {skew}")
        for churn_weight in CHURN_WEIGHTS:
            site = dataclasses.replace(chosen, churn_weight=churn_weight)
            trial = run_trial(site, skew, "weighed", True)
            trial.print_row(f"churn_weight {churn_weight}")


class FixedTrial(Trial):
    """Plain hashing with fixed owners: a lost server's keys wait for it."""

    unserved = 0

    def replan(self, step):
        """Keep every partition where its number puts it."""
        names = list(self.weights)
        self.owners = {
            partition: names[partition % len(names)]
            for partition in range(self.site.partitions)
        }

    def serve(self):
        """Run a second of requests; the lost server runs none."""
        levels = super().serve()
        if self.down:
            self.unserved += levels.pop(self.lost)
        return levels


def run_trial(site, skew, planner, splitting, make=Trial):
    """Return a trial after all its steps."""

    async def run():
        trial = make(
            site=site,
            skew=skew,
            planner=planner,
            splitting=splitting,
            clock=testing.ManualClock(),
        )
        await trial.run()
        await asyncio.sleep(0)
        return trial

    return testing.run_manual(run())


if __name__ == "__main__":
    main()
