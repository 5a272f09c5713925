"""Measures the time until an edit is in force and the control traffic.

Runs the router's code on manual time and prints one line per case::

    python benchmarks/propagation.py
"""

import dataclasses

import msgspec

from tarragonhinge import base
from tarragonhinge import testing

INSTANCE_COUNT = 12
EDIT_COUNT = 50
PAUSE_BETWEEN_EDITS_MS = 3000
POLL_INTERVAL_MS = 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Results of one case; the rates are per instance.

    Parameters
    ----------
    case : str
        Name of the case.
    times_ms : list of int
        Time until each edit was in force on all instances, in ascending order.
    reads_per_s : float
        Reads of the store per second and instance.
    bytes_per_s : float
        Bytes of messages sent per second and instance.
    """

    case: str
    times_ms: list[int]
    reads_per_s: float
    bytes_per_s: float


def _list_pollers(deployment):
    return [
        node
        for node in deployment.nodes
        if node.instance.propagator.election.is_poller()
    ]


async def _time_edit(deployment, live_nodes):
    """Return the time in ms until one edit is in force on all instances."""
    store = live_nodes[0].instance.store
    table = await store.load()
    row = msgspec.structs.replace(table.rows[0], queue=100 + table.version)
    result = await store.apply_edit([row], expected=table.version)
    clock = live_nodes[0].clock
    accepted_at = clock.now()
    while any(
        node.instance.view.current.version < result.version
        for node in live_nodes
    ):
        await deployment.wait(POLL_INTERVAL_MS)
    return clock.now() - accepted_at


async def run_case(case: str) -> Result:
    """Apply edits one after another and return their times and traffic."""
    deployment = testing.Deployment(instances=INSTANCE_COUNT)
    await deployment.start()
    live_nodes = list(deployment.nodes)
    if case == "half of the pollers lost":
        for node in _list_pollers(deployment)[::2]:
            await node.kill()
            live_nodes.remove(node)
    times_ms = []
    reads_before = deployment.table.read_count
    bytes_before = deployment.network.bytes_sent.total()
    started_at = live_nodes[0].clock.now()
    for _ in range(EDIT_COUNT):
        times_ms.append(await _time_edit(deployment, live_nodes))
        await deployment.wait(PAUSE_BETWEEN_EDITS_MS)
    seconds = (live_nodes[0].clock.now() - started_at) / base.MS_PER_S
    instance_count = len(live_nodes)
    return Result(
        case=case,
        times_ms=sorted(times_ms),
        reads_per_s=(deployment.table.read_count - reads_before)
        / seconds
        / instance_count,
        bytes_per_s=(deployment.network.bytes_sent.total() - bytes_before)
        / seconds
        / instance_count,
    )


def main():
    """Run all cases and print their results."""
    for case in ("normal", "half of the pollers lost"):
        result = testing.run_manual(run_case(case))
        times_ms = result.times_ms
        print(
            f"{case}: {INSTANCE_COUNT} instances, {EDIT_COUNT} edits, "
            f"in force after p50 {times_ms[len(times_ms) // 2]} ms, "
            f"p99 {times_ms[int(len(times_ms) * 0.99)]} ms; "
            f"{result.reads_per_s:.2f} store reads/s and "
            f"{result.bytes_per_s:.0f} control bytes/s an instance"
        )


if __name__ == "__main__":
    main()
