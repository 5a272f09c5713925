"""A small deployment in one process, on loopback."""

import random
import socket

from aiohttp import web

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import daemon
from tarragonhinge import http1
from tarragonhinge import peers
from tarragonhinge import settings
from tarragonhinge import standins

REGION = base.RegionName("centro")
ZONES = ("centro-a", "centro-b")
SERVICE = base.ServiceName("balances")
SERVERS = 4
ENTRIES = 3


def find_free_address(host: str) -> base.Address:
    """Return an address of `host` with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return base.Address(f"{host}:{probe.getsockname()[1]}")


class Node:
    """One instance of the demonstration with its listeners."""

    def __init__(self, *, number: int, platform: base.Address) -> None:
        host = f"127.0.0.{11 + number}"
        self.options = settings.Settings(
            name=base.InstanceId(f"entry-{number + 1}"),
            region=REGION,
            zone=base.ZoneName(ZONES[number % len(ZONES)]),
            callers=find_free_address(host),
            peers=find_free_address(host),
            operators=find_free_address(host),
            table=platform,
            instances=platform,
            notice_ms=500,
        )
        self.instance = daemon.Instance(
            options=self.options,
            platform=daemon.connect_platform(self.options),
            transport=peers.ZmqTransport(address=self.options.peers),
            seed=number,
        )
        self.listeners = daemon.Listeners(
            instance=self.instance, shutdown_timeout_s=0.1
        )
        self.running = False

    async def start(self) -> None:
        """Start the instance and its listeners."""
        await self.instance.start()
        await self.listeners.start()
        self.running = True

    async def stop(self) -> int:
        """Stop gracefully; return how many requests were cut off."""
        left = await self.instance.stop()
        self.running = False
        await self.listeners.stop()
        return left

    async def kill(self) -> None:
        """Stop at once."""
        if self.running:
            self.running = False
            await self.instance.kill()
            await self.listeners.stop()


class Deployment:
    """Platform, servers and entries of the demonstration.

    Parameters
    ----------
    service_ms : int
        How long a server works on a request.
    """

    def __init__(self, *, service_ms: int = 5) -> None:
        self.platform = standins.StandinPlatform()
        self.servers = {
            base.ServerId(f"s{n}"): standins.StandinServer(
                name=base.ServerId(f"s{n}"), slots=2, service_ms=service_ms
            )
            for n in range(SERVERS)
        }
        self.nodes: list[Node] = []
        self.rng = random.Random(1)
        self._runners: dict[str, web.AppRunner] = {}

    async def start(self) -> None:
        """Start everything."""
        platform = await self._listen(
            "platform", self.platform.make_application()
        )
        listed = []
        for number, (name, server) in enumerate(self.servers.items()):
            address = await self._listen(name, server.make_application())
            listed.append(
                configuration.ServerEntry(
                    server=name,
                    address=address,
                    region=REGION,
                    zone=base.ZoneName(ZONES[number % len(ZONES)]),
                )
            )
        self.nodes = [
            Node(number=n, platform=platform) for n in range(ENTRIES)
        ]
        for entry in self.nodes:
            me = entry.instance.me
            self.platform.instances[me.instance] = me
        row = configuration.ServiceRow(
            service=SERVICE,
            partitions=16,
            homes=[REGION],
            servers=listed,
        )
        await self.nodes[0].instance.store.apply_edit(
            [row], expected=base.TableVersion(0)
        )
        for entry in self.nodes:
            await entry.start()

    async def _listen(
        self, name: str, application: web.Application
    ) -> base.Address:
        address = find_free_address("127.0.0.1")
        self._runners[name] = await http1.listen(
            application, address, shutdown_timeout_s=0.1
        )
        return address

    async def lose_server(self, name: base.ServerId) -> None:
        """Stop a server at once."""
        await self._runners.pop(name).cleanup()

    def find_leader(self) -> Node | None:
        """Return the entry that leads the shard."""
        shard = base.make_shard_id(SERVICE, REGION)
        for entry in self.nodes:
            leader = entry.instance.coordinator.leaders.get(shard)
            if entry.running and leader is not None:
                return entry
        return None

    def find_owner(self, partition: base.PartitionId) -> str:
        """Return the server that the leader's record names."""
        shard = base.make_shard_id(SERVICE, REGION)
        entry = self.find_leader()
        if entry is None:
            return ""
        leader = entry.instance.coordinator.leaders[shard]
        assignment = leader.record.owners.get(partition)
        return assignment.server if assignment else ""

    def list_ready(self) -> list[Node]:
        """Return the entries to which a balancer would send callers."""
        return [
            entry
            for entry in self.nodes
            if entry.running and entry.instance.is_ready()
        ]

    def mark_leaving(self, entry: Node) -> None:
        """Take an entry off the platform's list."""
        self.platform.instances.pop(entry.options.name, None)

    async def stop(self) -> None:
        """Stop everything."""
        for entry in self.nodes:
            await entry.kill()
        for runner in self._runners.values():
            await runner.cleanup()
