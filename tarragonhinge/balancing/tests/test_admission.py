"""Replays of loads that the servers can run."""

import pytest

from tarragonhinge.gateway.tests import replay

_READ = replay.make_route("read", objective_ms=800, timeout_ms=5_000)


@pytest.mark.parametrize("instances", [4, 12, 60])
@pytest.mark.parametrize(("slowness", "per_s"), [(0.7, 7), (1.0, 7), (1.5, 4)])
def test_owner_with_room_refuses_no_request(instances, slowness, per_s):
    """Guards against refusals for loads that are known only roughly.

    Each of many instances has few responses of an owner of keys, so that its
    estimate is often too high. A caller that is refused can't be answered in
    time any more, while one that is admitted too much costs little.
    """
    answers = replay.Replay(
        servers=[
            replay.ReplayServer("s", slots=2, queue=8, slowness=slowness)
        ],
        routes=[_READ],
        instances=instances,
        network_ms=10,
        keyed=True,
    ).run({"read": {"per_s": per_s, "work_ms": 220, "deadline_ms": 5_000}})
    refused = [a for a in answers["read"] if a.attempts > 1]
    assert len(refused) <= len(answers["read"]) // 100
