"""Time until an edit is in force, and what following it costs.

Runs the real code on manual time and prints one line a case::

    python benchmarks/propagation.py
"""

import dataclasses

import msgspec

from tarragonhinge import base
from tarragonhinge import testing

INSTANCES = 12
EDITS = 50
PAUSE_MS = 3000
STEP_MS = 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Figures of one case."""

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


async def _time_edit(deployment, live):
    """Return how long one edit takes to be in force everywhere."""
    store = live[0].instance.store
    table = await store.load()
    row = msgspec.structs.replace(table.rows[0], queue=100 + table.version)
    result = await store.apply_edit([row], expected=table.version)
    clock = live[0].clock
    accepted_at = clock.now()
    while any(
        node.instance.view.current.version < result.version for node in live
    ):
        await deployment.wait(STEP_MS)
    return clock.now() - accepted_at


async def run_case(case: str) -> Result:
    """Make edits one after another and return what they took."""
    deployment = testing.Deployment(instances=INSTANCES)
    await deployment.start()
    live = list(deployment.nodes)
    if case == "half of the pollers lost":
        for node in _list_pollers(deployment)[::2]:
            await node.kill()
            live.remove(node)
    times_ms = []
    reads = deployment.table.read_count
    sent = deployment.network.bytes_sent.total()
    began_at = live[0].clock.now()
    for _ in range(EDITS):
        times_ms.append(await _time_edit(deployment, live))
        await deployment.wait(PAUSE_MS)
    seconds = (live[0].clock.now() - began_at) / base.MS_PER_S
    nodes = len(live)
    return Result(
        case=case,
        times_ms=sorted(times_ms),
        reads_per_s=(deployment.table.read_count - reads) / seconds / nodes,
        bytes_per_s=(deployment.network.bytes_sent.total() - sent)
        / seconds
        / nodes,
    )


def main():
    """Run all cases and print their figures."""
    for case in ("normal", "half of the pollers lost"):
        result = testing.run_manual(run_case(case))
        times_ms = result.times_ms
        print(
            f"{case}: {INSTANCES} instances, {EDITS} edits, in force after "
            f"p50 {times_ms[len(times_ms) // 2]} ms, "
            f"p99 {times_ms[int(len(times_ms) * 0.99)]} ms; "
            f"{result.reads_per_s:.2f} store reads/s and "
            f"{result.bytes_per_s:.0f} control bytes/s an instance"
        )


if __name__ == "__main__":
    main()
