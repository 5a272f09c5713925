"""Costs of one more shard, server, partition, peer, request, edit or key.

Each is measured at four sizes on loopback, with everything but the
measured instance in other processes, and fitted by a straight line::

    python benchmarks/slopes.py

``docs/CAPACITY.md`` is worked out from these figures.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import tracemalloc

import fits
import msgspec
import uuid6

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import daemon
from tarragonhinge import demo
from tarragonhinge import dispatch
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge import propagation
from tarragonhinge import settings

REGION = base.RegionName("centro")
ZONE = base.ZoneName("centro-a")
SETTLE_S = 3.0
MEASURE_S = 4.0
SERVERS = 16
HERE = pathlib.Path(__file__).parent


def _make_options(name: str) -> settings.Settings:
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


def _make_entry(options: settings.Settings) -> membership.InstanceEntry:
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
async def _open_bench(
    rows, *, options=None, listed="[]", neighbour=None, leads=True
):
    """Start stand-ins and instances; `rows` takes the bench.

    The neighbour is a second instance in its own process; the shard is
    led by whichever starts first.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(HERE / "neighbours.py"),
        str(SERVERS),
        listed,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    bench = Bench(
        addresses=json.loads(await process.stdout.readline()),
        options=options or _make_options("i0"),
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


async def _measure_idle(sizes, make_rows):
    values = []
    for size in sizes:
        async with _open_bench(lambda b, n=size: make_rows(b, n)) as bench:
            values.append(await bench.measure_idle())
    return list(sizes), values


async def measure_shards() -> fits.Fit:
    """Return the cost of leading one more shard."""
    sizes, values = await _measure_idle(
        (1, 8, 24, 48),
        lambda b, n: [
            b.make_row(i, servers=1, partitions=16) for i in range(n)
        ],
    )
    return fits.Fit(
        name="shard led (1 server, 16 partitions)",
        unit="ms CPU/s",
        sizes=sizes,
        values=values,
    )


async def measure_servers() -> fits.Fit:
    """Return the cost of one more server of a shard."""
    sizes, values = await _measure_idle(
        (1, 4, 8, 16),
        lambda b, n: [b.make_row(0, servers=n, partitions=64)],
    )
    return fits.Fit(
        name="backend server of a shard",
        unit="ms CPU/s",
        sizes=sizes,
        values=values,
    )


async def measure_partitions() -> fits.Fit:
    """Return the cost of one more partition of a shard."""
    sizes, values = await _measure_idle(
        (64, 512, 2048, 4096),
        lambda b, n: [b.make_row(0, servers=8, partitions=n)],
    )
    return fits.Fit(
        name="partition of a shard (idle)",
        unit="ms CPU/s",
        sizes=sizes,
        values=values,
    )


async def measure_requests() -> tuple[fits.Fit, str]:
    """Return the cost of a request, entry and leader in one."""
    rates, values = (50, 100, 200, 400), []
    note = ""
    async with _open_bench(
        lambda b: [b.make_row(0, servers=8, partitions=64)]
    ) as bench:
        for rate in rates:
            cpu = time.process_time()
            output = await _run_callers(bench.options.callers, rate)
            spent = time.process_time() - cpu
            values.append(spent * base.MS_PER_S / MEASURE_S)
            note = f"at {rate}/s: {output}"
    fit = fits.Fit(
        name="request a second (entry and leader in one)",
        unit="ms CPU/s",
        sizes=list(rates),
        values=values,
    )
    return fit, note


async def _run_callers(address, rate) -> str:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(HERE / "callers.py"),
        f"http://{address}/service0",
        str(rate),
        str(MEASURE_S),
        stdout=subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return output.decode().strip()


async def measure_split(role: str) -> tuple[fits.Fit, str]:
    """Return the cost of a request to an entry or a leader alone.

    The other role is taken by a second instance in its own process.
    """
    other = _make_options("i1")
    first = _make_options("i0")
    listed = msgspec.json.encode(
        [_make_entry(options) for options in (first, other)]
    )
    async with _open_bench(
        lambda b: [b.make_row(0, servers=8, partitions=64)],
        options=first,
        listed=listed.decode(),
        neighbour=other,
        leads=role == "leader",
    ) as bench:
        target = first if role == "entry" else other
        rates, values = (50, 100, 200, 400), []
        for rate in rates:
            cpu = time.process_time()
            note = await _run_callers(target.callers, rate)
            spent = time.process_time() - cpu
            values.append(spent * base.MS_PER_S / MEASURE_S)
        assert bool(bench.instance.coordinator.leaders) == (role == "leader")
    fit = fits.Fit(
        name=f"request a second ({role} alone)",
        unit="ms CPU/s",
        sizes=list(rates),
        values=values,
    )
    return fit, f"{role} apart, at {rate}/s: {note}"


async def measure_reports() -> fits.Fit:
    """Return a poller's cost of one more report a second."""
    rates, values = (0, 50, 100, 200), []
    async with _open_bench(lambda b: []) as bench:
        for rate in rates:
            began, cpu = time.monotonic(), time.process_time()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(HERE / "reporters.py"),
                bench.options.peers,
                str(rate),
                str(MEASURE_S),
            )
            await process.wait()
            spent = time.process_time() - cpu
            seconds = time.monotonic() - began
            values.append(spent * base.MS_PER_S / seconds)
    return fits.Fit(
        name="report a second to a poller",
        unit="ms CPU/s",
        sizes=list(rates),
        values=values,
    )


def measure_edits() -> tuple[fits.Fit, fits.Fit]:
    """Return processor time and bytes of one more row in an edit."""
    sizes = (10, 100, 300, 1000)
    times_ms, lengths = [], []
    decoder = msgspec.json.Decoder(configuration.OperatorsTable)
    entry = configuration.ServerEntry(
        server="s", address="127.0.0.1:80", region=REGION, zone=ZONE
    )
    for size in sizes:
        rows = [
            configuration.ServiceRow(
                service=f"service{number}",
                homes=[REGION],
                servers=[entry] * 12,
            )
            for number in range(size)
        ]
        table = configuration.OperatorsTable(version=1, rows=rows)
        content = msgspec.json.encode(table)
        began = time.process_time()
        for _ in range(10):
            configuration.TableView().advance(decoder.decode(content))
        times_ms.append((time.process_time() - began) * 100)
        lengths.append(len(content))
    return (
        fits.Fit(
            name="row of a new version of the table",
            unit="ms CPU",
            sizes=list(sizes),
            values=times_ms,
        ),
        fits.Fit(
            name="row of the table (12 servers)",
            unit="bytes",
            sizes=list(sizes),
            values=lengths,
        ),
    )


async def measure_history() -> fits.Fit:
    """Return the memory of one more remembered key."""
    sizes, values = (1000, 4000, 16_000, 64_000), []
    for size in sizes:
        history = dispatch.RequestHistory(clock=base.Clock())
        tracemalloc.start()
        for _ in range(size):
            key = str(uuid6.uuid7())
            history.begin(key, 1)
            history.finish(key, base.Answered(status=201, body=b"x" * 100))
        values.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    return fits.Fit(
        name="remembered key (answer of 100 bytes)",
        unit="bytes",
        sizes=list(sizes),
        values=values,
    )


def measure_list() -> tuple[fits.Fit, fits.Fit]:
    """Return memory and bytes on the wire of one more instance listed."""
    sizes = (100, 400, 1400, 14_000)
    memory, wire = [], []
    for size in sizes:
        tracemalloc.start()
        entries = [
            membership.InstanceEntry(
                instance=base.InstanceId(f"entry-{number}"),
                address=base.Address(
                    f"10.0.{number // 250}.{number % 250}:80"
                ),
                region=REGION,
                zone=ZONE,
            )
            for number in range(size)
        ]
        view = membership.InstanceView()
        view.replace(entries)
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        wire.append(len(msgspec.msgpack.encode(entries)))
    return (
        fits.Fit(
            name="instance on the kept list",
            unit="bytes",
            sizes=list(sizes),
            values=memory,
        ),
        fits.Fit(
            name="instance on the wire",
            unit="bytes",
            sizes=list(sizes),
            values=wire,
        ),
    )


def measure_selection() -> fits.Fit:
    """Return a poller's time to select a region's list, for each instance."""
    sizes, values = (1000, 3000, 7000, 14_000), []
    for size in sizes:
        entries = [
            membership.InstanceEntry(
                instance=base.InstanceId(f"entry-{number}"),
                address=base.Address("10.0.0.1:80"),
                region=base.RegionName(f"r{number % 10}"),
                zone=base.ZoneName(f"r{number % 10}-{number % 3}"),
            )
            for number in range(size)
        ]
        began = time.process_time()
        propagation.select_entries(entries, base.RegionName("r0"))
        values.append((time.process_time() - began) * base.MS_PER_S)
    return fits.Fit(
        name="instance in a selection of the list",
        unit="ms CPU",
        sizes=list(sizes),
        values=values,
    )


async def run() -> None:
    """Measure everything and print a Markdown table."""
    print("| one more | costs | at zero | residual | points |")
    print("|---|---|---|---|---|")
    requests, note = await measure_requests()
    print(requests.format_row(), flush=True)
    notes = [note]
    for role in ("entry", "leader"):
        fit, note = await measure_split(role)
        print(fit.format_row(), flush=True)
        notes.append(note)
    for measure in (
        measure_shards,
        measure_servers,
        measure_partitions,
        measure_reports,
        measure_history,
    ):
        print((await measure()).format_row(), flush=True)
    for fit in (*measure_edits(), *measure_list(), measure_selection()):
        print(fit.format_row(), flush=True)
    print("\n" + "\n".join(f"latency seen by callers {n}" for n in notes))


if __name__ == "__main__":
    asyncio.run(run())
