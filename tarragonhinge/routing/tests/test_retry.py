"""Repeated attempts: how many there are, and what they cost."""

import asyncio
import random

import pytest

from tarragonhinge import base
from tarragonhinge import testing

OFFERED = 600

#: Target: requests sent to servers for each request offered.
SENT_RATIO = 1.2


class _Shedding:
    """Server state that sheds a share of the requests it is asked."""

    def __init__(self, share):
        self.asked = 0
        self._share = share
        self._rng = random.Random(1)

    def __bool__(self):
        self.asked += 1
        return self._rng.random() < self._share


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_retries_stay_within_their_budget(share):
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        shedding = _Shedding(share)
        for server in deployment.servers.values():
            server.shedding = shedding
        node = deployment.nodes[0]
        tasks = []
        for number in range(OFFERED):
            tasks.append(
                testing.spawn(deployment.send(node, f"k{number % 32}"))
            )
            await deployment.wait(5)
        outcomes = [await task for task in tasks]
        assert OFFERED < shedding.asked < SENT_RATIO * OFFERED
        answered = sum(isinstance(o, base.Answered) for o in outcomes)
        if share < 1:
            assert answered > OFFERED * (1 - share)

    testing.run_manual(scenario())


@pytest.mark.parametrize(("cancels", "running"), [(True, 0), (False, 1)])
@pytest.mark.parametrize("local", [True, False])
def test_a_caller_that_goes_away_cancels_down_to_the_server(
    cancels, running, local
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
        assert _list_running(deployment, leader) == [running]
        await deployment.wait(2000)
        assert _list_running(deployment, leader) == [0]

    testing.run_manual(scenario())


def _list_running(deployment, leader):
    """Return how many slots are taken on each server."""
    limits = leader.instance.dispatcher.dump()["limits"]
    servers = limits[deployment.shard]["servers"]
    return [slots["running"] for slots in servers.values()]


def test_a_cancelled_order_is_run_and_remembered():
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
