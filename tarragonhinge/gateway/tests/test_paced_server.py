"""Whole gateways share out the first requests of a server that has started."""

import pytest

from tarragonhinge.balancing import _pace
from tarragonhinge.gateway.tests import replay
from tarragonhinge.testing import _clock

WORK_MS = 352
OBJECTIVE_MS = 1_084


def _play(*, instances, slowness, per_s, for_ms, warm_up_ms=3_000):
    fresh = replay.ReplayServer(
        "new",
        slots=6,
        queue=24,
        slowness=slowness,
        born_ms=_clock.WALL_ORIGIN_MS,
    )
    old = [
        replay.ReplayServer(f"old{number}", slots=6, queue=24)
        for number in range(3)
    ]
    route = replay.make_route("r", objective_ms=OBJECTIVE_MS, timeout_ms=8_604)
    run = replay.Replay(
        servers=[fresh, *old],
        routes=[route],
        instances=instances,
        warm_up_ms=warm_up_ms,
    )
    loads = {"r": {"per_s": per_s, "work_ms": WORK_MS, "deadline_ms": 8_604}}
    answers = run.run(loads, for_ms=for_ms)["r"]
    return fresh, answers


@pytest.mark.parametrize("slowness", [1.0, 3.0])
def test_burst_of_all_instances_does_not_fill_a_new_server(slowness):
    """Guards against first requests of 66 instances that arrive together."""
    fresh, _ = _play(instances=66, slowness=slowness, per_s=150, for_ms=700)
    assert fresh.most <= _pace.LATENCY_FACTOR * fresh.slots


@pytest.mark.parametrize("instances", [4, 66])
def test_new_server_carries_its_share(instances):
    """Guards against a server that stays idle while requests are refused."""
    fresh, answers = _play(
        instances=instances, slowness=1.0, per_s=48, for_ms=8_000
    )
    # A quarter of the load, but for 2 s at its start.
    assert len(fresh.started) >= 0.8 * 48 / 4 * (8 - 2)
    assert replay.compute_share(answers, within_ms=OBJECTIVE_MS) >= 0.9
