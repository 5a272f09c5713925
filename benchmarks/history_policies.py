"""Compares the history policies on the same faults, on manual time.

Prints, for each policy: orders left unknown and refused over losses of the
leader, the latency that a policy adds, writes to the table, and bytes for
each remembered key.
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
ORDERS = 400
ORDER_GAP_MS = 10
DEADLINE_MS = 2000
LOSS_AT = 100
ZONE_DELAY_MS = 1
REGION_DELAY_MS = 20
TABLE_DELAY_MS = 5
MEMORY_KEYS = 20_000


@dataclasses.dataclass(kw_only=True)
class Tally:
    """What one policy showed over all seeds."""

    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    latency: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, 60_000, 3)
    )
    writes: int = 0
    twice: int = 0


def mint_key(clock: base.Clock, number: int) -> str:
    """Return a UUIDv7 of manual time."""
    low = (7 << 76) | (2 << 62) | number
    return str(uuid6.UUID(int=(clock.read_wall_time() << 80) | low))


async def place_order(deployment, entries, rng, number, tally) -> None:
    """Send one order once and count its outcome."""
    node = rng.choice(entries)
    key = mint_key(node.clock, number)
    started_at = node.clock.now()
    outcome = await deployment.send(
        node,
        f"k{number % 64}",
        method="POST",
        idempotency_key=key,
        deadline_ms=DEADLINE_MS,
    )
    took_ms = node.clock.now() - started_at
    tally.outcomes[type(outcome).__name__] += 1
    if isinstance(outcome, base.Answered):
        tally.latency.record_value(max(1, took_ms))


async def run_scenario(policy, delay_ms, fault, seed, tally) -> None:
    """Send orders, losing the leader or the standby on the way."""
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
    led = leader.instance.coordinator.leaders["balances/centro"]
    standby = next(
        node
        for node in deployment.nodes
        if node.address == led.record.standby.address
    )
    entries = [n for n in deployment.nodes if n not in (leader, standby)]
    rng = random.Random(seed)
    writes = deployment.table.write_count
    tasks = []
    for number in range(ORDERS):
        tasks.append(
            testing.spawn(place_order(deployment, entries, rng, number, tally))
        )
        if number == LOSS_AT and fault != "none":
            await (leader if fault == "leader" else standby).kill()
        await deployment.wait(ORDER_GAP_MS)
    for task in tasks:
        await task
    runs = collections.Counter(
        run.idempotency_key
        for server in deployment.servers.values()
        for run in server.runs
    )
    tally.twice += sum(count > 1 for count in runs.values())
    tally.writes += deployment.table.write_count - writes


def measure_memory() -> float:
    """Return the bytes that a remembered key with an answer takes."""

    async def fill() -> float:
        clock = testing.ManualClock()
        history = dispatch.RequestHistory(clock=clock)
        answer = base.Answered(status=201, body=b"")
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(MEMORY_KEYS):
            key = mint_key(clock, number)
            history.begin(key, number << 40)
            history.finish(key, answer)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return (after - before) / MEMORY_KEYS

    return testing.run_manual(fill())


def tally_policy(policy: str, delay_ms: int, fault: str) -> Tally:
    """Return what a policy shows over all seeds."""
    tally = Tally()
    for seed in SEEDS:
        testing.run_manual(run_scenario(policy, delay_ms, fault, seed, tally))
    return tally


def report(policy: str, delay_ms: int, fault: str) -> None:
    """Print one line of the comparison."""
    tally = tally_policy(policy, delay_ms, fault)
    total = sum(tally.outcomes.values())
    seconds = len(SEEDS) * ORDERS * ORDER_GAP_MS / base.MS_PER_S
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
    """Run all policies on the same faults."""
    for delay_ms in (ZONE_DELAY_MS, REGION_DELAY_MS):
        for fault in ("none", "leader", "standby"):
            for policy in POLICIES:
                report(policy, delay_ms, fault)
    print(f"bytes for each remembered key: {measure_memory():.0f}")


if __name__ == "__main__":
    main()
