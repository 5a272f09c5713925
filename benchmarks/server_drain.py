"""Time to empty a draining server, on manual time.

Run as ``python benchmarks/server_drain.py``.  The store answers after 40 ms,
as from another region.

emptied  from the report that it drains until the record gives it nothing
held     longest and mean time for which a partition's requests wait
"""

import statistics

from tarragonhinge import base
from tarragonhinge import testing

PARTITIONS = (64, 1024, 4096)
SERVERS = 16
STORE_DELAY_MS = 20
SHARD = base.ShardId("balances/centro")
LEAVING = base.ServerId("s0")


async def measure(partitions, servers=SERVERS):
    """Return the number of own partitions, and the times in ms."""
    row = testing.make_row(servers=servers, partitions=partitions)
    deployment = testing.Deployment(row=row)
    await deployment.start()
    node = deployment.find_leaders()[0]
    node.table.delay_ms = STORE_DELAY_MS
    leader = node.instance.coordinator.leaders[SHARD]
    owners = leader.record.owners
    own = [p for p, a in owners.items() if a.server == LEAVING]
    deployment.servers[LEAVING].draining = True
    unserved_ms = dict.fromkeys(own, 0)
    started_at = node.clock.now()
    while any(leader.record.owners[p].server == LEAVING for p in own):
        for partition in own:
            served = leader.owners.find_owner(partition) is not None
            unserved_ms[partition] += not served
        await deployment.wait(1)
    emptied_ms = node.clock.now() - started_at
    return len(own), emptied_ms, list(unserved_ms.values())


def main():
    """Print one line for each number of partitions."""
    print("partitions  own  emptied ms  held ms: most  mean")
    for partitions in PARTITIONS:
        own, emptied_ms, held = testing.run_manual(measure(partitions))
        print(
            f"{partitions:10} {own:4} {emptied_ms:11} {max(held):14}"
            f" {statistics.mean(held):5.0f}"
        )


if __name__ == "__main__":
    main()
