"""Sends version reports of instances to a poller at a constant rate.

Arguments: address of the poller, reports per second, duration in seconds.
Started by ``benchmarks/marginal_costs.py``.
"""

import asyncio
import sys

from tarragonhinge import base
from tarragonhinge import demo
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge.propagation import _messages

INSTANCE_COUNT = 64


async def run(address: base.Address, rate: float, seconds: float) -> None:
    """Send the reports of several instances at a constant rate."""
    own_address = demo.find_free_address("127.0.0.1")
    transport = peers.ZmqTransport(address=own_address)
    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks = []
    for number in range(int(rate * seconds)):
        await asyncio.sleep(started + number / rate - loop.time())
        entry = membership.InstanceEntry(
            instance=base.InstanceId(f"r{number % INSTANCE_COUNT}"),
            address=own_address,
            region=base.RegionName("centro"),
            zone=base.ZoneName("centro-a"),
        )
        report = _messages.VersionReport(
            sender=entry, table_version=base.TableVersion(1), list_digest=0
        )
        call = transport.call(address, report, timeout_ms=2000)
        tasks.append(asyncio.create_task(call))
    await asyncio.gather(*tasks)
    await asyncio.sleep(started + seconds - loop.time())
    await transport.stop()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], float(sys.argv[2]), float(sys.argv[3])))
