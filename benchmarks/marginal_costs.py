"""Measures the cost of one more shard, server, partition, request or key.

Each cost is measured at four sizes on loopback and fitted with a straight
line.  All processes but the measured instance run separately, so only its own
processor time is counted::

    python benchmarks/marginal_costs.py

The estimates in ``docs/CAPACITY.md`` are based on these figures.
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
        async with bench_instance.start_measured_instance(
            lambda instance, n=size: make_rows(instance, n)
        ) as measured:
            values.append(await measured.measure_idle())
    return list(sizes), values


async def measure_shards() -> linear_fit.LinearFit:
    """Return the cost of leading one more shard."""
    sizes, values = await _measure_idle(
        (1, 8, 24, 48),
        lambda instance, n: [
            instance.make_row(i, servers=1, partitions=16) for i in range(n)
        ],
    )
    return linear_fit.LinearFit(
        name="shard led (1 server, 16 partitions)",
        unit="ms CPU/s",
        sizes=sizes,
        values=values,
    )


async def measure_servers() -> linear_fit.LinearFit:
    """Return the cost of one more server of a shard."""
    sizes, values = await _measure_idle(
        (1, 4, 8, 16),
        lambda instance, n: [instance.make_row(0, servers=n, partitions=64)],
    )
    return linear_fit.LinearFit(
        name="backend server of a shard",
        unit="ms CPU/s",
        sizes=sizes,
        values=values,
    )


async def measure_partitions() -> linear_fit.LinearFit:
    """Return the cost of one more partition of a shard."""
    sizes, values = await _measure_idle(
        (64, 512, 2048, 4096),
        lambda instance, n: [instance.make_row(0, servers=8, partitions=n)],
    )
    return linear_fit.LinearFit(
        name="partition of a shard (idle)",
        unit="ms CPU/s",
        sizes=sizes,
        values=values,
    )


async def measure_requests() -> tuple[linear_fit.LinearFit, str]:
    """Return the cost of a request to an instance that is entry and leader."""
    rates, values = (50, 100, 200, 400), []
    latency = ""
    async with bench_instance.start_measured_instance(
        lambda instance: [instance.make_row(0, servers=8, partitions=64)]
    ) as measured:
        for rate in rates:
            cpu_started = time.process_time()
            output = await _run_callers(measured.options.callers, rate)
            used_s = time.process_time() - cpu_started
            values.append(
                used_s * base.MS_PER_S / bench_instance.MEASURING_TIME_S
            )
            latency = f"at {rate}/s: {output}"
    fit = linear_fit.LinearFit(
        name="request a second (entry and leader in one)",
        unit="ms CPU/s",
        sizes=list(rates),
        values=values,
    )
    return fit, latency


async def _run_callers(address, rate) -> str:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(bench_instance.BENCHMARKS_DIR / "bench_callers.py"),
        f"http://{address}/service0",
        str(rate),
        str(bench_instance.MEASURING_TIME_S),
        stdout=subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return output.decode().strip()


async def measure_single_role(role: str) -> tuple[linear_fit.LinearFit, str]:
    """Return the cost of a request to an instance with only one role.

    A second instance, in its own process, has the other role.

    Parameters
    ----------
    role : {"entry", "leader"}
        Role of the measured instance.
    """
    second_options = bench_instance.make_options("i1")
    measured_options = bench_instance.make_options("i0")
    instances_json = msgspec.json.encode(
        [
            bench_instance.make_entry(options)
            for options in (measured_options, second_options)
        ]
    )
    async with bench_instance.start_measured_instance(
        lambda instance: [instance.make_row(0, servers=8, partitions=64)],
        options=measured_options,
        instances_json=instances_json.decode(),
        second_options=second_options,
        starts_first=role == "leader",
    ) as measured:
        target = measured_options if role == "entry" else second_options
        rates, values = (50, 100, 200, 400), []
        for rate in rates:
            cpu_started = time.process_time()
            latency = await _run_callers(target.callers, rate)
            used_s = time.process_time() - cpu_started
            values.append(
                used_s * base.MS_PER_S / bench_instance.MEASURING_TIME_S
            )
        assert bool(measured.instance.coordinator.leaders) == (
            role == "leader"
        )
    fit = linear_fit.LinearFit(
        name=f"request a second ({role} alone)",
        unit="ms CPU/s",
        sizes=list(rates),
        values=values,
    )
    return fit, f"{role} apart, at {rate}/s: {latency}"


async def measure_reports() -> linear_fit.LinearFit:
    """Return a poller's cost of one more report per second."""
    rates, values = (0, 50, 100, 200), []
    async with bench_instance.start_measured_instance(
        lambda instance: []
    ) as measured:
        for rate in rates:
            started, cpu_started = time.monotonic(), time.process_time()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(bench_instance.BENCHMARKS_DIR / "bench_reporters.py"),
                measured.options.peers,
                str(rate),
                str(bench_instance.MEASURING_TIME_S),
            )
            await process.wait()
            used_s = time.process_time() - cpu_started
            seconds = time.monotonic() - started
            values.append(used_s * base.MS_PER_S / seconds)
    return linear_fit.LinearFit(
        name="report a second to a poller",
        unit="ms CPU/s",
        sizes=list(rates),
        values=values,
    )


def measure_edits() -> tuple[linear_fit.LinearFit, linear_fit.LinearFit]:
    """Return the processor time and bytes of one more row of the table."""
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
        encoded_table = msgspec.json.encode(table)
        started = time.process_time()
        for _ in range(10):
            configuration.TableView().advance(decoder.decode(encoded_table))
        # Mean of the ten repetitions, converted to milliseconds.
        times_ms.append((time.process_time() - started) * 100)
        lengths.append(len(encoded_table))
    return (
        linear_fit.LinearFit(
            name="row of a new version of the table",
            unit="ms CPU",
            sizes=list(sizes),
            values=times_ms,
        ),
        linear_fit.LinearFit(
            name="row of the table (12 servers)",
            unit="bytes",
            sizes=list(sizes),
            values=lengths,
        ),
    )


async def measure_history() -> linear_fit.LinearFit:
    """Return the memory of one more recorded key."""
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
    return linear_fit.LinearFit(
        name="remembered key (answer of 100 bytes)",
        unit="bytes",
        sizes=list(sizes),
        values=values,
    )


def measure_list() -> tuple[linear_fit.LinearFit, linear_fit.LinearFit]:
    """Return the memory and encoded bytes of one more listed instance."""
    sizes = (100, 400, 1400, 14_000)
    memory_bytes, wire_bytes = [], []
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
        memory_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        wire_bytes.append(len(msgspec.msgpack.encode(entries)))
    return (
        linear_fit.LinearFit(
            name="instance on the kept list",
            unit="bytes",
            sizes=list(sizes),
            values=memory_bytes,
        ),
        linear_fit.LinearFit(
            name="instance on the wire",
            unit="bytes",
            sizes=list(sizes),
            values=wire_bytes,
        ),
    )


def measure_selection() -> linear_fit.LinearFit:
    """Return a poller's cost of one more instance when it selects a list."""
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
        started = time.process_time()
        propagation.select_entries(entries, base.RegionName("r0"))
        values.append((time.process_time() - started) * base.MS_PER_S)
    return linear_fit.LinearFit(
        name="instance in a selection of the list",
        unit="ms CPU",
        sizes=list(sizes),
        values=values,
    )


async def run() -> None:
    """Measure all costs and print them as a Markdown table."""
    print("| one more | costs | at zero | residual | points |")
    print("|---|---|---|---|---|")
    requests, latency = await measure_requests()
    print(requests.format_row(), flush=True)
    latencies = [latency]
    for role in ("entry", "leader"):
        fit, latency = await measure_single_role(role)
        print(fit.format_row(), flush=True)
        latencies.append(latency)
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
    print("\n" + "\n".join(f"latency seen by callers {n}" for n in latencies))


if __name__ == "__main__":
    asyncio.run(run())
