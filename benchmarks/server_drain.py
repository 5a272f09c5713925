"""Measures how long a draining server takes to empty, on manual time.

Run as ``python benchmarks/server_drain.py``.  The store answers after 40 ms,
as a store in another region does.

emptied  time from the server's report that it drains until the record assigns
         no partition to it
held     longest and mean time for which requests of a partition wait
"""

import statistics

from tarragonhinge import base
from tarragonhinge import testing

PARTITION_COUNTS = (64, 1024, 4096)
SERVER_COUNT = 16
STORE_DELAY_MS = 20
SHARD = base.ShardId("balances/centro")
DRAINING_SERVER = base.ServerId("s0")


async def measure(partitions, servers=SERVER_COUNT):
    """Drain one server and measure until it owns no partition.

    Returns
    -------
    owned_count : int
        Number of partitions that the server owned.
    emptied_ms : int
        Time until it owned none.
    unserved_ms : list of int
        Time without an owner, for each of these partitions.
    """
    row = testing.make_row(servers=servers, partitions=partitions)
    deployment = testing.Deployment(row=row)
    await deployment.start()
    node = deployment.find_leaders()[0]
    node.table.delay_ms = STORE_DELAY_MS
    leader = node.instance.coordinator.leaders[SHARD]
    owners = leader.record.owners
    owned_partitions = [
        p for p, a in owners.items() if a.server == DRAINING_SERVER
    ]
    deployment.servers[DRAINING_SERVER].draining = True
    unserved_ms = dict.fromkeys(owned_partitions, 0)
    started_at = node.clock.now()
    while any(
        leader.record.owners[p].server == DRAINING_SERVER
        for p in owned_partitions
    ):
        for partition in owned_partitions:
            is_served = leader.owners.find_owner(partition) is not None
            unserved_ms[partition] += not is_served
        await deployment.wait(1)
    emptied_ms = node.clock.now() - started_at
    return len(owned_partitions), emptied_ms, list(unserved_ms.values())


def main():
    """Print the results for each number of partitions."""
    print("partitions  own  emptied ms  held ms: most  mean")
    for partitions in PARTITION_COUNTS:
        owned_count, emptied_ms, held_ms = testing.run_manual(
            measure(partitions)
        )
        print(
            f"{partitions:10} {owned_count:4} {emptied_ms:11}"
            f" {max(held_ms):14} {statistics.mean(held_ms):5.0f}"
        )


if __name__ == "__main__":
    main()
