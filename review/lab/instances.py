"""Instances of the program, started as the deploy file says."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

#: Settings in the platform's form, as the deployment page shows them.
SETTINGS = """\
node={name}
role=instance
machineClass=edge
serves=edge
ip={ip}
zone={zone}
region={region}
{zones}
listen.front={ip}:8548
listen.ready={ip}:8542
listen.control=
internalPorts=7540,7555
seeds=
bootstrap={bootstrap}
inTolerance=false
limits.cpuShare=0.86
limits.cpuCores=1
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeat=870
contracts=base,drain,config,cost,retry,recover,own,platform
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.drain=2500
bounds.grace=6
bounds.retryRatio=0.2
bounds.budgetWindow=10
bounds.retrySlack=64
bounds.holdMax=10000
grants=rpc
platform.address={store}
platform.form=table
"""


def _read_command() -> list[str]:
    """Return the command of the role in the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    program, *words = tomllib.loads(text)["roles"]["instance"]["run"].split()
    return [sys.executable if program == "python3" else program, *words]


class Instance:
    """One process of the program on a loopback address of its own."""

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        zone: str,
        zones: dict[str, str],
        store: str,
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.front = f"{ip}:8548"
        self._zones = zones
        self._store = store
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._has_started = False

    async def start(self) -> None:
        """Start the process; only its first start is a first start."""
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                region=self._zones[self.zone],
                zones="\n".join(
                    f"zones.{zone}={region}"
                    for zone, region in self._zones.items()
                ),
                bootstrap="false" if self._has_started else "true",
                store=self._store,
            ),
            encoding="utf-8",
        )
        self._has_started = True
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["TARRAGONHINGE_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *_read_command(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def exit_status(self) -> int | None:
        """Exit status; None while the process runs."""
        return self._process.returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self._process.wait()

    async def wait(self) -> int:
        """Wait for the end of the process; return its status."""
        return await self._process.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(encoding="utf-8", errors="replace")
