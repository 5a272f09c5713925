"""Simulates the imbalance and churn of each planner.

Run as ``python benchmarks/planning.py``.  One step simulates one second.  Keys
follow a Zipf distribution; each minute the 20 hottest keys are replaced.  One
server is lost after a third of the time and returns after two thirds.
Planning, slow start and hot key detection use the router's own code; moves
take effect at once.

imbalance  ratio of the busiest server's requests to the mean, less one, in
           steps more than a minute away from the start, the loss and the
           return: mean and 95th percentile
floor      imbalance caused by the hottest key alone, as one key cannot be on
           two servers: mean
moved      fraction of the keys that changed owner: per hour for balance, at
           the loss and at the return
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
KEY_COUNT = 20_000
REQUESTS_PER_STEP = 1000
SERVICE_MS = 5
HOT_KEY_CHANGE_STEPS = 60
CHANGED_HOT_KEY_COUNT = 20
SETTLING_STEPS = 60
HOUR_S = 3600


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Site:
    """Servers, partitions and churn weight of one service."""

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

KEY_SKEWS = (0.8, 1.1)

CHURN_WEIGHTS = (0, 0.25, 0.5, 1, 2)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """Results of one trial.

    Parameters
    ----------
    mean, p95 : float
        Mean and 95th percentile of the imbalance.
    floor : float
        Mean imbalance caused by the hottest key alone.
    moved_per_hour : float
        Fraction of the keys moved for balance, per hour.
    moved_at_loss, moved_at_return : float
        Fraction of the keys moved at the loss and the return of a server.
    splits : int
        Number of keys split out at the end.
    """

    mean: float
    p95: float
    floor: float
    moved_per_hour: float
    moved_at_loss: float
    moved_at_return: float
    splits: int


class Trial:
    """Simulation of one planner under one load."""

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
        self.lost_server = base.ServerId("s00")
        self.is_server_down = False
        self.loads = _loads.LoadCounter(clock=clock)
        self.ramp = _ramp.ServerRamp(clock=clock)
        self.ramp.mark_warm(self.weights)
        self.hot_keys = _hot_keys.HotKeyDetector(clock=clock)
        self.splits = {}
        self.next_split = site.partitions
        self.owners = {}
        self.ranked_keys = [self.rng.getrandbits(64) for _ in range(KEY_COUNT)]
        key_weights = (1 / rank**skew for rank in range(1, KEY_COUNT + 1))
        self.cumulative_weights = list(itertools.accumulate(key_weights))
        self.moved_keys = {"balance": 0, "loss": 0, "return": 0}
        self.imbalances = []
        self.floors = []

    def get_usable_weights(self):
        """Return the weights of the usable servers, scaled by slow start."""
        usable_weights = dict(self.weights)
        if self.is_server_down:
            del usable_weights[self.lost_server]
        return self.ramp.scale(usable_weights)

    def find_partition(self, key):
        """Return the partition of a key."""
        return self.splits.get(key, key % self.site.partitions)

    def serve(self):
        """Draw the requests of one step; return their number per server."""
        keys = self.rng.choices(
            self.ranked_keys,
            cum_weights=self.cumulative_weights,
            k=REQUESTS_PER_STEP,
        )
        if self.splitting:
            for key in keys:
                self.hot_keys.add(key)
        self.hottest = max(collections.Counter(keys).values())
        counts = collections.Counter(map(self.find_partition, keys))
        request_counts = dict.fromkeys(self.weights, 0)
        for partition, count in counts.items():
            self.loads.add(partition, SERVICE_MS * count)
            request_counts[self.owners[partition]] += count
        return request_counts

    def change_hot_keys(self):
        """Swap the hottest keys with keys drawn at random."""
        for rank in range(CHANGED_HOT_KEY_COUNT):
            other = self.rng.randrange(KEY_COUNT)
            ranked_keys = self.ranked_keys
            ranked_keys[rank], ranked_keys[other] = (
                ranked_keys[other],
                ranked_keys[rank],
            )

    def update_owners(self, step):
        """Place partitions without an owner, split hot keys and rebalance."""
        usable_weights = self.get_usable_weights()
        loads = self.loads.collect()
        unowned = [
            p for p, s in self.owners.items() if s not in usable_weights
        ]
        if not self.owners:
            unowned = list(range(self.site.partitions))
        if unowned:
            new_owners = self.planner.place(
                unowned,
                owners=self.owners,
                loads=loads,
                weights=usable_weights,
            )
            self.apply(new_owners, "loss" if self.owners else None)
        if self.splitting:
            self.split(len(usable_weights))
        new_owners = self.planner.rebalance(
            owners=self.owners,
            loads=loads,
            weights=usable_weights,
            limit=max(1, int(len(self.owners) * _mover.MAX_MOVED_FRACTION)),
            splits=set(self.splits.values()),
        )
        returning = 0 <= step - 2 * STEPS // 3 < 2 * SETTLING_STEPS
        self.apply(new_owners, "return" if returning else "balance")

    def apply(self, new_owners, cause):
        """Apply new owners and count the moved keys under their cause."""
        self.owners.update(new_owners)
        if cause:
            self.moved_keys[cause] += sum(map(self.count_keys, new_owners))

    def count_keys(self, partition):
        """Return the number of keys of a partition, assumed evenly spread."""
        is_split = partition >= self.site.partitions
        return 1 if is_split else KEY_COUNT / self.site.partitions

    def split(self, servers):
        """Split out hot keys and merge back split keys that are cold."""
        self.hot_keys.decay()
        cold = self.hot_keys.list_cold(servers=servers, split=self.splits)
        for key in cold:
            partition = self.splits.pop(key)
            home = self.owners[key % self.site.partitions]
            if self.owners.pop(partition) != home:
                self.moved_keys["balance"] += 1
        hot = self.hot_keys.list_hot(servers=servers, split=self.splits)
        for key in hot:
            self.owners[self.next_split] = self.owners[
                key % self.site.partitions
            ]
            self.splits[key] = self.next_split
            self.next_split += 1

    async def run(self):
        """Run all steps of the simulation."""
        for step in range(STEPS):
            self.is_server_down = STEPS // 3 <= step < 2 * STEPS // 3
            if step % HOT_KEY_CHANGE_STEPS == 0:
                self.change_hot_keys()
            self.update_owners(step)
            request_counts = self.serve()
            usable_weights = self.get_usable_weights()
            if all(
                abs(step - change) > SETTLING_STEPS
                for change in (0, STEPS // 3, 2 * STEPS // 3)
            ):
                self.record_imbalance(request_counts, usable_weights)
            await self.clock.sleep(STEP_MS)

    def record_imbalance(self, request_counts, usable_weights):
        """Record the imbalance of one step."""
        mean = sum(request_counts.values()) / len(usable_weights)
        self.imbalances.append(max(request_counts.values()) / mean - 1)
        self.floors.append(max(0, self.hottest / mean - 1))

    def summarize(self):
        """Return the results over all steps."""
        hours = STEPS / HOUR_S
        return Summary(
            mean=statistics.mean(self.imbalances),
            p95=statistics.quantiles(self.imbalances, n=20)[-1],
            floor=statistics.mean(self.floors),
            moved_per_hour=self.moved_keys["balance"] / KEY_COUNT / hours,
            moved_at_loss=self.moved_keys["loss"] / KEY_COUNT,
            moved_at_return=self.moved_keys["return"] / KEY_COUNT,
            splits=len(self.splits),
        )

    def print_row(self, name):
        """Print the results as one line of a table."""
        summary = self.summarize()
        print(
            f"{name:18} {summary.mean:6.2f} {summary.p95:6.2f}"
            f" {summary.floor:6.2f} {summary.moved_per_hour:8.2f}"
            f" {summary.moved_at_loss:6.3f} {summary.moved_at_return:7.3f}"
            f" {summary.splits:6}"
        )


def main():
    """Print a table for each site and skew."""
    for site, skew in itertools.product(SITES, KEY_SKEWS):
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

    for base_site, skew in itertools.product(SITES[:2], KEY_SKEWS):
        print(f"\nweighed + split, {base_site.name}, Zipf {skew}")
        for churn_weight in CHURN_WEIGHTS:
            site = dataclasses.replace(base_site, churn_weight=churn_weight)
            trial = run_trial(site, skew, "weighed", True)
            trial.print_row(f"churn_weight {churn_weight}")


class FixedTrial(Trial):
    """Simulation of fixed owners: keys of a lost server stay unserved."""

    unserved = 0

    def update_owners(self, step):
        """Assign each partition to a fixed server, by its number."""
        server_names = list(self.weights)
        self.owners = {
            partition: server_names[partition % len(server_names)]
            for partition in range(self.site.partitions)
        }

    def serve(self):
        """Draw the requests of one step; the lost server runs none."""
        request_counts = super().serve()
        if self.is_server_down:
            self.unserved += request_counts.pop(self.lost_server)
        return request_counts


def run_trial(site, skew, planner, splitting, trial_class=Trial):
    """Run a trial and return it."""

    async def run():
        trial = trial_class(
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
