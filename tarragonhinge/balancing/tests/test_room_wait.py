"""Replays of owners of keys that reset connections while they are full."""

import collections

import pytest

from tarragonhinge.balancing import _accept_resets
from tarragonhinge.balancing import _room_wait
from tarragonhinge.gateway.tests import replay
from tarragonhinge import testing

_LOOKUP = replay.make_route(
    "lookup", objective_ms=1_084, timeout_ms=8_604, max_attempts=3
)


def test_request_that_a_full_owner_resets_is_sent_there_again():
    """Guards against unknown outcomes while the caller has seconds left.

    The owner runs 17 requests per second and gets 25. Each request that it
    reset was placed again at once, was refused by the full owner and ended
    with 502: a quarter of all.
    """
    server = replay.ReplayServer("s", slots=6, queue=12, resets=True)
    answers = replay.Replay(
        servers=[server],
        routes=[_LOOKUP],
        instances=66,
        network_ms=2,
        keyed=True,
        retry_slack=172,
    ).run(
        {"lookup": {"per_s": 25, "work_ms": 352, "deadline_ms": 8_604}},
        for_ms=30_000,
    )["lookup"]
    statuses = collections.Counter(answer.status for answer in answers)
    assert server.resets_sent > 0
    assert statuses[502] + statuses[504] <= 0.15 * len(answers)


@pytest.mark.parametrize(
    ("room_ms", "left_ms", "expected"),
    [(200, 2_000, 200), (1_500, 2_000, None), (0, 300, None)],
)
def test_request_waits_only_if_it_is_served_before_its_deadline(
    room_ms, left_ms, expected
):
    """Guards against waits that end with a late refusal."""
    wait_ms = _room_wait.compute_room_wait_ms(
        room_ms=room_ms, left_ms=left_ms, idle_ms=350
    )
    assert wait_ms == expected


def test_connections_are_observed_only_after_a_reset_of_a_new_one():
    """Guards against delays at services whose servers keep connections."""

    async def check():
        resets = _accept_resets.AcceptResets(clock=testing.ManualClock())
        resets.record_reset(replay.SERVICE)
        for service, expected in ((replay.SERVICE, 25), ("other", 0)):
            observed_ms = resets.compute_observation_ms(
                service, round_trip_ms=20
            )
            assert observed_ms == expected

    testing.run_manual(check())
