"""An instance beside stand-ins in other processes, to be measured."""

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
SETTLE_S = 3.0
MEASURE_S = 4.0
SERVERS = 16
HERE = pathlib.Path(__file__).parent


def make_options(name: str) -> settings.Settings:
    """Return settings on free addresses, without the platform's."""
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
    """Return the entry of an instance on the platform's list."""
    return membership.InstanceEntry(
        instance=options.name,
        address=options.peers,
        region=options.region,
        zone=options.zone,
    )


def _format_settings(options: settings.Settings) -> str:
    """Return a settings file for an instance in its own process."""
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


class Bench:
    """One instance beside stand-ins in another process."""

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
        """Return a row on the first of the stand-in servers."""
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

    async def store(self, rows: list[configuration.ServiceRow]) -> None:
        """Store a table."""
        await self.instance.store.apply_edit(
            rows, expected=base.TableVersion(0)
        )

    async def start(self) -> None:
        """Start the instance and let it settle."""
        if not self.instance.instances.list_all():
            self.instance.instances.replace([self.instance.me])
        await self.instance.start()
        await self.listeners.start()
        await asyncio.sleep(SETTLE_S)

    async def measure_idle(self) -> float:
        """Return milliseconds of processor time for each second."""
        began, cpu = time.monotonic(), time.process_time()
        await asyncio.sleep(MEASURE_S)
        spent = time.process_time() - cpu
        return spent * base.MS_PER_S / (time.monotonic() - began)

    async def stop(self) -> None:
        """Stop the instance."""
        await self.instance.kill()
        await self.listeners.stop()


@contextlib.asynccontextmanager
async def open_bench(
    rows, *, options=None, listed="[]", neighbour=None, leads=True
):
    """Start stand-ins and instances; `rows` takes the bench.

    The neighbour is a second instance in its own process; the shard is
    led by whichever starts first.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(HERE / "bench_standins.py"),
        str(SERVERS),
        listed,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    bench = Bench(
        addresses=json.loads(await process.stdout.readline()),
        options=options or make_options("i0"),
    )
    other = None
    try:
        if neighbour is not None and not leads:
            await bench.store(rows(bench))
            other = await _start_neighbour(bench, neighbour)
            await asyncio.sleep(SETTLE_S)
        else:
            await bench.store(rows(bench))
        await bench.start()
        if neighbour is not None and other is None:
            other = await _start_neighbour(bench, neighbour)
            await asyncio.sleep(SETTLE_S)
        yield bench
    finally:
        await bench.stop()
        if other is not None:
            other.kill()
            await other.wait()
        process.stdin.close()
        await process.wait()


async def _start_neighbour(bench, options):
    """Start a second instance in its own process."""
    options = dataclasses.replace(
        options, table=bench.options.table, instances=bench.options.instances
    )
    with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as file:
        file.write(_format_settings(options))
    code = "from tarragonhinge import cli; cli.main()"
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        code,
        "serve",
        f"--settings={file.name}",
        stderr=subprocess.DEVNULL,
    )
