"""Measures the processor time of an idle shard's leader, on manual time.

Run as ``python benchmarks/idle_shards.py``.  The result covers the whole
process: one instance, 16 in-memory servers and an in-memory table.
"""

import gc
import time

from tarragonhinge import testing

PARTITION_COUNTS = (64, 1024, 4096)
SERVER_COUNT = 16
SIMULATED_MS = 60_000


async def _measure_cpu_s(partitions):
    row = testing.make_row(servers=SERVER_COUNT, partitions=partitions)
    deployment = testing.Deployment(row=row, instances=1)
    await deployment.start(settle_ms=10_000)
    gc.collect()
    cpu_started = time.process_time()
    await deployment.wait(SIMULATED_MS)
    return time.process_time() - cpu_started


def main():
    """Print processor time in milliseconds per second of simulated time."""
    print("partitions  cpu ms/s")
    for partitions in PARTITION_COUNTS:
        cpu_s = testing.run_manual(_measure_cpu_s(partitions))
        print(f"{partitions:10}  {cpu_s * 1e6 / SIMULATED_MS:8.2f}")


if __name__ == "__main__":
    main()
