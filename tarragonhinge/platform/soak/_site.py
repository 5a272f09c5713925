"""Store, servers and instances of one run."""

import asyncio
import json
import pathlib
import random
import time

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _proxy
from tarragonhinge.platform import standins

HOST = "soak.example"
KEYED, SAFE, UNSAFE = "/keyed/", "/safe/", "/unsafe/"

#: Interval at which servers write their entries, in seconds.
_HEARTBEAT_S = 0.5


class Site:
    """Everything around the instances, on loopback.

    Parameters
    ----------
    net : int
        Second number of the loopback addresses that are used.
    size : int
        Number of instances.
    folder : Path
        Where settings and logs are kept.
    rng : random.Random
        Source of all choices.
    """

    def __init__(
        self,
        *,
        net: int,
        size: int,
        folder: pathlib.Path,
        rng: random.Random,
    ) -> None:
        self.net = net
        self.rng = rng
        self._size = size
        self._folder = folder
        self.store = standins.StandInStore()
        self.servers: list[standins.StandInServer] = []
        self.proxies: dict[str, _proxy.Proxy] = {}
        self.services: dict[str, str] = {}
        self.instances: list[_instances.InstanceProcess] = []
        self.silent: set[str] = set()
        self.draining: dict[str, float] = {}
        self.version = 0
        self.extra_routes: set[str] = set()
        self.disturbed_at = 0.0
        self.thawed_at = 0.0
        self._count = 0
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start store, servers and instances."""
        host = f"127.{self.net}.0.1"
        self._runner = await http1.listen(
            self.store.make_application(), base.Address(f"{host}:8000")
        )
        for service in ("keys", "keys", "keys", "keys", "books", "books"):
            await self.start_server(service)
        self.change_routes()
        self._task = asyncio.create_task(self._send_heartbeats())
        self.instances = [
            _instances.InstanceProcess(
                name=f"e{number}",
                ip=f"127.{self.net}.1.{number + 1}",
                zone="za" if number % 2 else "zb",
                store=f"{host}:8000",
                folder=self._folder,
            )
            for number in range(self._size)
        ]
        await asyncio.gather(*(i.start() for i in self.instances))

    async def stop(self) -> None:
        """End everything that was started."""
        for instance in self.instances:
            instance.resume()
            if not instance.has_ended:
                await instance.kill()
        self._task.cancel()
        for server in self.servers:
            await server.stop()
        for proxy in self.proxies.values():
            await proxy.stop()
        await self._runner.cleanup()

    def note(self) -> None:
        """Note that the site is disturbed now."""
        self.disturbed_at = time.monotonic()

    def note_thaw(self) -> None:
        """Note that a process that was stopped goes on."""
        self.thawed_at = time.monotonic()

    async def start_server(self, service: str) -> standins.StandInServer:
        """Start a server of a service, behind a proxy."""
        self._count += 1
        server = standins.StandInServer(
            f"i-{self._count}", is_keyed=service == "keys"
        )
        server.work_s = self.rng.uniform(0.01, 0.05)
        host = f"127.{self.net}.2.1"
        await server.start(host)
        proxy = _proxy.Proxy(host=host, target=server.address)
        await proxy.start()
        server.born = int(time.time() * 1000)
        self.servers.append(server)
        self.proxies[server.name] = proxy
        self.services[server.name] = service
        self._write_entry(server)
        return server

    def list_running(self, service: str) -> list[standins.StandInServer]:
        """Return the servers of a service that neither ended nor leave."""
        return [
            s
            for s in self.servers
            if self.services[s.name] == service
            and s.name not in self.draining
            and s.name not in self.silent
        ]

    def _write_entry(self, server: standins.StandInServer) -> None:
        is_leaving = server.name in self.draining
        entry = {
            "service": self.services[server.name],
            "address": self.proxies[server.name].address,
            "zone": "za",
            "version": "v1",
            "slots": server.slots,
            "state": "draining" if is_leaving else "ready",
            "warmupLeft": 0,
            "seq": 1,
            "born": server.born,
        }
        self.store.put("servers", server.name, json.dumps(entry).encode())

    def drain(self, server: standins.StandInServer) -> None:
        """Let a server announce that it leaves."""
        self.draining[server.name] = time.monotonic()
        self._write_entry(server)

    async def crash(self, server: standins.StandInServer) -> None:
        """End a server; its entry goes after three heartbeats."""
        self.silent.add(server.name)
        await server.stop()
        server.held = []
        await self.proxies[server.name].stop()
        await asyncio.sleep(3 * _HEARTBEAT_S)
        self.store.drop("servers", server.name)

    async def _send_heartbeats(self) -> None:
        """Remove those that have drained."""
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            now = time.monotonic()
            for server in self.servers:
                left_at = self.draining.get(server.name)
                if left_at is None or server.name in self.silent:
                    continue
                if now - left_at > 4.0:
                    self.silent.add(server.name)
                    self.store.drop("servers", server.name)
                    await server.stop()
                    server.held = []

    def change_routes(self, *, extra: str | None = None) -> None:
        """Write a new version of the routes, perhaps with one more."""
        self.version += self.rng.randint(1, 3)
        if extra is not None:
            self.extra_routes.add(extra)
        routes = [
            self._make_route(name, prefix, kind, service)
            for name, prefix, kind, service in (
                ("keyed", KEYED, "safe", "keys"),
                ("safe", SAFE, "safe", "books"),
                ("unsafe", UNSAFE, "unsafe", "books"),
                *((p, f"/{p}/", "safe", "books") for p in self.extra_routes),
            )
        ]
        config = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "keys", "maxConns": 100, "sharded": True},
                {"name": "books", "maxConns": 100},
            ],
            "limits": {},
        }
        self.store.put("op", "config", json.dumps(config).encode())

    def _make_route(
        self, name: str, prefix: str, kind: str, service: str
    ) -> dict:
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "timeout": 2500,
            "goalLatency": 800,
            "priority": 1,
            "maxAttempts": 2,
            "service": service,
        }
