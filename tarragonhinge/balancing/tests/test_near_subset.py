"""Replays of fleets whose instances each see few requests of a service."""

import random
import statistics

import pytest

from tarragonhinge.balancing import _near_subset
from tarragonhinge import catalog
from tarragonhinge.gateway.tests import replay

_REGIONS = {zone: zone[0] for zone in ("a1", "b1", "c1", "a2", "b2", "c2")}
_ISSUE = replay.make_route(
    "issue",
    objective_ms=1_591,
    timeout_ms=12_609,
    kind=catalog.RequestKind.NON_IDEMPOTENT,
)
_FOR_MS = 15_000


def _replay(*, instances, servers, per_s):
    rng = random.Random(5)
    played = replay.Replay(
        servers=[
            replay.ReplayServer(
                f"s{number}",
                slots=6,
                queue=24,
                slowness=1 / rng.uniform(0.6, 1.6),
                zone=list(_REGIONS)[number % len(_REGIONS)],
                keep_alive_ms=10_000,
            )
            for number in range(servers)
        ],
        routes=[_ISSUE],
        instances=instances,
        regions=_REGIONS,
    )
    answers = played.run(
        {"issue": {"per_s": per_s, "work_ms": 464, "deadline_ms": 12_609}},
        for_ms=_FOR_MS,
    )["issue"]
    return played, answers


def test_instances_with_few_requests_reuse_connections():
    """Guards against a new connection for half of the requests.

    Each of 66 instances has 0.1 requests per second and server, and the
    servers forget connections. All of them together still load the servers
    evenly.
    """
    played, answers = _replay(instances=66, servers=36, per_s=240)
    opened = sum(server.opened for server in played.servers.values())
    assert opened <= 0.42 * len(answers)
    assert replay.compute_share(answers, within_ms=1_591) >= 0.99
    loads = [
        server.busy_ms / server.slots / _FOR_MS
        for server in played.servers.values()
    ]
    assert max(loads) <= 1.0
    assert statistics.pstdev(loads) <= 0.25


def test_instances_with_many_requests_use_all_servers():
    """Guards against a change of the choice in small deployments."""
    played, _ = _replay(instances=9, servers=12, per_s=80)
    assert [g._placer.subsets.used for g in played.gateways] == [0] * 9


@pytest.mark.parametrize(
    ("per_s", "service_ms", "expected"),
    [(0.5, 464, 4), (5.5, 464, 4), (30, 464, 12)],
)
def test_subset_suffices_for_the_load_of_its_instance(
    per_s, service_ms, expected
):
    """Guards against a subset that is always exceeded."""
    size = _near_subset.compute_size(
        per_s=per_s, service_ms=service_ms, slots=6
    )
    assert size == expected
