"""Replays of loads beside servers that refuse what they could run."""

import pytest

from tarragonhinge.gateway.tests import replay

LOOKUP = replay.make_route("lookup", objective_ms=400, timeout_ms=1_200)


@pytest.mark.parametrize(
    ("shed_share", "per_s"), [(0.45, 60), (0.9, 60), (0.45, 90)]
)
def test_server_that_refuses_despite_free_slots_gets_fewer_requests(
    shed_share, per_s
):
    """Guards against a retry budget that one failing server uses up.

    A server refuses a part of its requests whatever its load. The retries at
    other servers used up the budget, and the rest was refused although the
    other servers had room.
    """
    servers = [replay.ReplayServer(f"s{number}") for number in range(4)]
    servers[0].shed_share = shed_share
    answers = replay.Replay(
        servers=servers, routes=[LOOKUP], instances=4, retry_slack=8
    ).run({"lookup": {"per_s": per_s, "work_ms": 90, "deadline_ms": 2_500}})
    refused = [a for a in answers["lookup"] if a.attempts > 1]
    assert refused == []
