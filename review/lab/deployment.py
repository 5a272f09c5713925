"""A small deployment on loopback: store, backend servers and instances."""

import asyncio
import json
import os
import pathlib
import random
import socket
import sys
import tempfile
import time
import urllib.request

from review.lab import callers
from review.lab import instances
from review.lab import link
from review.lab import upstream

sys.path.insert(0, str(instances.ROOT / "target" / "deps"))

from aiohttp import web  # noqa: E402

from tarragonhinge.platform import standins  # noqa: E402

#: Host of all routes.
HOST = "nony93.example"

ZONES = {"centro-a": "centro", "sur-a": "sur", "austral-a": "austral"}

#: Ports that an instance listens on.
_PORTS = (8548, 8542, 7540, 7541, 9464)


def is_troubled() -> bool:
    """Return whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def choose_subnet() -> str:
    """Return the first three numbers of unused loopback addresses."""
    for _ in range(100):
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for last in range(1, 8):
                for port in _PORTS:
                    with socket.socket() as sock:
                        sock.bind((f"{subnet}.{last}", port))
        except OSError:
            continue
        return subnet
    raise OSError("no unused loopback addresses")


class Record:
    """Writes what happens to ``record.txt``, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def at(self, moment: float) -> str:
        """Return a time since the start."""
        return f"{moment - self._began_at:8.3f}"

    def write(self, text: str, moment: float | None = None) -> None:
        """Write a line."""
        moment = time.monotonic() if moment is None else moment
        print(f"{self.at(moment)} s  {text}", file=self._file, flush=True)


def record_requests(
    record: Record,
    clients: callers.Callers,
    servers: list[upstream.Upstream],
) -> None:
    """Write what was sent, answered and run."""
    for a in clients.attempts:
        record.write(
            f"{a.method} {a.target} to {a.instance} ({a.attempt}): "
            f"{a.status or a.problem} after {a.ended_at - a.sent_at:.3f} s",
            a.sent_at,
        )
    for server in servers:
        for run in server.runs:
            record.write(
                f"{server.name} runs {run.attempt}: {run.end} after "
                f"{run.ended_at - run.began_at:.3f} s",
                run.began_at,
            )


class Deployment:
    """Store, backend servers and instances.

    Parameters
    ----------
    zones : list of str
        Availability zone of each instance.
    record : Record
        Receives what happens.
    """

    def __init__(self, *, zones: list[str], record: Record) -> None:
        self.record = record
        self.subnet = choose_subnet()
        self.store = standins.StandInStore()
        self.upstreams: list[upstream.Upstream] = []
        self.instances: list[instances.Instance] = []
        self._zones = zones
        self.services: list[dict] = []
        self.links: dict[str, link.Link] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self._runner: web.AppRunner | None = None
        self.store_address = ""

    async def start_store(self) -> None:
        """Start the store on a free port."""
        self._runner = web.AppRunner(
            self.store.make_application(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        host = f"{self.subnet}.1"
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.store_address = f"{host}:{port}"

    def write_manifest(
        self,
        version: int,
        routes: list[dict],
        services: list[dict],
    ) -> None:
        """Write the operator's manifest."""
        self.services = services
        manifest = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1048576,
                "headerTimeout": 3000,
                "idleTimeout": 15000,
            },
        }
        self.store.put("op", "config", json.dumps(manifest).encode())
        self.record.write(f"operator: manifest r{version} acknowledged")

    async def add_upstream(self, server: upstream.Upstream) -> None:
        """Start a backend server and write its entry."""
        await server.start()
        self.upstreams.append(server)
        self.write_entry(server)

    def write_entry(self, server: upstream.Upstream) -> None:
        """Write a backend server's entry."""
        self.store.put("servers", server.name, server.make_entry())
        self.record.write(
            f"{server.name} ({server.service}) registers as {server.state}"
        )

    async def start_instances(self) -> None:
        """Start all instances and wait until they are ready."""
        for number in range(len(self._zones)):
            store_link = link.Link(
                host=f"{self.subnet}.1", target=self.store_address
            )
            await store_link.start()
            self.links[f"edge-{self._zones[number]}-{number + 1}"] = store_link
        self.instances = [
            instances.Instance(
                name=f"edge-{zone}-{number}",
                ip=f"{self.subnet}.{number + 1}",
                zone=zone,
                zones=ZONES,
                store=self.links[f"edge-{zone}-{number}"].address,
                folder=self.folder,
            )
            for number, zone in enumerate(self._zones, 1)
        ]
        await asyncio.gather(*(i.start() for i in self.instances))
        for instance in self.instances:
            await self.wait_ready(instance)
        self.record.write("all instances are ready")

    async def wait_ready(
        self, instance: instances.Instance, *, timeout_s: float = 30.0
    ) -> None:
        """Wait until an instance says that it is ready."""
        ends_at = time.monotonic() + timeout_s
        while not await asyncio.to_thread(is_ready, instance):
            if instance.exit_status is not None or time.monotonic() > ends_at:
                print(instance.read_log()[-2000:], file=sys.stderr)
                raise RuntimeError(f"{instance.name} is not ready")
            await asyncio.sleep(0.1)

    def find_coordinator(self) -> instances.Instance:
        """Return the instance that wrote to the store under a condition."""
        row = self.store.rows.rows["tarragonhinge-leadership", "coordinator"]
        name = json.loads(row.value)["instance"]
        return next(i for i in self.instances if i.name == name)

    async def stop(self) -> None:
        """End all processes that were started."""
        for instance in self.instances:
            await instance.kill()
        for server in self.upstreams:
            await server.stop()
        for store_link in self.links.values():
            await store_link.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        self._folder.cleanup()


def is_ready(instance: instances.Instance) -> bool:
    """Ask an instance whether it is ready, as the platform does."""
    url = f"http://{instance.ip}:8542/tarragonhinge/readyz"
    try:
        with urllib.request.urlopen(url, timeout=1.0) as response:
            return response.status == 200
    except OSError:
        return False


def make_route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    *,
    timeout_ms: int,
    objective_ms: int,
    max_attempts: int,
    priority: int = 1,
) -> dict:
    """Return a route of a manifest, in its plain form."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout": timeout_ms,
        "goalLatency": objective_ms,
        "priority": priority,
        "maxAttempts": max_attempts,
        "service": service,
    }
