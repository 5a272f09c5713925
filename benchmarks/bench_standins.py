"""Stand-ins for the platform and the backend servers, in one process.

They run in a separate process so that their processor time is not counted
for the measured instance.

Arguments: number of backend servers, and optionally the instance list as
JSON.  Prints the addresses as one JSON line and runs until standard input is
closed.  Started by ``benchmarks/bench_instance.py``.
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


async def run(server_count: int, instances_json: str) -> None:
    """Serve a stand-in platform and stand-in backend servers."""
    platform = standins.StandinPlatform()
    for entry in msgspec.json.decode(
        instances_json, type=list[membership.InstanceEntry]
    ):
        platform.instances[entry.instance] = entry
    names = [base.ServerId(f"s{number}") for number in range(server_count)]
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
