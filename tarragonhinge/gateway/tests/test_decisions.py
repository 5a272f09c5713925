"""Decisions on requests, each on the load pattern that it answers."""

import random

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.gateway import _admission
from tarragonhinge.gateway import _dialect
from tarragonhinge.gateway import _fleet_size
from tarragonhinge.gateway import _placement
from tarragonhinge.gateway import _repeats
from tarragonhinge.gateway import _server_load
from tarragonhinge.gateway import _splitter
from tarragonhinge import testing

_ZONE = _placement.Distance.ZONE
_REGION = _placement.Distance.REGION
_REMOTE = _placement.Distance.REMOTE


def _candidate(name, distance, wait_ms, **changes):
    options = {
        "server": base.ServerId(name),
        "distance": distance,
        "travel_ms": 42.0 if distance is _REMOTE else 2.0,
        "wait_ms": wait_ms,
        "service_ms": 200.0,
    }
    return _placement.Candidate(**{**options, **changes})


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        # The nearest of equals.
        ([("far", _REMOTE, 0), ("near", _ZONE, 0)], "near"),
        ([("b", _REGION, 0), ("a", _ZONE, 0)], "a"),
        # A short wait at home is cheaper than bytes between regions.
        ([("far", _REMOTE, 0), ("near", _ZONE, 250)], "near"),
        # A burst spills where the own region would miss the objective.
        ([("far", _REMOTE, 0), ("near", _ZONE, 650)], "far"),
        # What nobody answers in time is refused at once.
        ([("far", _REMOTE, 900), ("near", _ZONE, 900)], None),
        ([], None),
    ],
)
def test_place(candidates, expected):
    decision = _placement.place(
        [_candidate(*c) for c in candidates], objective_ms=800, limit_ms=800
    )
    if expected is None:
        assert isinstance(decision, _placement.Refusal)
    else:
        assert decision.server == expected


@pytest.mark.parametrize(
    ("wait_ms", "admits_idle", "is_sent"),
    [(0.0, True, True), (0.0, False, False), (50.0, True, False)],
)
def test_a_free_server_is_tried_whatever_its_estimate(
    wait_ms, admits_idle, is_sent
):
    """Refusals for an estimate alone once went on for ever."""
    decision = _placement.place(
        [_candidate("slow", _ZONE, wait_ms, service_ms=1_700.0)],
        objective_ms=800,
        limit_ms=800,
        admits_idle=admits_idle,
    )
    assert isinstance(decision, _placement.Choice) is is_sent


def test_a_server_that_fails_requests_looks_slow():
    decision = _placement.place(
        [
            _candidate("grey", _ZONE, 0, error_ratio=0.6),
            _candidate("good", _REGION, 100),
        ],
        objective_ms=800,
        limit_ms=800,
    )
    assert decision.server == "good"


@pytest.mark.parametrize("others", [[], [("b", _ZONE, 0)]])
def test_an_unreachable_server_is_left_out(others):
    decision = _placement.place(
        [
            _candidate("a", _ZONE, 0, is_paused=True),
            *(_candidate(*c) for c in others),
        ],
        objective_ms=800,
        limit_ms=800,
    )
    if others:
        assert decision.server == "b"
    else:
        assert decision.reason is _placement.RefusalReason.UNREACHABLE


@pytest.mark.parametrize(
    ("weights", "count"),
    [((90, 10), 100), ((1, 1, 1), 30), ((3, 0), 10), ((0.5, 1.5), 8)],
)
def test_targets_get_their_part_of_few_requests(weights, count):
    targets = [
        catalog.Target(service=base.ServiceName(f"t{n}"), weight=weight)
        for n, weight in enumerate(weights)
    ]
    splitter = _splitter.TargetSplitter()
    picked = [splitter.pick(targets) for _ in range(count)]
    for target in targets:
        part = target.weight / sum(weights)
        assert abs(picked.count(target.service) - part * count) <= 1


def _run(check):
    async def run():
        await check(testing.ManualClock())

    testing.run_manual(run())


def test_all_instances_together_keep_to_the_budget_of_repeats():
    """Callers that repeat at once and often find no more repeats."""

    async def check(clock):
        budgets = [
            _repeats.RepeatBudget(
                ratio=0.2, slack=64, window_ms=10_000, clock=clock
            )
            for _ in range(12)
        ]
        rng = random.Random(1)
        requests, taken = [], []
        for _ in range(6_000):
            await clock.sleep(5)
            budget = rng.choice(budgets[: 1 + rng.randrange(12)])
            budget.record_request()
            requests.append(clock.now())
            if budget.take(instances=12):
                taken.append(clock.now())
        for end in range(10_000, clock.now(), 500):
            window = range(end - 10_000, end)
            allowed = 0.2 * sum(t in window for t in requests) + 64
            assert sum(t in window for t in taken) <= allowed
        assert len(taken) > 300

    _run(check)


@pytest.mark.parametrize(
    ("sizes", "expected"),
    [
        # Until the first word of a coordinator, the share is small.
        ([], 64),
        ([(0, 1)], 1),
        ([(0, 12)], 12),
        # A new coordinator counts up from one.
        ([(13_000, 12), (1_000, 1), (1_000, 3)], 12),
        ([(13_000, 12), (1_000, 30)], 30),
        # Instances that left count until the window has passed.
        ([(13_000, 12), (1_000, 8), (13_000, 8)], 8),
    ],
)
def test_the_fleet_is_as_large_as_it_was_lately(sizes, expected):
    """A new coordinator's count once gave each the whole allowance."""

    async def check(clock):
        fleet = _fleet_size.FleetSize(clock=clock)
        for pause_ms, size in sizes:
            await clock.sleep(pause_ms)
            fleet.record(size)
        assert fleet.get() == expected

    _run(check)


def test_returns_are_told_from_new_requests():
    usual = _admission.UsualDeadline()
    assert [usual.is_return(d) for d in (5_000, 4_990, 4_000, 5_000)] == [
        False,
        False,
        True,
        False,
    ]


def test_times_to_come_back_are_spread():
    rng = random.Random(2)
    times = {
        _admission.compute_retry_ms(expected_ms=1_600, limit_ms=800, rng=rng)
        for _ in range(50)
    }
    assert min(times) >= 800
    assert max(times) <= 1_300
    assert len(times) > 30


def _load(clock, slots=2):
    return _server_load.ServerLoad(
        slots=slots, service_time=_server_load.ServiceTime(), clock=clock
    )


def _report(running, waiting):
    return _dialect.ReportedLoad(running=running, waiting=waiting, slots=2)


def test_load_of_others_is_learnt_and_fades_to_its_mean():
    async def check(clock):
        load = _load(clock)
        assert load.estimate_others() == 0
        load.record_answer(latency_ms=200, load=_report(2, 8), failed=False)
        assert load.estimate_others() == 10
        assert load.estimate_wait_ms() > 800
        for _ in range(30):
            load.record_answer(
                latency_ms=200, load=_report(1, 0), failed=False
            )
        load.record_seen(9)
        await clock.sleep(5_000)
        assert load.estimate_others() < 3

    _run(check)


def test_a_server_that_nobody_reports_on_is_taken_to_be_idle():
    async def check(clock):
        load = _load(clock)
        for _ in range(30):
            load.record_seen(10)
        await clock.sleep(1_000)
        assert load.estimate_wait_ms() > 0
        await clock.sleep(10_000)
        assert load.estimate_wait_ms() <= 0

    _run(check)


def test_a_holder_that_nobody_has_heard_of_is_not_flooded():
    """Nine instances once sent 22 requests to a server that took ten.

    Each request takes 150 ms, all come within the first 100 ms, before
    any answer, and the objective is 600 ms.
    """

    async def check(clock):
        loads = [
            _server_load.ServerLoad(
                slots=2,
                service_time=_server_load.ServiceTime(),
                clock=clock,
                get_sharers=lambda: 9,
            )
            for _ in range(9)
        ]
        rng = random.Random(3)
        for _ in range(100):
            await clock.sleep(1)
            load = rng.choice(loads)
            candidate = _candidate("s", _ZONE, load.estimate_wait_ms())
            decision = _placement.place(
                [candidate], objective_ms=600, limit_ms=600
            )
            if isinstance(decision, _placement.Choice):
                load.in_flight += 1
        # Two slots and a queue of eight.
        assert 5 <= sum(load.in_flight for load in loads) <= 10

    _run(check)


def test_only_news_about_a_busy_server_is_told():
    async def check(clock):
        load = _load(clock)
        load.record_answer(latency_ms=200, load=_report(2, 4), failed=False)
        assert load.take_seen() == 6
        assert load.take_seen() is None
        load.record_answer(latency_ms=200, load=_report(2, 4), failed=False)
        assert load.take_seen() is None
        load.record_answer(latency_ms=200, load=_report(0, 0), failed=False)
        assert load.take_seen() == 0

    _run(check)


def test_a_slow_server_is_told_from_a_queue():
    async def check(clock):
        times = _server_load.ServiceTime()
        fast, slow = (
            _server_load.ServerLoad(slots=2, service_time=times, clock=clock)
            for _ in range(2)
        )
        for _ in range(40):
            fast.record_answer(
                latency_ms=100, load=_report(1, 0), failed=False
            )
            slow.record_answer(
                latency_ms=500, load=_report(1, 0), failed=False
            )
            fast.record_answer(
                latency_ms=900, load=_report(2, 7), failed=False
            )
        assert fast.estimate_service_ms() < 200
        assert slow.estimate_service_ms() > 350

    _run(check)


def test_pauses_grow_with_failures_and_end_with_an_answer():
    async def check(clock):
        load = _load(clock)
        pauses = []
        for _ in range(6):
            load.record_unreachable()
            pauses.append(load.get_pause_ms())
        assert pauses == [400, 800, 1_600, 3_200, 4_000, 4_000]
        assert load.is_paused()
        load.record_answer(latency_ms=100, load=None, failed=False)
        assert not load.is_paused()

    _run(check)
