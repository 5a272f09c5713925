"""Runs a platform, backend servers and daemons as separate processes."""

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
SERVER_COUNT = 4
DAEMON_COUNT = 4
NOTICE_MS = 1000

#: Timeout of one HTTP request to a process.
REQUEST_TIMEOUT_S = 0.25

#: Interval of the health checks of each daemon.
HEALTH_CHECK_INTERVAL_S = 0.2

_HERE = pathlib.Path(__file__).parent
_COMMAND = "from tarragonhinge import cli; cli.main()"


class Process:
    """One process of the deployment, which can be restarted.

    Parameters
    ----------
    name : str
        Name of the process.
    address : Address
        Address on which it serves callers.
    command : list of str
        Command line that starts it.
    log : Path
        File that its standard error is appended to.
    operators : str
        Address on which a daemon serves operators; empty for a stand-in.
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
        """Start the process unless it is running."""
        if self.is_running():
            return
        with open(self.log, "ab") as stream:
            self._popen = subprocess.Popen(
                self._command, stdin=subprocess.PIPE, stderr=stream
            )

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send the process a signal."""
        self._popen.send_signal(signal_number)

    async def wait(self, timeout_s: float) -> int | None:
        """Return the exit status, or None if the process still runs."""
        for _ in range(int(timeout_s / 0.02)):
            if not self.is_running():
                break
            await asyncio.sleep(0.02)
        return self._popen.returncode

    def kill_and_wait(self) -> None:
        """Kill the process, also if it is suspended."""
        if self._popen is not None:
            self._popen.kill()
            self._popen.wait()
            self._popen.stdin.close()


class Deployment:
    """All processes of a deployment.

    Parameters
    ----------
    folder : Path
        Folder for the settings, keys, logs and run counts of the processes.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.folder = folder
        self.session: aiohttp.ClientSession | None = None
        self._platform_address = demo.find_free_address("127.0.0.1")
        self._options: settings.Settings | None = None
        daemons_and_entries = [
            self._write_settings(number) for number in range(DAEMON_COUNT)
        ]
        path = folder / "instances.json"
        path.write_bytes(
            msgspec.json.encode([entry for _, entry in daemons_and_entries])
        )
        self.daemons = [process for process, _ in daemons_and_entries]
        self.servers = [self._make_server(n) for n in range(SERVER_COUNT)]
        self.platform = self._make_standin(
            "platform", self._platform_address, str(path)
        )
        self._health_check: asyncio.Task | None = None

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
        runs_path = str(self.folder / f"{name}.runs")
        return self._make_standin("server", address, name, runs_path)

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
        """Start all processes and store a table."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        for process in (self.platform, *self.servers):
            process.start()
        await self._wait_platform()
        await self._store_table()
        for process in self.daemons:
            process.start()
        self._health_check = asyncio.create_task(self._check_health())

    async def _wait_platform(self) -> None:
        for _ in range(100):
            url = f"{self.platform.address}/instances"
            if await self.fetch(url) is not None:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(
            "the platform did not start; see its log in the folder"
        )

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
            raise RuntimeError(
                f"the platform did not store the table: {result}"
            )

    async def _check_health(self) -> None:
        """Check which daemons are ready, as a load balancer does."""
        while True:
            await asyncio.gather(*(self._check(p) for p in self.daemons))
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    async def _check(self, process: Process) -> None:
        body = await self.fetch(f"{process.operators}/readyz")
        process.ready = body is not None

    async def fetch(self, url: str, method: str = "GET") -> bytes | None:
        """Return the body of a response with status 200, or None."""
        try:
            async with self.session.request(
                method, f"http://{url}"
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        return body if response.status == 200 else None

    async def find_leader(self) -> tuple[Process | None, dict]:
        """Return the daemon that leads with the highest term, and its state.

        A previous leader that has not yet seen its loss of leadership may
        report as well.
        """
        bodies = await asyncio.gather(
            *(self.fetch(f"{p.operators}/state") for p in self.daemons)
        )
        leader, state = None, {}
        for process, body in zip(self.daemons, bodies, strict=True):
            leadership = json.loads(body)["leads"].get(SHARD) if body else None
            if leadership and leadership["term"] > state.get("term", 0):
                leader, state = process, leadership
        return leader, state

    def find(self, name: str) -> Process:
        """Return the daemon or backend server with the given name."""
        named = {p.name: p for p in (*self.daemons, *self.servers)}
        return named[name]

    def restart_stopped(self) -> None:
        """Restart the servers and daemons that have ended."""
        for process in (*self.servers, *self.daemons):
            process.start()

    async def count_runs(self) -> dict[str, int]:
        """Return how often each keyed request ran, summed over the servers."""
        runs: dict[str, int] = {}
        for process in self.servers:
            url = f"{process.address}{process_standins.EXECUTIONS_PATH}"
            body = await self.fetch(url)
            if body is None:
                raise RuntimeError(
                    f"{process.name} does not report its executions"
                )
            for key, count in json.loads(body).items():
                runs[key] = runs.get(key, 0) + count
        return runs

    async def stop(self) -> None:
        """Kill all processes of the deployment."""
        for process in (*self.daemons, *self.servers, self.platform):
            process.kill_and_wait()
        if self._health_check is not None:
            self._health_check.cancel()
            await asyncio.gather(self._health_check, return_exceptions=True)
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
