"""One instance under measurement; its peers run in other processes."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import daemon
from tarragonhinge import demo
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge import settings

REGION = base.RegionName("centro")
ZONE = base.ZoneName("centro-a")
SETTLING_TIME_S = 3.0
MEASURING_TIME_S = 4.0
SERVER_COUNT = 16
BENCHMARKS_DIR = pathlib.Path(__file__).parent


def make_options(name: str) -> settings.Settings:
    """Return settings with free addresses; the platform's stay empty."""
    host = "127.0.0.1"
    return settings.Settings(
        name=base.InstanceId(name),
        region=REGION,
        zone=ZONE,
        callers=demo.find_free_address(host),
        peers=demo.find_free_address(host),
        operators=demo.find_free_address(host),
        table=base.Address(""),
        instances=base.Address(""),
    )


def make_entry(options: settings.Settings) -> membership.InstanceEntry:
    """Return the entry of an instance in the platform's instance list."""
    return membership.InstanceEntry(
        instance=options.name,
        address=options.peers,
        region=options.region,
        zone=options.zone,
    )


def _format_settings(options: settings.Settings) -> str:
    """Return the text of an instance's settings file."""
    return f"""
[instance]
name = {options.name}
region = {options.region}
zone = {options.zone}
[listen]
callers = {options.callers}
peers = {options.peers}
operators = {options.operators}
[platform]
table = {options.table}
instances = {options.instances}
"""


class MeasuredInstance:
    """Instance under measurement, with its stand-ins in another process.

    Parameters
    ----------
    addresses : dict
        Addresses of the platform and the backend servers, as
        ``bench_standins.py`` prints them.
    options : Settings
        Settings of the instance; the platform's address is filled in.
    """

    def __init__(self, *, addresses: dict, options: settings.Settings) -> None:
        self.servers = addresses["servers"]
        platform = addresses["platform"]
        self.options = dataclasses.replace(
            options, table=platform, instances=platform
        )
        self.instance = daemon.Instance(
            options=self.options,
            platform=daemon.connect_platform(self.options),
            transport=peers.ZmqTransport(address=self.options.peers),
            seed=0,
        )
        self.listeners = daemon.Listeners(
            instance=self.instance, shutdown_timeout_s=0.1
        )

    def make_row(
        self, number: int, *, servers: int, partitions: int
    ) -> configuration.ServiceRow:
        """Return a service row with the first `servers` stand-in servers."""
        entries = [
            configuration.ServerEntry(
                server=base.ServerId(f"s{index}"),
                address=self.servers[index],
                region=REGION,
                zone=ZONE,
            )
            for index in range(servers)
        ]
        return configuration.ServiceRow(
            service=base.ServiceName(f"service{number}"),
            partitions=partitions,
            homes=[REGION],
            servers=entries,
            slots=100,
            queue=1000,
        )

    async def store_table(self, rows: list[configuration.ServiceRow]) -> None:
        """Store the first table, with the given rows."""
        await self.instance.store.apply_edit(
            rows, expected=base.TableVersion(0)
        )

    async def start(self) -> None:
        """Start the instance and wait until it has settled."""
        if not self.instance.instances.list_all():
            self.instance.instances.replace([self.instance.me])
        await self.instance.start()
        await self.listeners.start()
        await asyncio.sleep(SETTLING_TIME_S)

    async def measure_idle(self) -> float:
        """Return the processor time used while idle, in ms per second."""
        started, cpu_started = time.monotonic(), time.process_time()
        await asyncio.sleep(MEASURING_TIME_S)
        used_s = time.process_time() - cpu_started
        return used_s * base.MS_PER_S / (time.monotonic() - started)

    async def stop(self) -> None:
        """Stop the instance."""
        await self.instance.kill()
        await self.listeners.stop()


@contextlib.asynccontextmanager
async def start_measured_instance(
    make_rows,
    *,
    options=None,
    instances_json="[]",
    second_options=None,
    starts_first=True,
):
    """Start the stand-ins and the instances, and stop them on exit.

    Parameters
    ----------
    make_rows : callable
        Takes the `MeasuredInstance` and returns the rows of the table.
    options : Settings, optional
        Settings of the measured instance.
    instances_json : str
        Instance list of the platform, as JSON.
    second_options : Settings, optional
        Settings of a second instance, which runs in its own process.
    starts_first : bool
        Whether the measured instance starts before the second one.  The
        instance that starts first leads the shard.
    """
    standins_process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(BENCHMARKS_DIR / "bench_standins.py"),
        str(SERVER_COUNT),
        instances_json,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    measured = MeasuredInstance(
        addresses=json.loads(await standins_process.stdout.readline()),
        options=options or make_options("i0"),
    )
    second_process = None
    try:
        if second_options is not None and not starts_first:
            await measured.store_table(make_rows(measured))
            second_process = await _start_second_instance(
                measured, second_options
            )
            await asyncio.sleep(SETTLING_TIME_S)
        else:
            await measured.store_table(make_rows(measured))
        await measured.start()
        if second_options is not None and second_process is None:
            second_process = await _start_second_instance(
                measured, second_options
            )
            await asyncio.sleep(SETTLING_TIME_S)
        yield measured
    finally:
        await measured.stop()
        if second_process is not None:
            second_process.kill()
            await second_process.wait()
        standins_process.stdin.close()
        await standins_process.wait()


async def _start_second_instance(measured, options):
    """Start a second instance in its own process."""
    options = dataclasses.replace(
        options,
        table=measured.options.table,
        instances=measured.options.instances,
    )
    with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as file:
        file.write(_format_settings(options))
    command = "from tarragonhinge import cli; cli.main()"
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        command,
        "serve",
        f"--settings={file.name}",
        stderr=subprocess.DEVNULL,
    )
