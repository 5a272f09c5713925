"""Tests of placement, admission, retry budget and load estimates."""

import random

import pytest

from tarragonhinge.balancing import _admission
from tarragonhinge.balancing import _fleet_size
from tarragonhinge.balancing import _placement
from tarragonhinge.balancing import _route_sizes
from tarragonhinge.balancing import _server_load
from tarragonhinge.balancing import _server_waits
from tarragonhinge.balancing import _splitter
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.gateway import _retry_budget
from tarragonhinge.jobs import _dialect
from tarragonhinge import testing

_ZONE = _placement.Distance.ZONE
_REGION = _placement.Distance.REGION
_REMOTE = _placement.Distance.REMOTE


def _candidate(name, distance, wait_ms, **changes):
    options = {
        "server": base.ServerId(name),
        "distance": distance,
        "round_trip_ms": 42.0 if distance is _REMOTE else 2.0,
        "wait_ms": wait_ms,
        "service_ms": 200.0,
    }
    return _placement.Candidate(**{**options, **changes})


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        # The nearest of two equal servers.
        ([("far", _REMOTE, 0), ("near", _ZONE, 0)], "near"),
        ([("b", _REGION, 0), ("a", _ZONE, 0)], "a"),
        # A short wait costs less than traffic between regions.
        ([("far", _REMOTE, 0), ("near", _ZONE, 250)], "near"),
        # A burst spills over if the local region would miss the objective.
        ([("far", _REMOTE, 0), ("near", _ZONE, 650)], "far"),
        # A request that no server can complete in time is refused.
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
    ("traffic_bytes", "distance", "wait_ms", "expected"),
    [
        # A small request goes to a free server of another zone sooner.
        (1_000, _REGION, 60, "far"),
        (9_000, _REGION, 60, "near"),
        (9_000, _REGION, 160, "far"),
        # The traffic of a large one between regions costs more than a wait.
        (1_000, _REMOTE, 300, "far"),
        (4_000, _REMOTE, 500, "near"),
        (9_000, _REMOTE, 500, "near"),
        # Nothing is refused or late to save traffic.
        (9_000, _REMOTE, 650, "far"),
    ],
)
def test_large_requests_wait_longer_for_a_near_server(
    traffic_bytes, distance, wait_ms, expected
):
    decision = _placement.place(
        [_candidate("far", distance, 0), _candidate("near", _ZONE, wait_ms)],
        objective_ms=800,
        limit_ms=1_600,
        traffic_bytes=traffic_bytes,
    )
    assert decision.server == expected


def test_sizes_of_routes():
    sizes = _route_sizes.RouteSizes()
    assert sizes.get_bytes("r") == _route_sizes.INITIAL_BYTES
    for _ in range(3):
        sizes.record("r", body_bytes=9_000)
        sizes.record("s", body_bytes=0)
    assert sizes.get_bytes("r") == 9_000 + _route_sizes.HEADER_BYTES
    assert sizes.get_bytes("s") == _route_sizes.HEADER_BYTES
    for number in range(_route_sizes.MAX_TRACKED_ROUTES):
        sizes.record(f"r{number}", body_bytes=0)
    assert sizes.get_bytes("r") == _route_sizes.INITIAL_BYTES


def test_request_spills_over_to_be_in_time():
    """A request that may be late locally is not sent there to save traffic."""
    decision = _placement.place(
        [_candidate("far", _REMOTE, 350), _candidate("near", _ZONE, 650)],
        objective_ms=800,
        limit_ms=1_600,
    )
    assert decision.server == "far"


@pytest.mark.parametrize(
    ("wait_ms", "admits_idle", "is_chosen"),
    [(0.0, True, True), (0.0, False, False), (50.0, True, False)],
)
def test_idle_server_is_chosen_despite_high_estimate(
    wait_ms, admits_idle, is_chosen
):
    """Guards against a server that never gets requests again.

    A server whose estimate was too high got no requests, so that no response
    corrected the estimate.
    """
    decision = _placement.place(
        [_candidate("slow", _ZONE, wait_ms, service_ms=1_700.0)],
        objective_ms=800,
        limit_ms=800,
        admits_idle=admits_idle,
    )
    assert isinstance(decision, _placement.Choice) is is_chosen


def test_failing_server_is_less_preferred():
    decision = _placement.place(
        [
            _candidate("failing", _ZONE, 0, error_ratio=0.6),
            _candidate("healthy", _REGION, 100),
        ],
        objective_ms=800,
        limit_ms=800,
    )
    assert decision.server == "healthy"


@pytest.mark.parametrize("others", [[], [("b", _ZONE, 0)]])
def test_server_in_cooldown_is_excluded(others):
    decision = _placement.place(
        [
            _candidate("a", _ZONE, 0, is_cooling_down=True),
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
def test_few_requests_are_distributed_by_weight(weights, count):
    targets = [
        catalog.Target(service=base.ServiceName(f"t{n}"), weight=weight)
        for n, weight in enumerate(weights)
    ]
    splitter = _splitter.TargetSplitter()
    picked = [splitter.pick(targets) for _ in range(count)]
    for target in targets:
        share = target.weight / sum(weights)
        assert abs(picked.count(target.service) - share * count) <= 1


def _run(check):
    async def run():
        await check(testing.ManualClock())

    testing.run_manual(run())


def test_all_instances_together_stay_within_retry_budget():
    """Frequent retries at a varying number of instances are limited."""

    async def check(clock):
        budgets = [
            _retry_budget.RetryBudget(
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
        # Without a report from a coordinator, the size is large.
        ([], 64),
        ([(0, 1)], 1),
        ([(0, 12)], 12),
        # A new coordinator reports too few instances at first.
        ([(13_000, 12), (1_000, 1), (1_000, 3)], 12),
        ([(13_000, 12), (1_000, 30)], 30),
        # Instances that left are counted until the window has passed.
        ([(13_000, 12), (1_000, 8), (13_000, 8)], 8),
    ],
)
def test_fleet_size_is_largest_recent_size(sizes, expected):
    """Guards against retries beyond the budget after a takeover.

    A new coordinator reports too few instances at first, which gave each
    instance too large a share of the fixed allowance.
    """

    async def check(clock):
        fleet = _fleet_size.FleetSize(clock=clock)
        for delay_ms, size in sizes:
            await clock.sleep(delay_ms)
            fleet.record(size)
        assert fleet.get() == expected

    _run(check)


def test_shorter_deadline_is_detected_as_retry():
    detector = _admission.RetryDetector()
    assert [detector.is_retry(d) for d in (5_000, 4_990, 4_000, 5_000)] == [
        False,
        False,
        True,
        False,
    ]


def test_retry_delays_have_jitter():
    rng = random.Random(2)
    delays = {
        _admission.compute_retry_after_ms(
            expected_ms=1_600, limit_ms=800, rng=rng
        )
        for _ in range(50)
    }
    assert min(delays) >= 800
    assert max(delays) <= 1_300
    assert len(delays) > 30


def _load(clock, slots=2):
    return _server_load.ServerLoad(
        slots=slots, service_time=_server_load.ServiceTime(), clock=clock
    )


def _report(running, waiting):
    return _dialect.ReportedLoad(running=running, waiting=waiting, slots=2)


def test_reported_load_of_others_decays_to_mean():
    async def check(clock):
        load = _load(clock)
        assert load.estimate_others_in_flight() == 0
        load.record_response(latency_ms=200, load=_report(2, 8), failed=False)
        assert load.estimate_others_in_flight() == 10
        assert load.estimate_wait_ms() > 800
        for _ in range(30):
            load.record_response(
                latency_ms=200, load=_report(1, 0), failed=False
            )
        load.record_observed_load(9)
        await clock.sleep(5_000)
        assert load.estimate_others_in_flight() < 3

    _run(check)


def test_server_without_reports_is_assumed_idle():
    async def check(clock):
        load = _load(clock)
        for _ in range(30):
            load.record_observed_load(10)
        await clock.sleep(1_000)
        assert load.estimate_wait_ms() > 0
        await clock.sleep(10_000)
        assert load.estimate_wait_ms() <= 0

    _run(check)


def test_new_owner_without_reports_is_not_overloaded():
    """Guards against an overload of a server that was just granted keys.

    Nine instances sent 22 requests to a server that accepts ten.  A request
    takes 150 ms and the objective is 600 ms.  All requests arrive within the
    first 100 ms, before the first response.
    """

    async def check(clock):
        loads = [
            _server_load.ServerLoad(
                slots=2,
                service_time=_server_load.ServiceTime(),
                clock=clock,
                get_sender_count=lambda: 9,
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
        # The server has two slots and a queue of eight requests.
        assert 5 <= sum(load.in_flight for load in loads) <= 10

    _run(check)


def test_load_is_published_only_if_it_differs_from_estimate():
    async def check(clock):
        load = _load(clock)
        load.record_response(latency_ms=200, load=_report(2, 4), failed=False)
        assert load.take_observed_load() == 6
        assert load.take_observed_load() is None
        load.record_response(latency_ms=200, load=_report(2, 4), failed=False)
        assert load.take_observed_load() is None
        load.record_response(latency_ms=200, load=_report(0, 0), failed=False)
        assert load.take_observed_load() == 0

    _run(check)


def test_slow_server_is_distinguished_from_queueing():
    async def check(clock):
        times = _server_load.ServiceTime()
        fast, slow = (
            _server_load.ServerLoad(slots=2, service_time=times, clock=clock)
            for _ in range(2)
        )
        for _ in range(40):
            fast.record_response(
                latency_ms=100, load=_report(1, 0), failed=False
            )
            slow.record_response(
                latency_ms=500, load=_report(1, 0), failed=False
            )
            fast.record_response(
                latency_ms=900, load=_report(2, 7), failed=False
            )
        assert fast.estimate_service_ms() < 200
        assert slow.estimate_service_ms() > 350

    _run(check)


def test_service_time_depends_on_route_and_server():
    """Guards against refusing short requests for the time of long ones."""

    async def check(clock):
        times = _server_load.ServiceTime()
        fast, slow = (
            _server_load.ServerLoad(slots=2, service_time=times, clock=clock)
            for _ in range(2)
        )
        for _ in range(40):
            for load, factor in ((fast, 1), (slow, 3)):
                for route, latency_ms in (("short", 60), ("long", 400)):
                    load.record_response(
                        latency_ms=factor * latency_ms,
                        load=_report(1, 0),
                        failed=False,
                        route=route,
                    )
        assert fast.estimate_service_ms("short") < 90
        assert 300 < fast.estimate_service_ms("long") < 600
        assert 130 < slow.estimate_service_ms("short") < 240
        # A request that waits has others of any route ahead.
        mean_ms = fast.estimate_service_ms()
        assert mean_ms == fast.estimate_service_ms("unknown")
        assert fast.estimate_service_ms("short") < mean_ms
        count, reported_ms = slow.take_latencies()
        assert count == 80
        assert reported_ms > 1.5 * fast.take_latencies()[1]

    _run(check)


@pytest.mark.parametrize("longer_route", ["long", "short"])
def test_reported_service_time_does_not_depend_on_mix_of_routes(longer_route):
    """The coordinator compares servers by it, some of which get long work."""

    async def check(clock):
        times = _server_load.ServiceTime()
        loads = [
            _server_load.ServerLoad(slots=2, service_time=times, clock=clock)
            for _ in range(2)
        ]
        latency_ms = {"long": 400, "short": 60}
        for number in range(400):
            for load, often in zip(loads, latency_ms, strict=True):
                route = often if number % 4 else longer_route
                load.record_response(
                    latency_ms=latency_ms[route],
                    load=_report(1, 0),
                    failed=False,
                    route=route,
                )
                if number == 200:
                    load.take_latencies()
        means_ms = [load.take_latencies()[1] for load in loads]
        assert means_ms[0] == pytest.approx(means_ms[1], rel=0.25)

    _run(check)


def test_number_of_tracked_routes_is_bounded():
    times = _server_load.ServiceTime()
    for number in range(_server_load.MAX_TRACKED_ROUTES + 5):
        times.record(100 + number, route=f"r{number}")
    assert len(times._routes) == _server_load.MAX_TRACKED_ROUTES
    assert times.estimate_ms("r0") == times.mean_ms


def test_server_is_chosen_less_near_the_load_at_which_it_was_full():
    async def check(clock):
        load = _load(clock)
        for _ in range(3):
            load.record_response(
                latency_ms=200, load=_report(2, 4), failed=False
            )
        load.in_flight = 1
        assert not load.is_full()
        load.record_full()
        assert load.is_full()
        assert load.health.compute_error_ratio() == 0
        assert not load.is_cooling_down()
        full = _candidate("full", _ZONE, 0, is_full=load.is_full())
        others = [_candidate("far", _REMOTE, 0)]
        options = {"objective_ms": 800, "limit_ms": 800}
        assert _placement.place([full, *others], **options).server == "far"
        refusal = _placement.place([full], **options)
        assert refusal.reason is _placement.RefusalReason.OVERLOAD
        # A response shows that there is room again.
        load.record_response(latency_ms=200, load=_report(2, 0), failed=False)
        assert not load.is_full()

    _run(check)


def test_cooldowns_double_with_failures_and_end_with_response():
    async def check(clock):
        load = _load(clock)
        cooldowns_ms = []
        for _ in range(6):
            load.record_unreachable()
            cooldowns_ms.append(load.get_cooldown_ms())
        assert cooldowns_ms == [400, 800, 1_600, 3_200, 4_000, 4_000]
        assert load.is_cooling_down()
        load.record_response(latency_ms=100, load=None, failed=False)
        assert not load.is_cooling_down()

    _run(check)


@pytest.mark.parametrize(
    ("closed_ms", "cooling", "expected"),
    [
        ((900, 0), (False, False), "b"),
        ((900, 400), (False, False), 400),
        ((900, 0), (False, True), 900),
        ((0, 0), (False, True), "a"),
    ],
)
def test_server_that_asks_to_wait_is_excluded(closed_ms, cooling, expected):
    result = _placement.place(
        [
            _candidate(
                name, _ZONE, 0, closed_ms=left_ms, is_cooling_down=is_cooling
            )
            for name, left_ms, is_cooling in zip(
                "ab", closed_ms, cooling, strict=True
            )
        ],
        objective_ms=800,
        limit_ms=800,
    )
    if isinstance(expected, str):
        assert result.server == expected
    else:
        assert result.reason is _placement.RefusalReason.SERVER_WAIT
        assert result.wait_ms == expected


def test_wait_ends_by_itself_and_concerns_one_process():
    async def run():
        clock = testing.ManualClock()
        waits = _server_waits.ServerWaits(clock=clock)
        server = (base.ServerId("i-1"), 1)
        waits.record(server, 1_500)
        waits.record(server, 300)
        assert waits.get_ms(server) == 1_500
        assert waits.get_ms((base.ServerId("i-1"), 2)) == 0
        await clock.sleep(1_500)
        assert waits.get_ms(server) == 0

    testing.run_manual(run())


def test_number_of_remembered_waits_is_bounded():
    async def run():
        clock = testing.ManualClock()
        waits = _server_waits.ServerWaits(clock=clock)
        for number in range(_server_waits.MAX_SERVERS + 5):
            waits.record((base.ServerId(f"i-{number}"), 1), 1_500)
        assert len(waits._ends_at) == _server_waits.MAX_SERVERS
        last = base.ServerId(f"i-{_server_waits.MAX_SERVERS + 4}")
        assert waits.get_ms((last, 1)) == 1_500

    testing.run_manual(run())
