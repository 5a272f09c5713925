"""Platform, backend servers and daemons as separate processes."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys

import aiohttp
import msgspec
import process_standins

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import daemon
from tarragonhinge import demo
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge import settings

REGION = base.RegionName("centro")
ZONES = ("centro-a", "centro-b")
SERVICE = base.ServiceName("balances")
SHARD = base.make_shard_id(SERVICE, REGION)
SERVERS = 4
DAEMONS = 4
NOTICE_MS = 1000

#: Bound on one question to a process.
ASK_TIMEOUT_S = 0.25

#: Period at which the balancer's health check asks each daemon.
CHECK_S = 0.2

_HERE = pathlib.Path(__file__).parent
_COMMAND = "from tarragonhinge import cli; cli.main()"


class Process:
    """One process that this script starts, and starts again.

    Parameters
    ----------
    name : str
        Its name.
    address : Address
        Where it serves callers.
    command : list of str
        How it is started.
    log : Path
        Where its standard error goes.
    operators : str
        Where a daemon tells its state; empty for a stand-in.
    """

    def __init__(
        self,
        *,
        name: str,
        address: base.Address,
        command: list[str],
        log: pathlib.Path,
        operators: str = "",
    ) -> None:
        self.name = name
        self.address = address
        self.operators = operators
        self.log = log
        self.ready = False
        self._command = command
        self._popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it unless it runs."""
        if self.is_running():
            return
        with open(self.log, "ab") as stream:
            self._popen = subprocess.Popen(
                self._command, stdin=subprocess.PIPE, stderr=stream
            )

    def is_running(self) -> bool:
        """Return whether it has been started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self._popen.send_signal(number)

    async def wait(self, limit_s: float) -> int | None:
        """Return its exit status; None if it runs on."""
        for _ in range(int(limit_s / 0.02)):
            if not self.is_running():
                break
            await asyncio.sleep(0.02)
        return self._popen.returncode

    def end(self) -> None:
        """End it at once, also if it is frozen."""
        if self._popen is not None:
            self._popen.kill()
            self._popen.wait()
            self._popen.stdin.close()


class Site:
    """All processes of the deployment.

    Parameters
    ----------
    folder : Path
        For settings, keys, logs and notes of the processes.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.folder = folder
        self.session: aiohttp.ClientSession | None = None
        self._platform_address = demo.find_free_address("127.0.0.1")
        self._options: settings.Settings | None = None
        listed = [self._write_settings(number) for number in range(DAEMONS)]
        path = folder / "instances.json"
        path.write_bytes(msgspec.json.encode([entry for _, entry in listed]))
        self.daemons = [process for process, _ in listed]
        self.servers = [self._make_server(n) for n in range(SERVERS)]
        self.platform = self._make_standin(
            "platform", self._platform_address, str(path)
        )
        self._balancer: asyncio.Task | None = None

    def _make_standin(
        self, kind: str, address: base.Address, *arguments: str
    ) -> Process:
        script = str(_HERE / "process_standins.py")
        name = arguments[0] if kind == "server" else kind
        return Process(
            name=name,
            address=address,
            command=[sys.executable, script, kind, address, *arguments],
            log=self.folder / f"{name}.log",
        )

    def _make_server(self, number: int) -> Process:
        name = f"s{number}"
        address = demo.find_free_address(f"127.0.0.{41 + number}")
        notes = str(self.folder / f"{name}.runs")
        return self._make_standin("server", address, name, notes)

    def _write_settings(
        self, number: int
    ) -> tuple[Process, membership.InstanceEntry]:
        keys = self.folder / "peers.keys"
        if not keys.exists():
            keys.touch(mode=0o600)
            with open(keys, "wb") as stream:
                command = [sys.executable, "-c", _COMMAND, "keys", "generate"]
                subprocess.run(command, stdout=stream, check=True)
        host = f"127.0.0.{21 + number}"
        options = settings.Settings(
            name=base.InstanceId(f"entry-{number + 1}"),
            region=REGION,
            zone=base.ZoneName(ZONES[number % len(ZONES)]),
            callers=demo.find_free_address(host),
            peers=demo.find_free_address(host),
            operators=demo.find_free_address(host),
            table=self._platform_address,
            instances=self._platform_address,
            notice_ms=NOTICE_MS,
        )
        path = self.folder / f"{options.name}.ini"
        path.write_text(_format_settings(options, keys), encoding="utf-8")
        process = Process(
            name=options.name,
            address=options.callers,
            operators=options.operators,
            command=[
                sys.executable,
                "-c",
                _COMMAND,
                "serve",
                f"--settings={path}",
            ],
            log=self.folder / f"{options.name}.log",
        )
        entry = membership.InstanceEntry(
            instance=options.name,
            address=options.peers,
            region=options.region,
            zone=options.zone,
        )
        self._options = options
        return process, entry

    async def start(self) -> None:
        """Start everything and store a table."""
        timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        for process in (self.platform, *self.servers):
            process.start()
        await self._wait_platform()
        await self._store_table()
        for process in self.daemons:
            process.start()
        self._balancer = asyncio.create_task(self._check_health())

    async def _wait_platform(self) -> None:
        for _ in range(100):
            url = f"{self.platform.address}/instances"
            if await self.ask(url) is not None:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the platform did not start")

    async def _store_table(self) -> None:
        row = configuration.ServiceRow(
            service=SERVICE,
            partitions=32,
            homes=[REGION],
            slots=process_standins.SLOTS,
            servers=[
                configuration.ServerEntry(
                    server=base.ServerId(process.name),
                    address=process.address,
                    region=REGION,
                    zone=base.ZoneName(ZONES[number % len(ZONES)]),
                )
                for number, process in enumerate(self.servers)
            ],
        )
        instance = daemon.Instance(
            options=self._options,
            platform=daemon.connect_platform(self._options),
            transport=peers.ZmqTransport(address=self._options.peers),
        )
        result = await instance.store.apply_edit(
            [row], expected=base.TableVersion(0)
        )
        await instance.kill()
        if not hasattr(result, "version"):
            raise RuntimeError(f"the table was not stored: {result}")

    async def _check_health(self) -> None:
        """Keep what a balancer's health check would know."""
        while True:
            await asyncio.gather(*(self._check(p) for p in self.daemons))
            await asyncio.sleep(CHECK_S)

    async def _check(self, process: Process) -> None:
        answer = await self.ask(f"{process.operators}/readyz")
        process.ready = answer is not None

    async def ask(self, url: str, method: str = "GET") -> bytes | None:
        """Return the body of a good answer, None if there is none."""
        try:
            async with self.session.request(method, f"http://{url}") as answer:
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        return body if answer.status == 200 else None

    async def find_leader(self) -> tuple[Process | None, dict]:
        """Return the daemon that leads with the highest term, and its state.

        A former leader that has not noticed yet may answer too.
        """
        answers = await asyncio.gather(
            *(self.ask(f"{p.operators}/state") for p in self.daemons)
        )
        found, state = None, {}
        for process, answer in zip(self.daemons, answers, strict=True):
            led = json.loads(answer)["leads"].get(SHARD) if answer else None
            if led and led["term"] > state.get("term", 0):
                found, state = process, led
        return found, state

    def find(self, name: str) -> Process:
        """Return the daemon or server of a name."""
        named = {p.name: p for p in (*self.daemons, *self.servers)}
        return named[name]

    def start_lost(self) -> None:
        """Start again what has ended."""
        for process in (*self.servers, *self.daemons):
            process.start()

    async def count_runs(self) -> dict[str, int]:
        """Return how often each keyed request ran, on all servers."""
        runs: dict[str, int] = {}
        for process in self.servers:
            url = f"{process.address}{process_standins.EXECUTIONS_PATH}"
            answer = await self.ask(url)
            if answer is None:
                raise RuntimeError(f"{process.name} does not tell its runs")
            for key, count in json.loads(answer).items():
                runs[key] = runs.get(key, 0) + count
        return runs

    async def stop(self) -> None:
        """End all processes of this site."""
        for process in (*self.daemons, *self.servers, self.platform):
            process.end()
        if self._balancer is not None:
            self._balancer.cancel()
            await asyncio.gather(self._balancer, return_exceptions=True)
        if self.session is not None:
            await self.session.close()


def _format_settings(options: settings.Settings, keys: os.PathLike) -> str:
    return (
        f"[instance]\nname = {options.name}\nregion = {options.region}\n"
        f"zone = {options.zone}\n"
        f"[listen]\ncallers = {options.callers}\npeers = {options.peers}\n"
        f"operators = {options.operators}\n"
        f"[security]\npeer_keys = {keys}\n"
        f"[platform]\ntable = {options.table}\n"
        f"instances = {options.instances}\n"
        f"[stop]\nnotice_ms = {options.notice_ms}\n"
    )
