"""Plans for hot keys, idle servers and balanced load."""

import random

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import ranges
from tarragonhinge.ranges import _planner

SERVERS = 16


def _make_balance(rates, requests_per_s=None, held=None, slots=2):
    names = [base.ServerId(f"s{n}") for n in range(SERVERS)]
    capacities = [
        ranges.Capacity(
            server=name,
            requests_per_s=(requests_per_s or {}).get(name, 10.0),
            slots=slots,
        )
        for name in names
    ]
    even = [ranges.Capacity(server=name, requests_per_s=1.0) for name in names]
    owners = catalog.OwnerMap(
        segments=[
            catalog.Segment(
                first=first, last=last, server=server, born_ms=1, fence=1
            )
            for first, last, server in held or ranges.divide_evenly(even)
        ]
    )
    return ranges.Balance(
        owners=owners,
        profile=ranges.LoadProfile(rates=rates),
        capacities=capacities,
    )


def _spread_evenly(total, keys):
    return {key: total / len(keys) for key in keys}


def _get_max_utilization(balance):
    return max(balance.get_utilization(server) for server in balance.capacity)


def _make_clustered_rates(total, *, seed):
    """Return rates with 40 % of the requests on a cluster of keys."""
    rng = random.Random(seed)
    keys = [49_300 + rng.randrange(1_100) for _ in range(200)]
    rates = _spread_evenly(0.6 * total, rng.sample(range(65_536), 500))
    for key, rate in _spread_evenly(0.4 * total, sorted(set(keys))).items():
        rates[key] = rates.get(key, 0.0) + rate
    return rates


@pytest.mark.parametrize("seed", range(5))
def test_cluster_of_hot_keys_is_spread(seed):
    balance = _make_balance(_make_clustered_rates(60.0, seed=seed))
    assert _get_max_utilization(balance) > 2
    moves = ranges.plan_moves(balance)
    ranges.plan_moves(balance)
    assert _get_max_utilization(balance) < 0.75
    moved_keys = sum(m.last - m.first + 1 for m in moves)
    assert moved_keys < catalog.KEY_COUNT / 20


def test_nothing_moves_without_imbalance():
    rng = random.Random(3)
    rates = _spread_evenly(60.0, rng.sample(range(65_536), 2_000))
    assert ranges.plan_moves(_make_balance(rates)) == []


def test_nothing_moves_while_no_server_is_busy():
    balance = _make_balance(_make_clustered_rates(10.0, seed=1))
    assert ranges.plan_moves(balance) == []


@pytest.mark.parametrize(
    ("slots", "demand", "moves"),
    [(2, 3.5, False), (2, 5.5, True), (6, 5.5, False), (6, 8.0, True)],
)
def test_keys_stay_while_no_request_waits_for_long(slots, demand, moves):
    """While they move, their requests wait for longer than for a slot."""
    rates = _spread_evenly(20.0, list(range(0, 65_536, 100)))
    for key in range(28_150, 28_190):
        rates[key] = rates.get(key, 0.0) + demand / 40
    balance = _make_balance(rates, slots=slots)
    assert bool(ranges.plan_moves(balance)) == moves


@pytest.mark.parametrize("idle_rate", [0.3, 2.0])
def test_an_underused_server_gets_keys_before_requests_wait(idle_rate):
    """A server that has become warm again was left with few keys."""
    rates = _spread_evenly(96.0, list(range(4_096, 65_536, 100)))
    for key in range(10_000, 10_020):
        rates[key] = rates.get(key, 0.0) + 0.05
    rates[5] = idle_rate
    balance = _make_balance(rates, slots=6)
    is_underused = (
        balance.get_utilization("s0")
        < _planner.UNDERUSED_RATIO * balance.get_mean_utilization()
    )
    assert bool(ranges.plan_moves(balance)) == is_underused


def test_a_saturating_key_does_not_hide_other_busy_servers():
    rates = _make_clustered_rates(40.0, seed=2)
    rates[28_148] = 25.0
    balance = _make_balance(rates)
    sources = {move.source for move in ranges.plan_moves(balance)}
    assert {"s6", "s12"} <= sources


def test_a_saturating_key_is_isolated_on_a_fast_server():
    rates = _spread_evenly(30.0, list(range(0, 65_536, 300)))
    rates[28_148] = 25.0
    balance = _make_balance(rates, requests_per_s={"s3": 14.0})
    for _ in range(4):
        ranges.plan_moves(balance)
    holder = next(
        server
        for server, held in balance.ranges_by_server.items()
        if any(first <= 28_148 <= last for first, last in held)
    )
    assert holder == "s3"
    other_demand = balance.demand[holder] - 25.0
    assert other_demand < 3.0


def test_a_server_without_keys_gets_its_share():
    names = [f"s{n}" for n in range(SERVERS - 1)]
    even = [ranges.Capacity(server=name, requests_per_s=1.0) for name in names]
    balance = _make_balance(
        _spread_evenly(40.0, list(range(0, 65_536, 100))),
        held=ranges.divide_evenly(even),
    )
    ranges.plan_moves(balance)
    assert balance.demand["s15"] > 0.5 * 40 / SERVERS


def test_keys_move_at_most_once_per_plan():
    balance = _make_balance(_make_clustered_rates(60.0, seed=4))
    moves = ranges.plan_moves(balance)
    targets = [(m.target, m.first) for m in moves]
    assert not [m for m in moves if (m.source, m.first) in targets]


@pytest.mark.parametrize("pieces", [1, 2, 3, 5])
def test_divide_by_load(pieces):
    profile = ranges.LoadProfile(
        rates=_spread_evenly(50.0, list(range(100, 200)))
    )
    parts = _planner.divide_by_load(0, 999, profile, pieces=pieces)
    assert parts[0][0] == 0
    assert parts[-1][1] == 999
    assert all(
        a[1] + 1 == b[0] for a, b in zip(parts, parts[1:], strict=False)
    )
    loads = [profile.sum_range(*part) for part in parts]
    assert max(loads) < 1.3 * sum(loads) / len(loads)
