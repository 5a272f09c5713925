"""Processor time of an idle shard's leader, on manual time.

Run as ``python benchmarks/idle_shards.py``.  The figure is for the whole
process: one instance, 16 servers in memory and a table in memory.
"""

import gc
import time

from tarragonhinge import testing

PARTITIONS = (64, 1024, 4096)
SERVERS = 16
SIMULATED_MS = 60_000


async def _measure(partitions):
    row = testing.make_row(servers=SERVERS, partitions=partitions)
    deployment = testing.Deployment(row=row, instances=1)
    await deployment.start(settle_ms=10_000)
    gc.collect()
    started = time.process_time()
    await deployment.wait(SIMULATED_MS)
    return time.process_time() - started


def main():
    """Print processor milliseconds for a second of simulated time."""
    print("partitions  cpu ms/s")
    for partitions in PARTITIONS:
        used_s = testing.run_manual(_measure(partitions))
        print(f"{partitions:10}  {used_s * 1e6 / SIMULATED_MS:8.2f}")


if __name__ == "__main__":
    main()
