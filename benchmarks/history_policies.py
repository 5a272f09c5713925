"""Compares the history policies under the same faults, on manual time.

Run as ``python benchmarks/history_policies.py``.  Prints, for each policy and
fault: the orders that were answered, that ended with an unknown outcome and
that were refused; the orders that ran twice; the latency; and the writes to
the table.  The last line is the memory per recorded key.
"""

import collections
import dataclasses
import random
import sys
import tracemalloc

from hdrh import histogram
import uuid6

from tarragonhinge import base
from tarragonhinge import dispatch
from tarragonhinge import testing

POLICIES = ("forget", "standby", "table")
SEEDS = range(3)
ORDER_COUNT = 400
ORDER_INTERVAL_MS = 10
DEADLINE_MS = 2000
LOSS_AFTER_ORDERS = 100
ZONE_DELAY_MS = 1
REGION_DELAY_MS = 20
TABLE_DELAY_MS = 5
MEASURED_KEY_COUNT = 20_000


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Results of one policy over all seeds.

    Parameters
    ----------
    outcomes : Counter
        Number of orders by outcome.
    latency : HdrHistogram
        Latency of the answered orders, in milliseconds.
    writes : int
        Number of writes to the table.
    twice : int
        Number of orders that ran more than once.
    """

    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    latency: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, 60_000, 3)
    )
    writes: int = 0
    twice: int = 0


def make_idempotency_key(clock: base.Clock, number: int) -> str:
    """Return a UUIDv7 idempotency key with the timestamp of manual time."""
    low = (7 << 76) | (2 << 62) | number
    return str(uuid6.UUID(int=(clock.read_wall_time() << 80) | low))


async def place_order(deployment, entry_nodes, rng, number, tally) -> None:
    """Send one order once and count its outcome."""
    node = rng.choice(entry_nodes)
    key = make_idempotency_key(node.clock, number)
    started_at = node.clock.now()
    outcome = await deployment.send(
        node,
        f"k{number % 64}",
        method="POST",
        idempotency_key=key,
        deadline_ms=DEADLINE_MS,
    )
    latency_ms = node.clock.now() - started_at
    tally.outcomes[type(outcome).__name__] += 1
    if isinstance(outcome, base.Answered):
        tally.latency.record_value(max(1, latency_ms))


async def run_scenario(policy, delay_ms, fault, seed, tally) -> None:
    """Send orders and crash the leader or the standby during them.

    Parameters
    ----------
    policy : str
        Value of the row's history column.
    delay_ms : int
        One-way network delay.
    fault : {"none", "leader", "standby"}
        Instance that is crashed after `LOSS_AFTER_ORDERS` orders.
    seed : int
        Seed of the network and of the choice of entry instances.
    tally : Tally
        Receives the results.
    """
    row = testing.make_row(history=policy, servers=8, queue=1000)
    deployment = testing.Deployment(
        row=row,
        instances=4,
        network=testing.MemoryNetwork(delay_ms=delay_ms, seed=seed),
    )
    for node in deployment.nodes:
        node.table.delay_ms = max(TABLE_DELAY_MS, delay_ms)
    await deployment.start()
    leader = deployment.find_leaders()[0]
    shard_leader = leader.instance.coordinator.leaders["balances/centro"]
    standby = next(
        node
        for node in deployment.nodes
        if node.address == shard_leader.record.standby.address
    )
    entry_nodes = [n for n in deployment.nodes if n not in (leader, standby)]
    rng = random.Random(seed)
    writes_before = deployment.table.write_count
    tasks = []
    for number in range(ORDER_COUNT):
        tasks.append(
            testing.spawn(
                place_order(deployment, entry_nodes, rng, number, tally)
            )
        )
        if number == LOSS_AFTER_ORDERS and fault != "none":
            await (leader if fault == "leader" else standby).kill()
        await deployment.wait(ORDER_INTERVAL_MS)
    for task in tasks:
        await task
    runs = collections.Counter(
        run.idempotency_key
        for server in deployment.servers.values()
        for run in server.runs
    )
    tally.twice += sum(count > 1 for count in runs.values())
    tally.writes += deployment.table.write_count - writes_before


def measure_memory() -> float:
    """Return the memory per recorded key with its answer, in bytes."""

    async def fill() -> float:
        clock = testing.ManualClock()
        history = dispatch.RequestHistory(clock=clock)
        answer = base.Answered(status=201, body=b"")
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(MEASURED_KEY_COUNT):
            key = make_idempotency_key(clock, number)
            history.begin(key, number << 40)
            history.finish(key, answer)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return (after - before) / MEASURED_KEY_COUNT

    return testing.run_manual(fill())


def tally_policy(policy: str, delay_ms: int, fault: str) -> Tally:
    """Return the results of a policy over all seeds."""
    tally = Tally()
    for seed in SEEDS:
        testing.run_manual(run_scenario(policy, delay_ms, fault, seed, tally))
    return tally


def print_policy(policy: str, delay_ms: int, fault: str) -> None:
    """Print one line of the comparison."""
    tally = tally_policy(policy, delay_ms, fault)
    total = sum(tally.outcomes.values())
    seconds = len(SEEDS) * ORDER_COUNT * ORDER_INTERVAL_MS / base.MS_PER_S
    print(
        f"{policy:8} {delay_ms:3} ms  {fault:8} "
        f"answered {tally.outcomes['Answered']:5}/{total} "
        f"unknown {tally.outcomes['Unknown']:4} "
        f"refused {tally.outcomes['NotRun']:4} twice {tally.twice} "
        f"p50 {tally.latency.get_value_at_percentile(50):4} ms "
        f"p99 {tally.latency.get_value_at_percentile(99):4} ms "
        f"writes/s {tally.writes / seconds:6.1f}"
    )
    sys.stdout.flush()


def main() -> None:
    """Compare all policies under the same faults and print the results."""
    for delay_ms in (ZONE_DELAY_MS, REGION_DELAY_MS):
        for fault in ("none", "leader", "standby"):
            for policy in POLICIES:
                print_policy(policy, delay_ms, fault)
    print(f"bytes for each remembered key: {measure_memory():.0f}")


if __name__ == "__main__":
    main()
