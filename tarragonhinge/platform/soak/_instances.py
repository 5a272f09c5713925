"""The program itself, as separate processes."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

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

#: Time to end after SIGTERM before SIGKILL, in seconds.
_GRACE_S = 6.0


class InstanceProcess:
    """One instance, started, signalled and started again.

    Parameters
    ----------
    name, ip, zone : str
        Who it is and where it listens.
    store : str
        Address of the store, or of a proxy to it.
    folder : Path
        Where its settings and its log are kept.
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
        self.front = f"{ip}:8100"
        self.health = f"{ip}:8101"
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            _NODE_FILE.format(name=name, ip=ip, zone=zone, store=store),
            encoding="utf-8",
        )
        self._process: asyncio.subprocess.Process | None = None
        # One end and start at a time: two would leave a process behind.
        self._life = asyncio.Lock()
        self.is_paused = False

    async def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tarragonhinge",
                "run",
                f"--settings={self._settings}",
                stdout=log,
                stderr=log,
            )

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is None or self._process.returncode is not None

    def _signal(self, number: signal.Signals) -> None:
        if not self.has_ended:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    def pause(self) -> None:
        """Stop the process in its tracks."""
        self.is_paused = True
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self._signal(signal.SIGCONT)
        self.is_paused = False

    def reload(self) -> None:
        """Tell it that its settings have changed."""
        self._signal(signal.SIGHUP)

    async def restart_killed(self, pause_s: float) -> None:
        """End it without a word, and start it again after a pause."""
        if self._life.locked() or self.has_ended or self.is_paused:
            return
        async with self._life:
            await self.kill()
            await asyncio.sleep(pause_s)
            await self.start()

    async def restart_stopped(self) -> None:
        """Stop it as the platform does, and start it again."""
        if self._life.locked() or self.has_ended or self.is_paused:
            return
        async with self._life:
            await self.stop()
            await self.start()

    async def kill(self) -> None:
        """End it without a word."""
        self._signal(signal.SIGKILL)
        await self._process.wait()

    async def stop(self) -> None:
        """Stop it as the platform does."""
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_GRACE_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
