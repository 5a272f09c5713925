"""Instances that report to a poller at a steady rate.

Arguments: the poller's address, reports a second, seconds.
"""

import asyncio
import sys

from tarragonhinge import base
from tarragonhinge import demo
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge.propagation import _messages

INSTANCES = 64


async def run(address: base.Address, rate: float, seconds: float) -> None:
    """Send reports of several instances at a steady rate."""
    own = demo.find_free_address("127.0.0.1")
    transport = peers.ZmqTransport(address=own)
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks = []
    for number in range(int(rate * seconds)):
        await asyncio.sleep(began + number / rate - loop.time())
        entry = membership.InstanceEntry(
            instance=base.InstanceId(f"r{number % INSTANCES}"),
            address=own,
            region=base.RegionName("centro"),
            zone=base.ZoneName("centro-a"),
        )
        report = _messages.VersionReport(
            sender=entry, table_version=base.TableVersion(1), list_digest=0
        )
        call = transport.call(address, report, timeout_ms=2000)
        tasks.append(asyncio.create_task(call))
    await asyncio.gather(*tasks)
    await asyncio.sleep(began + seconds - loop.time())
    await transport.stop()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], float(sys.argv[2]), float(sys.argv[3])))
