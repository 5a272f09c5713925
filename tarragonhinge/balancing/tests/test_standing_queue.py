"""Replays of owners of keys under sustained overload."""

import pytest

from tarragonhinge.balancing import _route_shares
from tarragonhinge.balancing import _standing_queue
from tarragonhinge.balancing import _urgent_routes
from tarragonhinge import catalog
from tarragonhinge.gateway.tests import replay
from tarragonhinge import testing

LOOKUP = replay.make_route(
    "lookup", objective_ms=1_084, timeout_ms=8_604, priority=0, max_attempts=3
)
UPLOAD = replay.make_route(
    "upload",
    objective_ms=3_217,
    timeout_ms=12_870,
    priority=2,
    kind=catalog.RequestKind.NON_IDEMPOTENT,
)
_LOOKUP_LOAD = {"work_ms": 352, "deadline_ms": 8_604}
_UPLOAD_LOAD = {"work_ms": 420, "deadline_ms": 12_870}


def _replay(routes, loads):
    return replay.Replay(
        servers=[replay.ReplayServer("s", slots=6, queue=24)],
        routes=routes,
        instances=66,
        network_ms=2,
        keyed=True,
        retry_slack=172,
    ).run(loads, for_ms=30_000)


def test_overloaded_owner_serves_requests_in_time():
    """Guards against a queue in which all requests are late.

    The owner runs 17 requests per second and gets 25. It served as many with a
    queue of 24, but 7 % in time.
    """
    answers = _replay([LOOKUP], {"lookup": {"per_s": 25, **_LOOKUP_LOAD}})
    lookups = answers["lookup"]
    assert replay.compute_share(lookups, within_ms=1_084) >= 0.25
    assert replay.compute_share(lookups, within_ms=8_604) >= 0.65


def test_urgent_requests_keep_their_room_beside_less_urgent_ones():
    """Guards against urgent requests that are late behind uploads.

    Both together are 1.3 times what the owner runs. Neither kind starves.
    """
    answers = _replay(
        [LOOKUP, UPLOAD],
        {
            "lookup": {"per_s": 13, **_LOOKUP_LOAD},
            "upload": {"per_s": 7, **_UPLOAD_LOAD},
        },
    )
    served = {
        name: replay.compute_share(of_route, within_ms=20_000)
        for name, of_route in answers.items()
    }
    in_time = replay.compute_share(answers["lookup"], within_ms=1_084)
    assert in_time >= 0.3
    assert served["lookup"] >= served["upload"] - 0.12
    every = sum(map(len, answers.values()))
    overall = sum(served[n] * len(a) for n, a in answers.items()) / every
    assert min(served.values()) >= overall / 4


@pytest.mark.parametrize(
    ("loads", "step_ms", "expected"),
    [
        ([14] * 12, 150, 14),
        # A burst whose queue drains.
        ([14] * 11 + [3], 150, 3),
        # Too short, and too few reports.
        ([14] * 12, 40, 0),
        ([14] * 2, 1_200, 0),
    ],
)
def test_queue_stands_only_if_all_loads_were_long(loads, step_ms, expected):
    """Guards against refusals after a burst that the server can run."""

    async def check():
        clock = testing.ManualClock()
        queue = _standing_queue.StandingQueue(clock=clock)
        for load in loads:
            queue.record(load)
            await clock.sleep(step_ms)
        assert queue.get_load() == expected

    testing.run_manual(check())


@pytest.mark.parametrize(
    ("own_sent", "urgent_sent", "expected"),
    [
        # Served about as often as the urgent route.
        (8, 8, {_standing_queue.Contention.BUSY}),
        (8, 4, set(_standing_queue.Contention) - {0}),
        # It would starve.
        (1, 9, set()),
    ],
)
def test_less_urgent_route_yields_unless_it_starves(
    own_sent, urgent_sent, expected
):
    """Guards against strict priority, and against none."""

    async def check():
        shares = _route_shares.RouteShares(clock=testing.ManualClock())
        for name, sent in (("upload", own_sent), ("lookup", urgent_sent)):
            for number in range(10):
                shares.record(replay.SERVICE, name, was_sent=number < sent)
        urgent = _urgent_routes.UrgentRoute(
            name="lookup", priority=0, objective_ms=1_084
        )
        yielding = shares.get_yielding(replay.SERVICE, "upload", [urgent])
        assert yielding == expected

    testing.run_manual(check())
