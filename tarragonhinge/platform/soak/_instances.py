"""Instances of the router as child processes."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import time

from tarragonhinge.platform.soak import _process
from tarragonhinge.platform.soak import _spans
from tarragonhinge.platform import standins

_NODE_FILE = """\
node={name}
ip={ip}
zone={zone}
region={zone}
zones.za=za
zones.zb=zb
listen.front={ip}:8100
listen.ready={ip}:8101
internalPorts=8102,8103
platform.address={store}
bounds.drain=2500
bounds.grace=6
bounds.retryRatio=0.2
bounds.retrySlack=200
bounds.budgetWindow=10
bounds.holdMax=10000
heartbeat=500
"""

#: Time from SIGTERM to SIGKILL, in seconds.
STOP_TIMEOUT_S = 6.0


class InstanceProcess:
    """Child process that runs one instance and can be restarted.

    Parameters
    ----------
    name, ip, zone : str
        Name, address and availability zone of the instance.
    store : str
        Address of the row store, or of a proxy to it.
    folder : Path
        Folder of its settings file and its log.

    Attributes
    ----------
    started_at, stopped_at, reloaded_at : list of float
        Monotonic times of starts, of SIGTERM and of SIGHUP, in seconds.
    disruptions : Spans
        Times at which the process was killed, started or paused.
    cuts : Spans
        Times at which it was cut off from servers.
    """

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.ip = ip
        self.callers_address = f"{ip}:8100"
        self.health_address = f"{ip}:8101"
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            _NODE_FILE.format(name=name, ip=ip, zone=zone, store=store),
            encoding="utf-8",
        )
        self._process: asyncio.subprocess.Process | None = None
        # Two concurrent restarts would leave a process running.
        self._restart_lock = asyncio.Lock()
        self.is_paused = False
        self.started_at: list[float] = []
        self.stopped_at: list[float] = []
        self.reloaded_at: list[float] = []
        self.disruptions = _spans.Spans()
        self.cuts = _spans.Spans()
        self._cut_command = _process.encode_cut([], None)
        self.is_cut = False

    async def start(self) -> None:
        """Start the process."""
        self.started_at.append(time.monotonic())
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-P",
                _process.__file__,
                str(self._settings),
                self.ip,
                stdin=asyncio.subprocess.PIPE,
                stdout=log,
                stderr=log,
            )
        self._process.stdin.write(self._cut_command)

    def cut(self, addresses: list[str], form: standins.CutForm | None) -> None:
        """Cut the instance off from addresses, or heal the cut.

        A cut outlasts the process.
        """
        self.is_cut = form is not None
        self._cut_command = _process.encode_cut(addresses, form)
        if not self.has_ended:
            self._process.stdin.write(self._cut_command)

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is None or self._process.returncode is not None

    def has_run_for(self, seconds: float) -> bool:
        """Return whether the process has run for some time."""
        started_at = self.started_at[-1]
        return not self.has_ended and time.monotonic() - started_at >= seconds

    def has_been_calm(self, since: float, until: float) -> bool:
        """Return whether nothing happened to the process between two times.

        Starts, stops, kills and pauses count; times are monotonic.
        """
        return not (
            self.disruptions.overlap(since, until)
            or any(
                since - STOP_TIMEOUT_S <= at <= until for at in self.stopped_at
            )
            or any(since <= at <= until for at in self.started_at)
        )

    @property
    def exit_status(self) -> int | None:
        """Exit status, negative for a signal; None if it has not ended."""
        return self._process and self._process.returncode

    def _signal(self, number: signal.Signals) -> None:
        if not self.has_ended:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.is_paused = True
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self._signal(signal.SIGCONT)
        self.is_paused = False

    def reload(self) -> None:
        """Signal the process to reload its settings."""
        self.reloaded_at.append(time.monotonic())
        self._signal(signal.SIGHUP)

    async def restart_killed(self, delay_s: float) -> None:
        """Kill the process and restart it after a delay."""
        if self._restart_lock.locked() or self.has_ended or self.is_paused:
            return
        async with self._restart_lock:
            with self.disruptions.record():
                await self.kill()
                await asyncio.sleep(delay_s)
                await self.start()

    async def restart_stopped(self) -> None:
        """Stop the process gracefully and restart it."""
        if self._restart_lock.locked() or self.has_ended or self.is_paused:
            return
        async with self._restart_lock:
            await self.stop()
            await self.start()

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self._signal(signal.SIGKILL)
        await self._process.wait()

    async def stop(self) -> None:
        """Stop the process as the platform does: SIGTERM, then SIGKILL."""
        self.stopped_at.append(time.monotonic())
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
