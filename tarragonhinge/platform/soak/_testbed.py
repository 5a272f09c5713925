"""Row store, backend servers and instances of one run."""

import asyncio
import functools
import json
import pathlib
import random
import time

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge.platform.soak import _crashing_requests
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _limits
from tarragonhinge.platform.soak import _proxy
from tarragonhinge.platform.soak import _spans
from tarragonhinge.platform.soak import _statements
from tarragonhinge.platform import standins

HOST = "soak.example"
KEYED_PREFIX, SAFE_PREFIX, UNSAFE_PREFIX = "/keyed/", "/safe/", "/unsafe/"
SLOW_PREFIX = "/slow/"

#: Timeout and latency objective of the slow route and of the others.
SLOW_TIMEOUT_MS, SLOW_OBJECTIVE_MS = 5_000, 1_500
TIMEOUT_MS, OBJECTIVE_MS = 2_500, 800

#: Services of the servers that are started first.
_SERVICES = ("keys",) * 4 + ("books",) * 2 + ("archive",) * 2

#: Number of rows of a page of the store, so that long tables have several.
PAGE_ROWS = 4

#: Number of concurrent requests that a server reports as its capacity.
_SLOTS = 16

#: Shortest and longest time until a server is back that a request crashed, in
#: seconds.
_RESTART_S = (1.0, 3.0)

#: Interval of the heartbeats of backend servers, in seconds.
_HEARTBEAT_INTERVAL_S = 0.5


class Testbed:
    """Instances, backend servers and row store on loopback addresses.

    Parameters
    ----------
    subnet : int
        Second number of the loopback addresses, which are 127.SUBNET.x.y.
    size : int
        Number of instances.
    folder : Path
        Folder of settings files and logs.
    rng : random.Random
        Source of all random choices.

    Attributes
    ----------
    server_disruptions : dict of str to Spans
        Times at which each server or the path to it was disturbed.
    store_disruptions : Spans
        Times at which the store was disturbed.
    newest_route : str
        Name of the route that was added last.
    limits : Limits
        Limits that servers named.
    statements : list of Statement
        What servers said of themselves in their responses.
    crashing_requests : list of CrashingRequest
        Requests that crash servers, in the order in which they began.
    """

    def __init__(
        self,
        *,
        subnet: int,
        size: int,
        folder: pathlib.Path,
        rng: random.Random,
    ) -> None:
        self.subnet = subnet
        self.rng = rng
        self._size = size
        self._folder = folder
        self.store = standins.StandInStore()
        self.store.rows.page_rows = PAGE_ROWS
        self.servers: list[standins.StandInServer] = []
        self.proxies: dict[str, _proxy.Proxy] = {}
        self.services: dict[str, str] = {}
        self.instances: list[_instances.InstanceProcess] = []
        self.stopped_servers: set[str] = set()
        self.server_disruptions: dict[str, _spans.Spans] = {}
        self.store_disruptions = _spans.Spans()
        self.drain_started_at: dict[str, float] = {}
        self.version = 0
        self.extra_routes: set[str] = set()
        self.newest_route = ""
        self.limits = _limits.Limits()
        self.statements: list[_statements.Statement] = []
        self.crashing_requests: list[_crashing_requests.CrashingRequest] = []
        self._crashing_targets: set[str] = set()
        self._restarts: set[asyncio.Task] = set()
        self.disturbed_at = 0.0
        self.resumed_at = 0.0
        self._server_count = 0
        self._drain_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the store, the servers and the instances."""
        host = f"127.{self.subnet}.0.1"
        self._runner = await http1.listen(
            self.store.make_application(), base.Address(f"{host}:8000")
        )
        for service in _SERVICES:
            await self.start_server(service)
        self.change_routes()
        self._drain_task = asyncio.create_task(self._remove_drained_servers())
        self.instances = [
            _instances.InstanceProcess(
                name=f"e{number}",
                ip=f"127.{self.subnet}.1.{number + 1}",
                zone="za" if number % 2 else "zb",
                store=f"{host}:8000",
                folder=self._folder,
            )
            for number in range(self._size)
        ]
        await asyncio.gather(*(i.start() for i in self.instances))

    async def stop(self) -> None:
        """Stop everything that was started."""
        for instance in self.instances:
            instance.resume()
            if not instance.has_ended:
                await instance.kill()
        self._drain_task.cancel()
        for restart in list(self._restarts):
            restart.cancel()
        for server in self.servers:
            await server.stop()
        for proxy in self.proxies.values():
            await proxy.stop()
        await self._runner.cleanup()

    def record_disturbance(self) -> None:
        """Record the current time as that of the last disturbance."""
        self.disturbed_at = time.monotonic()

    def record_resume(self) -> None:
        """Record the current time as that of the last resume."""
        self.resumed_at = time.monotonic()

    async def start_server(self, service: str) -> standins.StandInServer:
        """Start a server of a service, behind a proxy."""
        self._server_count += 1
        server = standins.StandInServer(
            f"i-{self._server_count}",
            is_keyed=service == "keys",
            slots=_SLOTS,
        )
        server.work_s = self.rng.uniform(0.01, 0.05)
        server.crashing_targets = self._crashing_targets
        server.on_crash = self._restart_crashed
        host = f"127.{self.subnet}.2.1"
        await server.start(host)
        proxy = _proxy.Proxy(host=host, target=server.address)
        await proxy.start()
        server.born_ms = int(time.time() * 1000)
        self.servers.append(server)
        self.proxies[server.name] = proxy
        self.server_disruptions[server.name] = _spans.Spans()
        self.services[server.name] = service
        self._write_entry(server)
        return server

    def find_service(self, prefix: str) -> str:
        """Return the service of a route."""
        return {KEYED_PREFIX: "keys", SLOW_PREFIX: "archive"}.get(
            prefix, "books"
        )

    def list_active_servers(
        self, service: str
    ) -> list[standins.StandInServer]:
        """Return the servers of a service that are not draining or stopped."""
        return [
            s
            for s in self.servers
            if self.services[s.name] == service
            and s.name not in self.drain_started_at
            and s.name not in self.stopped_servers
        ]

    def _write_entry(self, server: standins.StandInServer) -> None:
        is_draining = server.name in self.drain_started_at
        entry = {
            "service": self.services[server.name],
            "address": self.proxies[server.name].address,
            "zone": "za",
            "version": "v1",
            "slots": server.slots,
            "state": "draining" if is_draining else "ready",
            "warmupLeft": 0,
            "seq": 1,
            "born": server.born_ms,
        }
        self.store.put("servers", server.name, json.dumps(entry).encode())

    def drain(self, server: standins.StandInServer) -> None:
        """Mark a server as draining."""
        self.drain_started_at[server.name] = time.monotonic()
        self._write_entry(server)

    async def crash(self, server: standins.StandInServer) -> None:
        """Stop a server; its entry is removed after three heartbeats."""
        self.stopped_servers.add(server.name)
        self.server_disruptions[server.name].begin()
        await server.stop()
        server.leases = []
        await self.proxies[server.name].stop()
        await asyncio.sleep(3 * _HEARTBEAT_INTERVAL_S)
        self.store.remove("servers", server.name)

    def add_crashing_request(
        self, request: _crashing_requests.CrashingRequest
    ) -> None:
        """Let callers send a request that crashes its servers."""
        self._crashing_targets.add(request.target)
        self.crashing_requests.append(request)

    def _restart_crashed(self, server: standins.StandInServer) -> None:
        """Start another server some time after one has crashed."""

        async def restart() -> None:
            crash = asyncio.create_task(self.crash(server))
            await asyncio.sleep(self.rng.uniform(*_RESTART_S))
            await self.start_server(self.services[server.name])
            await crash

        task = asyncio.create_task(restart())
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _remove_drained_servers(self) -> None:
        """Stop and unregister servers 4 s after they began to drain."""
        while True:
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)
            now = time.monotonic()
            for server in self.servers:
                drain_at = self.drain_started_at.get(server.name)
                if drain_at is None or server.name in self.stopped_servers:
                    continue
                if now - drain_at > 4.0:
                    self.stopped_servers.add(server.name)
                    self.server_disruptions[server.name].begin()
                    self.store.remove("servers", server.name)
                    await server.stop()
                    server.leases = []

    def change_routes(self, *, extra: str | None = None) -> None:
        """Write a new version of the routes, with an extra one if given."""
        self.version += self.rng.randint(1, 3)
        if extra is not None:
            self.extra_routes.add(extra)
        self._write_routes()

    def add_route(self) -> None:
        """Write a new version with one more route."""
        self.newest_route = f"added{self.version}"
        self.change_routes(extra=self.newest_route)

    async def write_again(self) -> None:
        """Write what the operator and the servers wrote before a restore.

        Others write, too, so that versions are soon given out again.
        """
        writes = [self._write_routes]
        writes.extend([self.write_other_rows] * self.rng.randint(0, 10))
        for server in self.servers:
            if server.name in self.stopped_servers:
                writes.append(
                    functools.partial(
                        self.store.remove, "servers", server.name
                    )
                )
            else:
                writes.append(functools.partial(self._write_entry, server))
        if self.rng.random() < 0.5:
            self.rng.shuffle(writes)
        longest_pause_s = self.rng.choice([0.0, 0.3, 2.0]) / len(writes)
        for write in writes:
            write()
            await asyncio.sleep(self.rng.uniform(0.0, longest_pause_s))

    def write_other_rows(self) -> None:
        """Write rows that no instance follows, which takes up versions."""
        for _ in range(self.rng.randint(0, 20)):
            self.store.put("other", "", b"")

    def _write_routes(self) -> None:
        routes = [
            self._make_route(name, prefix, kind, service)
            for name, prefix, kind, service in (
                ("keyed", KEYED_PREFIX, "safe", "keys"),
                ("safe", SAFE_PREFIX, "safe", "books"),
                ("unsafe", UNSAFE_PREFIX, "unsafe", "books"),
                ("slow", SLOW_PREFIX, "safe", "archive"),
                *((p, f"/{p}/", "safe", "books") for p in self.extra_routes),
            )
        ]
        config = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "keys", "maxConns": 100, "sharded": True},
                {"name": "books", "maxConns": 100},
                {"name": "archive", "maxConns": 100},
            ],
            "limits": {},
        }
        self.store.put("op", "config", json.dumps(config).encode())

    def _make_route(
        self, name: str, prefix: str, kind: str, service: str
    ) -> dict:
        is_slow = prefix == SLOW_PREFIX
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "timeout": SLOW_TIMEOUT_MS if is_slow else TIMEOUT_MS,
            "goalLatency": SLOW_OBJECTIVE_MS if is_slow else OBJECTIVE_MS,
            "priority": 1,
            "maxAttempts": 2,
            "service": service,
        }
