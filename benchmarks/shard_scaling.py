"""Store reads and messages of one instance against its shards.

Run ``python benchmarks/shard_scaling.py``.  Manual time; three instances.
"""

import absl.logging
import msgspec

from tarragonhinge import base
from tarragonhinge import testing

SHARD_COUNTS = (1, 10, 100, 300)
SETTLE_MS = 15_000
MEASURED_MS = 10_000


async def measure(shard_count: int) -> dict[str, float]:
    """Return rates a second, for all three instances together."""
    deployment = testing.Deployment(
        row=testing.make_row(servers=2, partitions=2)
    )
    rows = [
        msgspec.structs.replace(
            deployment.row, service=base.ServiceName(f"service{number}")
        )
        for number in range(shard_count)
    ]
    await deployment.start(rows=rows, settle_ms=SETTLE_MS)
    led = [len(n.instance.coordinator.leaders) for n in deployment.nodes]
    table = deployment.table
    reads, writes = table.read_count, table.write_count
    calls = deployment.network.call_count
    await deployment.wait(MEASURED_MS)
    seconds = MEASURED_MS / base.MS_PER_S
    return {
        "led": led,
        "reads": (table.read_count - reads) / seconds,
        "writes": (table.write_count - writes) / seconds,
        "messages": (deployment.network.call_count - calls) / seconds,
    }


def main() -> None:
    """Print the table."""
    absl.logging.set_verbosity(absl.logging.ERROR)
    print("| shards | led by each | reads/s | writes/s | messages/s |")
    print("|---|---|---|---|---|")
    for count in SHARD_COUNTS:
        found = testing.run_manual(measure(count))
        print(
            f"| {count} | {found['led']} | {found['reads']:.1f} "
            f"| {found['writes']:.1f} | {found['messages']:.1f} |"
        )


if __name__ == "__main__":
    main()
