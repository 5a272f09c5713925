"""Unavailable time and churn after losses, on manual time.

Run ``python benchmarks/failover.py``.  Each loss is measured with a
standby and, as the plain baseline, with claims alone: there a loss is
noticed by the instances that look for shards without a leader.
"""

import asyncio
import dataclasses

import absl.logging

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge import testing

KEYS = [f"k{number}" for number in range(24)]
SERVERS = 6
INSTANCES = 6

#: Longest wait for all keys to be served again.
LIMIT_MS = 60_000

#: Loss of the store that is measured.
OUTAGE_MS = 20_000

#: Deadline of each probe.
PROBE_MS = 60


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What one loss cost.

    Parameters
    ----------
    unavailable_ms : int
        Longest time from the loss for which a key was not served.
    churn : int
        Partitions that changed owner.
    failed : int
        Probes that failed.
    """

    unavailable_ms: int
    churn: int
    failed: int


def _choose_nobody(self, shard, excluded):
    return None


class Bench:
    """One deployment and the losses that it is put through.

    Parameters
    ----------
    deployment : Deployment
        Instances and servers on manual time.
    """

    def __init__(self, *, deployment: testing.Deployment) -> None:
        self.deployment = deployment
        self.lost_nodes: list[testing.Node] = []
        self.stopping: asyncio.Task | None = None
        self.failed = 0

    def find_leader(self) -> testing.Node:
        """Return the leader's instance."""
        return self.deployment.find_leaders()[0]

    def find_leader_zone(self) -> str:
        """Return the availability zone of the leader."""
        return self.find_leader().instance.options.zone

    async def lose_server(self) -> None:
        """Lose one server."""
        self.deployment.servers[base.ServerId("s0")].up = False

    async def lose_leader(self) -> None:
        """Lose the leader."""
        await self._kill(self.find_leader())

    async def lose_both(self) -> None:
        """Lose the leader and a server."""
        await self.lose_server()
        await self.lose_leader()

    async def lose_pair(self) -> None:
        """Lose the leader and its standby."""
        leader = self.find_leader()
        standby = leader
        if self.deployment.find_leadership(leader).record.standby:
            standby = self.deployment.find_standby()
        await self._kill(leader)
        if standby is not leader:
            await self._kill(standby)

    async def lose_zone(self) -> None:
        """Lose the leader's availability zone with its servers."""
        zone = self.find_leader_zone()
        for entry in self.deployment.row.servers:
            if entry.zone == zone:
                self.deployment.servers[entry.server].up = False
        for node in self.deployment.nodes:
            if node.instance.options.zone == zone:
                await self._kill(node)

    async def lose_store(self) -> None:
        """Lose the store; it stays down while keys are probed."""
        for node in self.deployment.nodes:
            node.table.down = True

    async def stop_leader(self) -> None:
        """Stop the leader as planned."""
        leader = self.find_leader()
        self.lost_nodes.append(leader)
        self.deployment.instance_list.entries.pop(leader.instance.options.name)
        self.stopping = asyncio.create_task(leader.instance.stop())

    async def _kill(self, node: testing.Node) -> None:
        self.lost_nodes.append(node)
        await node.kill()

    def find_entry(self) -> testing.Node:
        """Return an instance that is not lost."""
        return next(
            node
            for node in self.deployment.nodes
            if node not in self.lost_nodes
        )

    def read_owners(self) -> dict[base.PartitionId, base.ServerId]:
        """Return the recorded owner of each partition."""
        key = shards.make_record_key(self.deployment.shard)
        record = shards.decode_record(self.deployment.table.get_row(key).value)
        return {p: a.server for p, a in record.owners.items()}

    async def measure_unavailable(self, at_least_ms: int) -> int:
        """Return the time of the last failed probe of any key."""
        clock = base.Clock()
        lost_at = clock.now()
        failed_at = lost_at
        streak = 0
        while clock.now() - lost_at < LIMIT_MS:
            entry = self.find_entry()
            for key in KEYS:
                await self.deployment.wait(1)
                sent_at = clock.now()
                outcome = await self.deployment.send(
                    entry, key, deadline_ms=PROBE_MS
                )
                streak += 1
                if not isinstance(outcome, base.Answered):
                    failed_at = max(failed_at, sent_at + PROBE_MS)
                    streak = 0
                    self.failed += 1
            done = streak >= 10 * len(KEYS)
            if done and clock.now() - lost_at >= at_least_ms:
                return failed_at - lost_at
        return LIMIT_MS


async def measure(
    name: str,
    *,
    servers: int = SERVERS,
    partitions: int = 24,
    delay_ms: int = 1,
    store_delay_ms: int = 5,
    **changes,
) -> Result:
    """Return the cost of one loss.

    Parameters
    ----------
    name : str
        One of `LOSSES`.
    servers, partitions : int
        Size of the shard.
    delay_ms, store_delay_ms : int
        One-way delays between all ends, and to the store.
    **changes
        Columns of the row.
    """
    deployment = testing.Deployment(
        row=testing.make_row(
            servers=servers, partitions=partitions, **changes
        ),
        instances=INSTANCES,
        network=testing.MemoryNetwork(delay_ms=delay_ms),
    )
    for node in deployment.nodes:
        node.table.delay_ms = store_delay_ms
    await deployment.start()
    bench = Bench(deployment=deployment)
    before = bench.read_owners()
    for key in KEYS:
        await deployment.send(deployment.nodes[0], key)
    await LOSSES[name](bench)
    at_least_ms = AT_LEAST_MS.get(name, 3000)
    unavailable_ms = await bench.measure_unavailable(at_least_ms)
    after = bench.read_owners()
    churn = sum(after[p] != owner for p, owner in before.items())
    return Result(
        unavailable_ms=unavailable_ms, churn=churn, failed=bench.failed
    )


#: How long to probe at least, where that is more than usual.
AT_LEAST_MS = {"store": OUTAGE_MS, "planned stop": 8000}

LOSSES = {
    "server": Bench.lose_server,
    "leader": Bench.lose_leader,
    "leader and server": Bench.lose_both,
    "leader and standby": Bench.lose_pair,
    "availability zone": Bench.lose_zone,
    "store": Bench.lose_store,
    "planned stop": Bench.stop_leader,
}


def run(name: str, *, standby: bool = True, **size) -> Result:
    """Measure one loss, with a standby or with claims alone."""
    choose = shards.Candidates.choose_standby
    if not standby:
        shards.Candidates.choose_standby = _choose_nobody
    try:
        return testing.run_manual(measure(name, **size))
    finally:
        shards.Candidates.choose_standby = choose


def main() -> None:
    """Print the table."""
    absl.logging.set_verbosity(absl.logging.ERROR)
    print("| loss | unavailable ms | churn | baseline ms | churn |")
    print("|---|---|---|---|---|")
    for name in LOSSES:
        mine = run(name)
        plain = run(name, standby=False)
        print(
            f"| {name} | {mine.unavailable_ms} | {mine.churn} "
            f"| {plain.unavailable_ms} | {plain.churn} |"
        )


if __name__ == "__main__":
    main()
