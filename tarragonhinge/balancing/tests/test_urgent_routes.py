"""Replays of short urgent requests beside long ones of lower priority."""

import random

import pytest

from tarragonhinge.balancing import _urgent_routes
from tarragonhinge.balancing import _waiting_line
from tarragonhinge import catalog
from tarragonhinge.gateway.tests import replay
from tarragonhinge import testing

#: By how much a more urgent kind may be served less often, or be in time less
#: often, than a less urgent one.
SERVED_GAP = 0.05
IN_TIME_GAP = 0.15

URGENT = replay.make_route(
    "issue",
    objective_ms=300,
    timeout_ms=1_000,
    priority=0,
    kind=catalog.RequestKind.NON_IDEMPOTENT,
)
LONG = replay.make_route("read", objective_ms=1_000, priority=2)


def _replay(*, slowness, urgent_per_s, long_per_s, instances, keyed=True):
    servers = [replay.ReplayServer("s", slowness=slowness)]
    return replay.Replay(
        servers=servers,
        routes=[URGENT, LONG],
        instances=instances,
        network_ms=10,
        keyed=keyed,
    ).run(
        {
            "issue": {
                "per_s": urgent_per_s,
                "work_ms": 63,
                "deadline_ms": 2_000,
            },
            "read": {
                "per_s": long_per_s,
                "work_ms": 360,
                "deadline_ms": 6_000,
            },
        },
        for_ms=120_000,
    )


@pytest.mark.parametrize("instances", [4, 12])
@pytest.mark.parametrize(
    ("slowness", "urgent_per_s", "long_per_s"),
    [
        # The load of a usual owner of keys, at a fast and at a slow one.
        (1.0, 8, 5),
        (1.6, 5, 3.3),
        # More than the server can run.
        (1.0, 12, 7),
        (1.6, 8, 5),
    ],
)
def test_urgent_requests_are_not_served_worse_than_long_ones(
    slowness, urgent_per_s, long_per_s, instances
):
    answers = _replay(
        slowness=slowness,
        urgent_per_s=urgent_per_s,
        long_per_s=long_per_s,
        instances=instances,
    )
    served = {
        name: replay.compute_share(of_route, within_ms=10_000)
        for name, of_route in answers.items()
    }
    in_time = {
        route.name: replay.compute_share(
            answers[route.name], within_ms=route.objective_ms
        )
        for route in (URGENT, LONG)
    }
    assert served["issue"] >= served["read"] - SERVED_GAP
    assert in_time["issue"] >= in_time["read"] - IN_TIME_GAP


def test_long_requests_alone_need_not_wait_for_urgent_ones():
    async def check():
        clock = testing.ManualClock()
        routes = _urgent_routes.UrgentRoutes(clock=clock)
        routes.record(replay.SERVICE, LONG)
        assert routes.list_above(replay.SERVICE, LONG.priority) == []
        routes.record(replay.SERVICE, URGENT)
        [above] = routes.list_above(replay.SERVICE, LONG.priority)
        assert above.name == "issue"
        assert routes.list_above(replay.SERVICE, URGENT.priority) == []
        await clock.sleep(_urgent_routes.DEMAND_MS + 1)
        assert routes.list_above(replay.SERVICE, LONG.priority) == []

    testing.run_manual(check())


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, 80),
        # A far server, or a slow one, leaves no room for a queue.
        ({"round_trip_ms": 140}, 0),
        ({"urgent_service_ms": 180}, 0),
        ({"slots": 9}, 160),
    ],
)
def test_queue_leaves_urgent_requests_their_time(changes, expected):
    options = {
        "objective_ms": 300,
        "round_trip_ms": 40,
        "urgent_service_ms": 60,
        "own_service_ms": 360,
        "slots": 3,
    }
    limit_ms = _urgent_routes.compute_wait_limit_ms(**{**options, **changes})
    assert limit_ms == expected


def test_line_is_ordered_by_priority_and_arrival():
    async def check():
        lines = _waiting_line.WaitingLines(rng=random.Random(1))
        line = (replay.SERVICE, None)
        assert lines.goes_first(line, 2, None)
        with (
            lines.join(line, 2) as first,
            lines.join(line, 2) as second,
            lines.join(line, 1) as urgent,
        ):
            assert lines.goes_first(line, 1, urgent)
            assert not lines.goes_first(line, 2, first)
            assert not lines.goes_first(line, 1, None)
            assert lines.goes_first(line, 0, None)
            assert first < second
        assert lines.goes_first(line, 2, None)

    testing.run_manual(check())


def test_caller_that_comes_back_goes_before_new_ones():
    """Guards against callers that are refused again and again."""

    async def check():
        lines = _waiting_line.WaitingLines(rng=random.Random(1))
        line = (replay.SERVICE, None)
        with lines.join(line, 2, first_at=500) as new:
            assert lines.goes_first(line, 2, new)
            assert not lines.goes_first(line, 2, None, first_at=501)
            assert lines.goes_first(line, 2, None, first_at=100)
            with lines.join(line, 2, first_at=100) as returned:
                assert lines.goes_first(line, 2, returned)
                assert not lines.goes_first(line, 2, new)

    testing.run_manual(check())
