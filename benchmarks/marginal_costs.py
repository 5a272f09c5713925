"""Costs of one more shard, server, partition, peer, request, edit or key.

Each is measured at four sizes on loopback, with everything but the
measured instance in other processes, and fitted by a straight line::

    python benchmarks/marginal_costs.py

``docs/CAPACITY.md`` is worked out from these figures.
"""

import asyncio
import subprocess
import sys
import time
import tracemalloc

import bench_instance
import linear_fit
import msgspec
import uuid6

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import dispatch
from tarragonhinge import membership
from tarragonhinge import propagation


async def _measure_idle(sizes, make_rows):
    values = []
    for size in sizes:
        async with bench_instance.open_bench(
            lambda b, n=size: make_rows(b, n)
        ) as bench:
            values.append(await bench.measure_idle())
    return list(sizes), values


async def measure_shards() -> linear_fit.Fit:
    """Return the cost of leading one more shard."""
    sizes, values = await _measure_idle(
        (1, 8, 24, 48),
        lambda b, n: [
            b.make_row(i, servers=1, partitions=16) for i in range(n)
        ],
    )
    return linear_fit.Fit(
        name="shard led (1 server, 16 partitions)",
        unit="ms CPU/s",
        sizes=sizes,
        values=values,
    )


async def measure_servers() -> linear_fit.Fit:
    """Return the cost of one more server of a shard."""
    sizes, values = await _measure_idle(
        (1, 4, 8, 16),
        lambda b, n: [b.make_row(0, servers=n, partitions=64)],
    )
    return linear_fit.Fit(
        name="backend server of a shard",
        unit="ms CPU/s",
        sizes=sizes,
        values=values,
    )


async def measure_partitions() -> linear_fit.Fit:
    """Return the cost of one more partition of a shard."""
    sizes, values = await _measure_idle(
        (64, 512, 2048, 4096),
        lambda b, n: [b.make_row(0, servers=8, partitions=n)],
    )
    return linear_fit.Fit(
        name="partition of a shard (idle)",
        unit="ms CPU/s",
        sizes=sizes,
        values=values,
    )


async def measure_requests() -> tuple[linear_fit.Fit, str]:
    """Return the cost of a request, entry and leader in one."""
    rates, values = (50, 100, 200, 400), []
    note = ""
    async with bench_instance.open_bench(
        lambda b: [b.make_row(0, servers=8, partitions=64)]
    ) as bench:
        for rate in rates:
            cpu = time.process_time()
            output = await _run_callers(bench.options.callers, rate)
            spent = time.process_time() - cpu
            values.append(spent * base.MS_PER_S / bench_instance.MEASURE_S)
            note = f"at {rate}/s: {output}"
    fit = linear_fit.Fit(
        name="request a second (entry and leader in one)",
        unit="ms CPU/s",
        sizes=list(rates),
        values=values,
    )
    return fit, note


async def _run_callers(address, rate) -> str:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(bench_instance.HERE / "bench_callers.py"),
        f"http://{address}/service0",
        str(rate),
        str(bench_instance.MEASURE_S),
        stdout=subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return output.decode().strip()


async def measure_split(role: str) -> tuple[linear_fit.Fit, str]:
    """Return the cost of a request to an entry or a leader alone.

    The other role is taken by a second instance in its own process.
    """
    other = bench_instance.make_options("i1")
    first = bench_instance.make_options("i0")
    listed = msgspec.json.encode(
        [bench_instance.make_entry(options) for options in (first, other)]
    )
    async with bench_instance.open_bench(
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
            values.append(spent * base.MS_PER_S / bench_instance.MEASURE_S)
        assert bool(bench.instance.coordinator.leaders) == (role == "leader")
    fit = linear_fit.Fit(
        name=f"request a second ({role} alone)",
        unit="ms CPU/s",
        sizes=list(rates),
        values=values,
    )
    return fit, f"{role} apart, at {rate}/s: {note}"


async def measure_reports() -> linear_fit.Fit:
    """Return a poller's cost of one more report a second."""
    rates, values = (0, 50, 100, 200), []
    async with bench_instance.open_bench(lambda b: []) as bench:
        for rate in rates:
            began, cpu = time.monotonic(), time.process_time()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(bench_instance.HERE / "bench_reporters.py"),
                bench.options.peers,
                str(rate),
                str(bench_instance.MEASURE_S),
            )
            await process.wait()
            spent = time.process_time() - cpu
            seconds = time.monotonic() - began
            values.append(spent * base.MS_PER_S / seconds)
    return linear_fit.Fit(
        name="report a second to a poller",
        unit="ms CPU/s",
        sizes=list(rates),
        values=values,
    )


def measure_edits() -> tuple[linear_fit.Fit, linear_fit.Fit]:
    """Return processor time and bytes of one more row in an edit."""
    sizes = (10, 100, 300, 1000)
    times_ms, lengths = [], []
    decoder = msgspec.json.Decoder(configuration.OperatorsTable)
    entry = configuration.ServerEntry(
        server="s",
        address="127.0.0.1:80",
        region=bench_instance.REGION,
        zone=bench_instance.ZONE,
    )
    for size in sizes:
        rows = [
            configuration.ServiceRow(
                service=f"service{number}",
                homes=[bench_instance.REGION],
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
        linear_fit.Fit(
            name="row of a new version of the table",
            unit="ms CPU",
            sizes=list(sizes),
            values=times_ms,
        ),
        linear_fit.Fit(
            name="row of the table (12 servers)",
            unit="bytes",
            sizes=list(sizes),
            values=lengths,
        ),
    )


async def measure_history() -> linear_fit.Fit:
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
    return linear_fit.Fit(
        name="remembered key (answer of 100 bytes)",
        unit="bytes",
        sizes=list(sizes),
        values=values,
    )


def measure_list() -> tuple[linear_fit.Fit, linear_fit.Fit]:
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
                region=bench_instance.REGION,
                zone=bench_instance.ZONE,
            )
            for number in range(size)
        ]
        view = membership.InstanceView()
        view.replace(entries)
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        wire.append(len(msgspec.msgpack.encode(entries)))
    return (
        linear_fit.Fit(
            name="instance on the kept list",
            unit="bytes",
            sizes=list(sizes),
            values=memory,
        ),
        linear_fit.Fit(
            name="instance on the wire",
            unit="bytes",
            sizes=list(sizes),
            values=wire,
        ),
    )


def measure_selection() -> linear_fit.Fit:
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
    return linear_fit.Fit(
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
