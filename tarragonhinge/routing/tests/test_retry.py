"""Number and load of retries, and cancellation of requests."""

import asyncio
import random

import pytest

from tarragonhinge import base
from tarragonhinge import testing

REQUEST_COUNT = 600

#: Maximum ratio of requests sent to servers to requests of callers.
MAX_SENT_RATIO = 1.2


class _RandomShedding:
    """Flag that is true for a random fraction of its evaluations.

    A server evaluates it once for each request.
    """

    def __init__(self, shed_ratio):
        self.request_count = 0
        self._shed_ratio = shed_ratio
        self._rng = random.Random(1)

    def __bool__(self):
        self.request_count += 1
        return self._rng.random() < self._shed_ratio


@pytest.mark.parametrize("shed_ratio", [0.5, 1.0])
def test_retries_stay_within_the_budget(shed_ratio):
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        shedding = _RandomShedding(shed_ratio)
        for server in deployment.servers.values():
            server.shedding = shedding
        node = deployment.nodes[0]
        tasks = []
        for number in range(REQUEST_COUNT):
            tasks.append(
                testing.spawn(deployment.send(node, f"k{number % 32}"))
            )
            await deployment.wait(5)
        outcomes = [await task for task in tasks]
        assert (
            REQUEST_COUNT
            < shedding.request_count
            < MAX_SENT_RATIO * REQUEST_COUNT
        )
        answered = sum(isinstance(o, base.Answered) for o in outcomes)
        if shed_ratio < 1:
            assert answered > REQUEST_COUNT * (1 - shed_ratio)

    testing.run_manual(scenario())


@pytest.mark.parametrize(("cancels", "occupied"), [(True, 0), (False, 1)])
@pytest.mark.parametrize("local", [True, False])
def test_caller_disconnect_cancels_the_request_at_the_server(
    cancels, occupied, local
):
    async def scenario():
        deployment = testing.Deployment(
            row=testing.make_row(servers=1, cancels=cancels)
        )
        await deployment.start()
        server = deployment.servers[base.ServerId("s0")]
        server.service_ms = 1000
        leader = deployment.find_leaders()[0]
        entry = next(
            node for node in deployment.nodes if (node is leader) == local
        )
        await deployment.send(entry, "k1", deadline_ms=5000)
        call = testing.spawn(deployment.send(entry, "k1", deadline_ms=5000))
        await deployment.wait(100)
        call.cancel()
        await deployment.wait(100)
        assert _list_occupied_slots(deployment, leader) == [occupied]
        await deployment.wait(2000)
        assert _list_occupied_slots(deployment, leader) == [0]

    testing.run_manual(scenario())


def _list_occupied_slots(deployment, leader):
    """Return the number of occupied slots of each server."""
    limits = leader.instance.dispatcher.dump()["limits"]
    servers = limits[deployment.shard]["servers"]
    return [slots["running"] for slots in servers.values()]


def test_cancelled_request_with_a_key_runs_and_is_recorded():
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        for server in deployment.servers.values():
            server.service_ms = 300
        key = "019b76da-a800-7000-8000-000000000001"
        node = deployment.nodes[0]
        call = testing.spawn(
            deployment.send(node, "k1", method="POST", idempotency_key=key)
        )
        await deployment.wait(100)
        call.cancel()
        await asyncio.wait({call})
        again = await deployment.send(
            node, "k1", method="POST", idempotency_key=key
        )
        assert isinstance(again, base.Answered)
        runs = sum(len(s.runs) for s in deployment.servers.values())
        assert runs == 1

    testing.run_manual(scenario())
