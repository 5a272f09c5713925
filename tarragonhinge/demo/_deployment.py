"""Small deployment in one process, on loopback."""

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
SERVER_COUNT = 4
INSTANCE_COUNT = 3


def find_free_address(host: str) -> base.Address:
    """Return an address of `host` with a port that is currently free."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return base.Address(f"{host}:{sock.getsockname()[1]}")


class DemoInstance:
    """Instance of the demonstration with its HTTP listeners.

    Parameters
    ----------
    number : int
        Number of the instance, from 0; selects its name, zone and host.
    platform_address : str
        Address of the platform's HTTP services.
    """

    def __init__(self, *, number: int, platform_address: base.Address) -> None:
        host = f"127.0.0.{11 + number}"
        self.options = settings.Settings(
            name=base.InstanceId(f"entry-{number + 1}"),
            region=REGION,
            zone=base.ZoneName(ZONES[number % len(ZONES)]),
            callers=find_free_address(host),
            peers=find_free_address(host),
            operators=find_free_address(host),
            table=platform_address,
            instances=platform_address,
            notice_ms=500,
        )
        self.daemon = daemon.Instance(
            options=self.options,
            platform=daemon.connect_platform(self.options),
            transport=peers.ZmqTransport(address=self.options.peers),
            seed=number,
        )
        self.listeners = daemon.Listeners(
            instance=self.daemon, shutdown_timeout_s=0.1
        )
        self.running = False

    async def start(self) -> None:
        """Start the instance and its listeners."""
        await self.daemon.start()
        await self.listeners.start()
        self.running = True

    async def stop(self) -> int:
        """Stop gracefully; return the number of requests cut off."""
        cut_off = await self.daemon.stop()
        self.running = False
        await self.listeners.stop()
        return cut_off

    async def kill(self) -> None:
        """Stop immediately, as if the process had crashed."""
        if self.running:
            self.running = False
            await self.daemon.kill()
            await self.listeners.stop()


class Deployment:
    """Platform, backend servers and instances of the demonstration.

    Parameters
    ----------
    service_ms : int
        Service time of a request in milliseconds.
    """

    def __init__(self, *, service_ms: int = 5) -> None:
        self.platform = standins.StandinPlatform()
        self.servers = {
            base.ServerId(f"s{n}"): standins.StandinServer(
                name=base.ServerId(f"s{n}"), slots=2, service_ms=service_ms
            )
            for n in range(SERVER_COUNT)
        }
        self.demo_instances: list[DemoInstance] = []
        self.rng = random.Random(1)
        self._runners: dict[str, web.AppRunner] = {}

    async def start(self) -> None:
        """Start the platform, the servers and the instances."""
        platform_address = await self._listen(
            "platform", self.platform.make_application()
        )
        server_entries = []
        for number, (name, server) in enumerate(self.servers.items()):
            address = await self._listen(name, server.make_application())
            server_entries.append(
                configuration.ServerEntry(
                    server=name,
                    address=address,
                    region=REGION,
                    zone=base.ZoneName(ZONES[number % len(ZONES)]),
                )
            )
        self.demo_instances = [
            DemoInstance(number=n, platform_address=platform_address)
            for n in range(INSTANCE_COUNT)
        ]
        for instance in self.demo_instances:
            me = instance.daemon.me
            self.platform.instances[me.instance] = me
        row = configuration.ServiceRow(
            service=SERVICE,
            partitions=16,
            homes=[REGION],
            servers=server_entries,
        )
        await self.demo_instances[0].daemon.store.apply_edit(
            [row], expected=base.TableVersion(0)
        )
        for instance in self.demo_instances:
            await instance.start()

    async def _listen(
        self, name: str, application: web.Application
    ) -> base.Address:
        address = find_free_address("127.0.0.1")
        self._runners[name] = await http1.listen(
            application, address, shutdown_timeout_s=0.1
        )
        return address

    async def crash_server(self, name: base.ServerId) -> None:
        """Stop a server immediately, as if it had crashed."""
        await self._runners.pop(name).cleanup()

    def find_leader(self) -> DemoInstance | None:
        """Return the instance that leads the shard; None without a leader."""
        shard = base.make_shard_id(SERVICE, REGION)
        for instance in self.demo_instances:
            leader = instance.daemon.coordinator.leaders.get(shard)
            if instance.running and leader is not None:
                return instance
        return None

    def find_owner(self, partition: base.PartitionId) -> str:
        """Return the owner of a partition; empty if it is unknown."""
        shard = base.make_shard_id(SERVICE, REGION)
        instance = self.find_leader()
        if instance is None:
            return ""
        leader = instance.daemon.coordinator.leaders[shard]
        assignment = leader.record.owners.get(partition)
        return assignment.server if assignment else ""

    def list_ready_instances(self) -> list[DemoInstance]:
        """Return the instances to which a load balancer sends requests."""
        return [
            instance
            for instance in self.demo_instances
            if instance.running and instance.daemon.is_ready()
        ]

    def remove_from_list(self, instance: DemoInstance) -> None:
        """Remove an instance from the platform's list of instances."""
        self.platform.instances.pop(instance.options.name, None)

    async def stop(self) -> None:
        """Stop the instances, the servers and the platform."""
        for instance in self.demo_instances:
            await instance.kill()
        for runner in self._runners.values():
            await runner.cleanup()
