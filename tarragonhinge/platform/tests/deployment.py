"""Fixture: instances in one process, with a store and backend servers."""

import asyncio
import contextlib
import dataclasses
import json
import math
import os
import time

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge.platform import _instance
from tarragonhinge.platform import _node_file
from tarragonhinge.platform import standins
from tarragonhinge import testing

#: Subnet of this process.
SUBNET = f"127.97.{os.getpid() % 256}"

NODE = """\
node=e{number}
ip={subnet}.{number}
zone=z
region=r
zones.z=r
listen.front={subnet}.{number}:8100
listen.ready={subnet}.{number}:8101
internalPorts=8102,8103
platform.address={subnet}.100:8000
bounds.retryRatio=0.2
bounds.budgetWindow=10
bounds.retrySlack=200
"""

STORE = base.Address(f"{SUBNET}.100:8000")
SERVER_IP = f"{SUBNET}.101"
TIMEOUT_S = 30


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SentRequest:
    """A request that was sent and answered.

    Parameters
    ----------
    attempt : str
        Id of the attempt.
    sent_at : float
        Monotonic time in seconds.
    ip : str
        Address of the instance.
    target : str
        Its target.
    status : int
        Status of the response; 0 without one.
    """

    attempt: str
    sent_at: float
    ip: str
    target: str
    status: int


class Deployment:
    """Instances in one process, with a store and backend servers.

    Attributes
    ----------
    servers : list of StandInServer
        All servers that were started.
    instances : list of PlatformInstance
        All instances.
    instance_ips : dict of str to str
        Address of the instance that each attempt was sent to.
    responses : list of tuple of str, int and bytes
        Target, status and response of each request.
    sent : list of SentRequest
        All requests that were answered.
    networks : dict of str to Network
        Network of each instance, by the instance's address.
    """

    def __init__(self, *, instances, servers, is_keyed=False, service=None):
        self._service = service or {}
        self._clock = base.Clock()
        self._is_keyed = is_keyed
        self.store = standins.StandInStore()
        self._size = instances
        self.servers = [
            standins.StandInServer(f"i-{number}", is_keyed=is_keyed, slots=8)
            for number in range(servers)
        ]
        self.instances = []
        self.responses = []
        self.sent = []
        self.networks = {}
        self._sent_count = 0
        self.instance_ips = {}
        self._restarts = set()

    async def __aenter__(self):
        self._runner = await http1.listen(self.store.make_application(), STORE)
        for server in self.servers:
            await server.start(SERVER_IP)
            self.list_server(server)
        self._put_table()
        for number in range(1, self._size + 1):
            await self.start_instance(number)
        await self.wait_until_ready()
        return self

    async def __aexit__(self, *_):
        for restart in list(self._restarts):
            restart.cancel()
        for instance in self.instances:
            await self._end_instance(instance)
        for server in self.servers:
            await server.stop()
        await self._runner.cleanup()

    async def start_instance(self, number):
        """Start an instance with a number, which names its address."""
        options = _node_file.parse_node_file(
            NODE.format(subnet=SUBNET, number=number)
        )
        instance = _instance.PlatformInstance(
            options=options,
            log=testing.make_event_log(self._clock),
            clock=self._clock,
        )
        self.instances.append(instance)
        ip = f"{SUBNET}.{number}"
        network = self.networks.setdefault(ip, standins.Network())

        async def start():
            network.enter()
            await instance.start()

        # All tasks of the instance inherit the context of this one.
        await asyncio.create_task(start())
        return instance

    def find_network(self, instance):
        """Return the network of an instance."""
        host = instance._options.callers.rpartition(":")[0]
        return self.networks[host]

    def cut(self, networks, form, servers=None):
        """Cut instances off from servers, or from all of them."""
        addresses = [s.address for s in servers or self.servers]
        for network in networks:
            network.cut(addresses, form)

    async def end_instance(self, instance):
        """End an instance without a graceful stop."""
        self.instances.remove(instance)
        await self._end_instance(instance)

    async def _end_instance(self, instance):
        await instance._close()
        await instance._health.stop()
        instance._peers.close()

    async def wait_until_ready(self):
        """Wait until all instances are ready and all keys have owners."""
        await self.wait(
            lambda: (
                all(i.is_ready() for i in self.instances)
                and (not self._is_keyed or self._has_all_keys())
            )
        )

    def find_coordinator(self):
        """Return the instance that coordinates; None if there is none."""
        return next(
            (i for i in self.instances if i._member.is_coordinator), None
        )

    def _has_all_keys(self):
        owned = [r for s in self.servers for r in s.list_owned()]
        return sum(last - first + 1 for first, last in owned) == 65_536

    async def wait(self, check):
        """Wait until a check holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not check():
                await self._clock.sleep(20)

    def list_server(self, server, state="ready", *, cold_ms=0, zone="z"):
        """Write the entry of a server."""
        entry = {
            "service": "books",
            "address": server.address,
            "zone": zone,
            "warmupLeft": cold_ms,
            "slots": server.slots,
            "state": state,
            "born": server.born_ms,
            "version": server.version,
        }
        self.store.put("servers", server.name, json.dumps(entry).encode())

    def restart_crashed(self, *, after_s, keeps_name):
        """Start servers again some time after they have crashed."""

        async def restart(crashed):
            await asyncio.sleep(after_s)
            name = crashed.name
            if not keeps_name:
                self.store.remove("servers", name)
                name = f"i-{len(self.servers)}"
            server = standins.StandInServer(
                name, is_keyed=self._is_keyed, slots=crashed.slots
            )
            server.born_ms = crashed.born_ms + 1
            server.version = crashed.version
            server.work_s = crashed.work_s
            server.crashing_targets = crashed.crashing_targets
            server.on_crash = start_restart
            await server.start(SERVER_IP)
            self.servers.append(server)
            self.list_server(server)

        def start_restart(crashed):
            task = asyncio.create_task(restart(crashed))
            self._restarts.add(task)
            task.add_done_callback(self._restarts.discard)

        for server in self.servers:
            server.on_crash = start_restart

    async def restart(self, server):
        """Stop a server and start it again under the same name."""
        await server.stop()
        server.leases = []
        reborn = standins.StandInServer(
            server.name, is_keyed=self._is_keyed, slots=server.slots
        )
        reborn.born_ms = server.born_ms + 1
        await reborn.start(SERVER_IP)
        self.servers.append(reborn)
        self.list_server(reborn)

    def list_crashes(self):
        """Return the times at which servers crashed, in order."""
        times = sorted(s.crashed_at for s in self.servers)
        return [at for at in times if at < math.inf]

    def list_arrivals(self, target):
        """Return the times at which a target reached servers, in order."""
        return sorted(
            at
            for server in self.servers
            for (line, _, _), (at, _) in zip(
                server.received, server.arrivals, strict=True
            )
            if line.split(" ")[1] == target
        )

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
            **self._service,
        }
        unsafe = {**route, "name": "u", "prefix": "/u/", "kind": "unsafe"}
        config = {
            "version": 1,
            "routes": [route, unsafe],
            "services": [service],
        }
        self.store.put("op", "config", json.dumps(config).encode())

    async def send(self, target, *, key=0, number=None):
        """Send one request through an instance; return its status."""
        self._sent_count += 1
        number = self._sent_count if number is None else number
        ip = f"{SUBNET}.{1 + number % self._size}"
        attempt = f"a{self._sent_count}"
        self.instance_ips[attempt] = ip
        sent_at = time.monotonic()
        reader, writer = await asyncio.open_connection(ip, 8100)
        with contextlib.closing(writer):
            writer.write(
                f"GET {target} HTTP/1.1\r\nHost: h.example\r\n"
                f"Tarragonhinge-Request-Attempt-Id: {attempt}\r\n"
                f"Tarragonhinge-Shard-Key: {key}\r\n"
                "Tarragonhinge-Deadline-Ms: 2500\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            response = await reader.read()
        status = int(response.split(b" ")[1]) if response else 0
        self.responses.append((target, status, response))
        self.sent.append(
            SentRequest(
                attempt=attempt,
                sent_at=sent_at,
                ip=ip,
                target=target,
                status=status,
            )
        )
        return status

    async def repeat(self, make_target, *, seconds, every_ms):
        """Send requests at an interval; return when all are answered.

        Parameters
        ----------
        make_target : callable
            Returns target and key of a request, given its number.
        """
        ends_at = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            number = 0
            while time.monotonic() < ends_at:
                target, key = make_target(number)
                group.create_task(self.send(target, key=key))
                number += 1
                await self._clock.sleep(every_ms)

    def list_statuses(self, prefix=""):
        """Return the statuses of the requests to targets with a prefix."""
        return [s for t, s, _ in self.responses if t.startswith(prefix)]

    def count_reason(self, reason, *, prefix):
        """Return how often a reason was given to targets with a prefix."""
        return sum(
            reason.encode() in response
            for target, _, response in self.responses
            if target.startswith(prefix)
        )
