"""Planners, and the loads, sketches and weights that they use."""

import random

import pytest

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge.shards import _loads
from tarragonhinge.shards import _ramp
from tarragonhinge.shards import _sketch
from tarragonhinge import testing

WEIGHTS = {base.ServerId(f"s{number}"): 1.0 for number in range(4)}
NAMES = sorted(WEIGHTS)


def _make_planner(name, churn_weight=0.5):
    return shards.PLANNERS.find(name)(churn_weight=churn_weight)


def _spread_evenly(partitions):
    return {
        base.PartitionId(number): NAMES[number % len(NAMES)]
        for number in range(partitions)
    }


def _compute_imbalance(owners, loads, weights):
    levels = dict.fromkeys(weights, 0.0)
    for partition, server in owners.items():
        levels[server] += loads.get(partition, 0.0) / weights[server]
    mean = sum(loads.values()) / sum(weights.values())
    return max(levels.values()) / mean - 1


@pytest.mark.parametrize("name", shards.PLANNERS.names())
def test_every_partition_is_placed_on_a_usable_server(name):
    owners = _spread_evenly(64)
    lost = [p for p, s in owners.items() if s == "s0"]
    usable = {n: w for n, w in WEIGHTS.items() if n != "s0"}
    chosen = _make_planner(name).place(
        lost, owners=owners, loads={}, weights=usable
    )
    assert sorted(chosen) == lost
    assert set(chosen.values()) == set(usable)


@pytest.mark.parametrize("name", shards.PLANNERS.names())
@pytest.mark.parametrize("limit", [1, 5])
def test_moves_are_limited(name, limit):
    owners = dict.fromkeys(_spread_evenly(64), NAMES[0])
    chosen = _make_planner(name).rebalance(
        owners=owners,
        loads=dict.fromkeys(owners, 1.0),
        weights=WEIGHTS,
        limit=limit,
    )
    assert len(chosen) == limit


@pytest.mark.parametrize("name", ["balanced", "weighed"])
def test_weights_are_respected(name):
    weights = {NAMES[0]: 3.0, NAMES[1]: 1.0}
    partitions = sorted(_spread_evenly(64))
    chosen = _make_planner(name).place(
        partitions, owners={}, loads={}, weights=weights
    )
    assert list(chosen.values()).count(NAMES[0]) == 48


@pytest.mark.parametrize(
    ("churn_weight", "moves"), [(0.0, True), (0.5, True), (4.0, False)]
)
def test_a_move_must_be_worth_its_churn(churn_weight, moves):
    owners = _spread_evenly(64)
    loads = {p: 3.0 if s == "s0" else 1.0 for p, s in owners.items()}
    chosen = _make_planner("weighed", churn_weight).rebalance(
        owners=owners, loads=loads, weights=WEIGHTS, limit=64
    )
    assert bool(chosen) is moves
    owners.update(chosen)
    imbalance = _compute_imbalance(owners, loads, WEIGHTS)
    assert (imbalance <= 0.2) is moves


def test_other_partitions_leave_the_server_of_a_hot_one():
    owners = _spread_evenly(64)
    loads = dict.fromkeys(owners, 1.0)
    loads[base.PartitionId(0)] = 12.0
    chosen = _make_planner("weighed").rebalance(
        owners=owners, loads=loads, weights=WEIGHTS, limit=64
    )
    owners.update(chosen)
    assert owners[0] == "s0"
    assert _compute_imbalance(owners, loads, WEIGHTS) <= 0.2


def test_load_noise_causes_no_moves():
    rng = random.Random(0)
    planner = _make_planner("weighed")
    owners = _spread_evenly(64)
    moved = 0
    for _ in range(300):
        loads = {p: rng.uniform(0.7, 1.3) for p in owners}
        chosen = planner.rebalance(
            owners=owners, loads=loads, weights=WEIGHTS, limit=4
        )
        owners.update(chosen)
        moved += len(chosen)
    assert moved == 0


def test_the_sketch_finds_every_frequent_key():
    rng = random.Random(0)
    sketch = _sketch.SpaceSavingSketch(capacity=64)
    keys = [rng.randrange(10**9) for _ in range(20_000)]
    keys += [1] * 1000 + [2] * 500
    rng.shuffle(keys)
    for key in keys:
        sketch.add(key)
    assert len(sketch) == 64
    assert set(sketch.list_keys()[:2]) == {1, 2}
    assert 1000 - len(keys) / 64 <= sketch.get_min_count(1) <= 1000
    sketch.halve()
    assert sketch.get_min_count(1) <= 500


def test_loads_decay_and_are_dropped():
    async def scenario():
        clock = testing.ManualClock()
        loads = _loads.LoadCounter(clock=clock)
        loads.add(base.PartitionId(1), 8)
        await clock.sleep(_loads.HALF_LIFE_MS)
        assert loads.collect() == {1: 4.0}
        await clock.sleep(10 * _loads.HALF_LIFE_MS)
        assert loads.collect() == {}
        assert len(loads) == 0

    testing.run_manual(scenario())


def test_a_returning_server_starts_with_a_small_weight():
    async def scenario():
        clock = testing.ManualClock()
        ramp = _ramp.ServerRamp(clock=clock)
        ramp.mark_warm(NAMES)
        assert ramp.scale(WEIGHTS) == WEIGHTS
        ramp.scale(dict.fromkeys(NAMES[1:], 1.0))
        assert ramp.scale(WEIGHTS)["s0"] == _ramp.INITIAL_WEIGHT_RATIO
        await clock.sleep(_ramp.RAMP_MS // 2)
        assert 0.5 <= ramp.scale(WEIGHTS)["s0"] <= 0.6
        await clock.sleep(_ramp.RAMP_MS)
        assert ramp.scale(WEIGHTS) == WEIGHTS

    testing.run_manual(scenario())
