"""All instances together respect the limit that a server names."""

import asyncio
import contextlib
import json
import time

import pytest

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge.platform import _instance
from tarragonhinge.platform import _node_file
from tarragonhinge.platform import standins
from tarragonhinge import testing

NODE = """\
node=e{number}
ip=127.96.0.{number}
zone=z
region=r
zones.z=r
listen.front=127.96.0.{number}:8100
listen.ready=127.96.0.{number}:8101
internalPorts=8102,8103
platform.address=127.96.0.100:8000
"""

STORE = base.Address("127.96.0.100:8000")
TIMEOUT_S = 30

#: Window of the rule LIMIT, in seconds, and what it allows in that time.
WINDOW_S = 4.0
ALLOWED_RATIO, ALLOWED_MORE = 1.5, 5


class Deployment:
    """Instances in one process, with a store and backend servers."""

    def __init__(self, *, instances, servers, is_keyed):
        self._clock = base.Clock()
        self._is_keyed = is_keyed
        self._store = standins.StandInStore()
        self._size = instances
        self.servers = [
            standins.StandInServer(f"i-{number}", is_keyed=is_keyed, slots=8)
            for number in range(servers)
        ]
        self.instances = []
        self.statuses = []

    async def __aenter__(self):
        self._runner = await http1.listen(
            self._store.make_application(), STORE
        )
        for server in self.servers:
            await server.start("127.96.0.101")
            self.list_server(server)
        self._put_table()
        for number in range(1, self._size + 1):
            options = _node_file.parse_node_file(NODE.format(number=number))
            instance = _instance.PlatformInstance(
                options=options,
                log=testing.make_event_log(self._clock),
                clock=self._clock,
            )
            self.instances.append(instance)
            await instance.start()
        await self.wait(
            lambda: (
                all(i.is_ready() for i in self.instances)
                and (not self._is_keyed or self._has_all_keys())
            )
        )
        return self

    async def __aexit__(self, *_):
        for instance in self.instances:
            await instance._close()
            await instance._health.stop()
            instance._peers.close()
        for server in self.servers:
            await server.stop()
        await self._runner.cleanup()

    def _has_all_keys(self):
        owned = [r for s in self.servers for r in s.list_owned()]
        return sum(last - first + 1 for first, last in owned) == 65_536

    async def wait(self, check):
        async with asyncio.timeout(TIMEOUT_S):
            while not check():
                await self._clock.sleep(20)

    def list_server(self, server):
        entry = {
            "service": "books",
            "address": server.address,
            "zone": "z",
            "slots": server.slots,
            "state": "ready",
            "born": server.born_ms,
        }
        self._store.put("servers", server.name, json.dumps(entry).encode())

    def _put_table(self):
        route = {
            "name": "r",
            "host": "h.example",
            "prefix": "/x/",
            "kind": "safe",
            "timeout": 2500,
            "goalLatency": 800,
            "priority": 1,
            "maxAttempts": 2,
            "service": "books",
        }
        service = {
            "name": "books",
            "maxConns": 100,
            "sharded": self._is_keyed,
        }
        config = {"version": 1, "routes": [route], "services": [service]}
        self._store.put("op", "config", json.dumps(config).encode())

    async def send(self, number):
        """Send one request through an instance; record its status."""
        ip = f"127.96.0.{1 + number % self._size}"
        reader, writer = await asyncio.open_connection(ip, 8100)
        with contextlib.closing(writer):
            writer.write(
                f"GET /x/{number} HTTP/1.1\r\nHost: h.example\r\n"
                f"Tarragonhinge-Request-Attempt-Id: a{number}\r\n"
                f"Tarragonhinge-Shard-Key: {number * 7919 % 65_536}\r\n"
                "Tarragonhinge-Deadline-Ms: 2500\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            response = await reader.read()
        self.statuses.append(int(response.split(b" ")[1]))

    async def load(self, *, seconds, per_s):
        """Send requests at a rate; return when all are answered."""
        ends_at = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            number = 0
            while time.monotonic() < ends_at:
                group.create_task(self.send(number))
                number += 1
                await self._clock.sleep(1000 // per_s)


def _count_most(arrivals, since):
    """Return the largest number of arrivals in any window."""
    times = [at for at, _ in arrivals if at >= since]
    return max(
        (sum(at <= t < at + WINDOW_S for t in times) for at in times),
        default=0,
    )


@pytest.mark.parametrize("is_keyed", [False, True])
@pytest.mark.parametrize(
    ("limit", "instances", "servers"),
    [("2", 3, 3), ("2", 3, 1), ("1.3", 8, 1)],
)
def test_instances_together_respect_limit(limit, instances, servers, is_keyed):
    async def run():
        async with Deployment(
            instances=instances, servers=servers, is_keyed=is_keyed
        ) as deployment:
            limited = deployment.servers[0]
            limited.limit = limit
            await deployment.load(seconds=1.0, per_s=30)
            since = time.monotonic()
            await deployment.load(seconds=6.0, per_s=30)
            most = _count_most(limited.arrivals, since)
            rate = float(limit)
            assert most <= ALLOWED_RATIO * rate * WINDOW_S + ALLOWED_MORE
            # It gets no less than half of what it takes.
            assert most >= rate * WINDOW_S / 2
            assert set(deployment.statuses) <= {200, 503}

    asyncio.run(run())
