"""Measures unavailability and churn after failures, on manual time.

Run as ``python benchmarks/failover.py``.  Each failure is measured with a
standby, and without one as the baseline.  Without a standby, a shard gets a
new leader only when one of the instances that look for leaderless shards
claims it.
"""

import asyncio
import dataclasses

import absl.logging

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge import testing

KEYS = [f"k{number}" for number in range(24)]
SERVER_COUNT = 6
INSTANCE_COUNT = 6

#: Time limit for all keys to be served again.
PROBING_LIMIT_MS = 60_000

#: Time for which keys are probed while the store is down.
STORE_OUTAGE_MS = 20_000

#: Deadline of one probe.
PROBE_DEADLINE_MS = 60


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Cost of one failure.

    Parameters
    ----------
    unavailable_ms : int
        Time from the failure to the deadline of the last failed probe.
    churn : int
        Number of partitions that changed owner.
    failed : int
        Number of failed probes.
    """

    unavailable_ms: int
    churn: int
    failed: int


def _choose_no_standby(self, shard, excluded):
    return None


class FailureInjector:
    """Injects failures into a deployment and probes its keys.

    Parameters
    ----------
    deployment : Deployment
        Instances and servers on manual time.
    """

    def __init__(self, *, deployment: testing.Deployment) -> None:
        self.deployment = deployment
        self.unavailable_nodes: list[testing.Node] = []
        self.stopping: asyncio.Task | None = None
        self.failed = 0

    def find_leader(self) -> testing.Node:
        """Return the instance that leads the shard."""
        return self.deployment.find_leaders()[0]

    def find_leader_zone(self) -> str:
        """Return the availability zone of the leader."""
        return self.find_leader().instance.options.zone

    async def crash_server(self) -> None:
        """Crash one server."""
        self.deployment.servers[base.ServerId("s0")].up = False

    async def crash_leader(self) -> None:
        """Crash the leader."""
        await self._crash(self.find_leader())

    async def crash_leader_and_server(self) -> None:
        """Crash the leader and one server."""
        await self.crash_server()
        await self.crash_leader()

    async def crash_leader_and_standby(self) -> None:
        """Crash the leader and its standby."""
        leader = self.find_leader()
        standby = leader
        if self.deployment.find_leadership(leader).record.standby:
            standby = self.deployment.find_standby()
        await self._crash(leader)
        if standby is not leader:
            await self._crash(standby)

    async def crash_zone(self) -> None:
        """Crash all instances and servers in the leader's zone."""
        zone = self.find_leader_zone()
        for entry in self.deployment.row.servers:
            if entry.zone == zone:
                self.deployment.servers[entry.server].up = False
        for node in self.deployment.nodes:
            if node.instance.options.zone == zone:
                await self._crash(node)

    async def take_store_down(self) -> None:
        """Take the store down; it stays down while the keys are probed."""
        for node in self.deployment.nodes:
            node.table.down = True

    async def stop_leader(self) -> None:
        """Begin a graceful stop of the leader."""
        leader = self.find_leader()
        self.unavailable_nodes.append(leader)
        self.deployment.instance_list.entries.pop(leader.instance.options.name)
        self.stopping = asyncio.create_task(leader.instance.stop())

    async def _crash(self, node: testing.Node) -> None:
        self.unavailable_nodes.append(node)
        await node.kill()

    def find_available_node(self) -> testing.Node:
        """Return an instance that has neither crashed nor been stopped."""
        return next(
            node
            for node in self.deployment.nodes
            if node not in self.unavailable_nodes
        )

    def get_recorded_owners(self) -> dict[base.PartitionId, base.ServerId]:
        """Return the recorded owner of each partition."""
        key = shards.make_record_key(self.deployment.shard)
        record = shards.decode_record(self.deployment.table.get_row(key).value)
        return {p: a.server for p, a in record.owners.items()}

    async def measure_unavailable_ms(self, min_probing_ms: int) -> int:
        """Probe all keys until they are served again.

        Returns after ten rounds without a failed probe, but not before
        `min_probing_ms`.

        Returns
        -------
        int
            Time from the start to the deadline of the last failed probe, or
            `PROBING_LIMIT_MS` if probes still failed then.
        """
        clock = base.Clock()
        failure_at = clock.now()
        last_failure_at = failure_at
        consecutive_successes = 0
        while clock.now() - failure_at < PROBING_LIMIT_MS:
            entry = self.find_available_node()
            for key in KEYS:
                await self.deployment.wait(1)
                sent_at = clock.now()
                outcome = await self.deployment.send(
                    entry, key, deadline_ms=PROBE_DEADLINE_MS
                )
                consecutive_successes += 1
                if not isinstance(outcome, base.Answered):
                    last_failure_at = max(
                        last_failure_at, sent_at + PROBE_DEADLINE_MS
                    )
                    consecutive_successes = 0
                    self.failed += 1
            done = consecutive_successes >= 10 * len(KEYS)
            if done and clock.now() - failure_at >= min_probing_ms:
                return last_failure_at - failure_at
        return PROBING_LIMIT_MS


async def measure(
    name: str,
    *,
    servers: int = SERVER_COUNT,
    partitions: int = 24,
    delay_ms: int = 1,
    store_delay_ms: int = 5,
    **changes,
) -> Result:
    """Return the cost of one failure.

    Parameters
    ----------
    name : str
        Name of the failure, one of `FAILURES`.
    servers, partitions : int
        Size of the shard.
    delay_ms : int
        One-way network delay between any two processes.
    store_delay_ms : int
        One-way delay to the store.
    **changes
        Columns of the service row.
    """
    deployment = testing.Deployment(
        row=testing.make_row(
            servers=servers, partitions=partitions, **changes
        ),
        instances=INSTANCE_COUNT,
        network=testing.MemoryNetwork(delay_ms=delay_ms),
    )
    for node in deployment.nodes:
        node.table.delay_ms = store_delay_ms
    await deployment.start()
    injector = FailureInjector(deployment=deployment)
    owners_before = injector.get_recorded_owners()
    for key in KEYS:
        await deployment.send(deployment.nodes[0], key)
    await FAILURES[name](injector)
    min_probing_ms = MIN_PROBING_MS.get(name, 3000)
    unavailable_ms = await injector.measure_unavailable_ms(min_probing_ms)
    owners_after = injector.get_recorded_owners()
    churn = sum(owners_after[p] != owner for p, owner in owners_before.items())
    return Result(
        unavailable_ms=unavailable_ms, churn=churn, failed=injector.failed
    )


#: Minimum probing time of the failures that need more than the default.
MIN_PROBING_MS = {"store": STORE_OUTAGE_MS, "planned stop": 8000}

FAILURES = {
    "server": FailureInjector.crash_server,
    "leader": FailureInjector.crash_leader,
    "leader and server": FailureInjector.crash_leader_and_server,
    "leader and standby": FailureInjector.crash_leader_and_standby,
    "availability zone": FailureInjector.crash_zone,
    "store": FailureInjector.take_store_down,
    "planned stop": FailureInjector.stop_leader,
}


def run(name: str, *, standby: bool = True, **options) -> Result:
    """Measure one failure, with a standby or without one."""
    choose = shards.Candidates.choose_standby
    if not standby:
        shards.Candidates.choose_standby = _choose_no_standby
    try:
        return testing.run_manual(measure(name, **options))
    finally:
        shards.Candidates.choose_standby = choose


def main() -> None:
    """Print the results as a Markdown table."""
    absl.logging.set_verbosity(absl.logging.ERROR)
    print("| loss | unavailable ms | churn | baseline ms | churn |")
    print("|---|---|---|---|---|")
    for name in FAILURES:
        with_standby = run(name)
        without_standby = run(name, standby=False)
        print(
            f"| {name} | {with_standby.unavailable_ms} | {with_standby.churn} "
            f"| {without_standby.unavailable_ms} | {without_standby.churn} |"
        )


if __name__ == "__main__":
    main()
