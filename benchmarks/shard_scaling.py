"""Measures control traffic against the number of shards, on manual time.

Run as ``python benchmarks/shard_scaling.py``.  The figures are store reads,
store writes and messages per second of three instances together.
"""

import absl.logging
import msgspec

from tarragonhinge import base
from tarragonhinge import testing

SHARD_COUNTS = (1, 10, 100, 300)
SETTLING_TIME_MS = 15_000
MEASURING_TIME_MS = 10_000


async def measure(shard_count: int) -> dict[str, float]:
    """Return the rates per second, for all three instances together.

    Parameters
    ----------
    shard_count : int
        Number of services, each of which has one shard.

    Returns
    -------
    dict
        Number of shards led by each instance, and the rates of reads, writes
        and messages.
    """
    deployment = testing.Deployment(
        row=testing.make_row(servers=2, partitions=2)
    )
    rows = [
        msgspec.structs.replace(
            deployment.row, service=base.ServiceName(f"service{number}")
        )
        for number in range(shard_count)
    ]
    await deployment.start(rows=rows, settle_ms=SETTLING_TIME_MS)
    led_counts = [
        len(n.instance.coordinator.leaders) for n in deployment.nodes
    ]
    table = deployment.table
    reads_before, writes_before = table.read_count, table.write_count
    calls_before = deployment.network.call_count
    await deployment.wait(MEASURING_TIME_MS)
    seconds = MEASURING_TIME_MS / base.MS_PER_S
    return {
        "led": led_counts,
        "reads": (table.read_count - reads_before) / seconds,
        "writes": (table.write_count - writes_before) / seconds,
        "messages": (deployment.network.call_count - calls_before) / seconds,
    }


def main() -> None:
    """Print the results as a Markdown table."""
    absl.logging.set_verbosity(absl.logging.ERROR)
    print("| shards | led by each | reads/s | writes/s | messages/s |")
    print("|---|---|---|---|---|")
    for count in SHARD_COUNTS:
        rates = testing.run_manual(measure(count))
        print(
            f"| {count} | {rates['led']} | {rates['reads']:.1f} "
            f"| {rates['writes']:.1f} | {rates['messages']:.1f} |"
        )


if __name__ == "__main__":
    main()
