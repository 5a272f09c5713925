"""Stand-ins in a process of their own, so that only the instance counts.

Arguments: number of backend servers, and optionally the list of
instances as JSON.  Prints the addresses as one JSON line and runs until
standard input is closed.  Started by ``benchmarks/marginal_costs.py``.
"""

import asyncio
import json
import sys

import msgspec

from tarragonhinge import base
from tarragonhinge import demo
from tarragonhinge import http1
from tarragonhinge import membership
from tarragonhinge import standins


async def _serve(application) -> str:
    address = demo.find_free_address("127.0.0.1")
    await http1.listen(application, address, shutdown_timeout_s=0.1)
    return address


async def run(servers: int, listed: str) -> None:
    """Serve a platform and a number of backend servers."""
    platform = standins.StandinPlatform()
    for entry in msgspec.json.decode(
        listed, type=list[membership.InstanceEntry]
    ):
        platform.instances[entry.instance] = entry
    names = [base.ServerId(f"s{number}") for number in range(servers)]
    addresses = {
        "platform": await _serve(platform.make_application()),
        "servers": [
            await _serve(
                standins.StandinServer(
                    name=name, service_ms=0, slots=1000
                ).make_application()
            )
            for name in names
        ],
    }
    print(json.dumps(addresses), flush=True)
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), (sys.argv[2:] or ["[]"])[0]))
