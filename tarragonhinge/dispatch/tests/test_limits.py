"""Rate and concurrency limits of a service, on a manual clock."""

import asyncio
import collections
import itertools

import pytest

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge import testing


async def _send_requests(deployment, node, duration_ms):
    """Send four times the load that the limits allow."""
    stop_at = node.clock.now() + duration_ms
    sends = []
    for sequence in itertools.count():
        if node.clock.now() >= stop_at:
            break
        request = deployment.send(node, f"k{sequence}", deadline_ms=500)
        sends.append(asyncio.create_task(request))
        await deployment.wait(10)
    return await asyncio.gather(*sends)


@pytest.mark.parametrize("lose_leader", [False, True])
def test_rate_is_not_exceeded(lose_leader):
    async def scenario():
        row = testing.make_row(rate=25.0)
        deployment = testing.Deployment(row=row)
        await deployment.start()
        leader = deployment.find_leaders()[0]
        node = next(n for n in deployment.nodes if n is not leader)
        load = asyncio.create_task(_send_requests(deployment, node, 8000))
        await deployment.wait(2000)
        if lose_leader:
            await leader.kill()
        outcomes = await load
        _assert_rate(deployment, row.rate)
        kinds = collections.Counter(type(o) for o in outcomes)
        assert kinds[base.Answered] >= 0.9 * row.rate * (
            4 if lose_leader else 8
        )
        for outcome in outcomes:
            if isinstance(outcome, base.NotRun):
                assert outcome.retry_after_ms

    testing.run_manual(scenario())


def _assert_rate(deployment, rate):
    """Assert that no second exceeds the bound of the token bucket."""
    runs = sorted(
        run.at_ms for s in deployment.servers.values() for run in s.runs
    )
    burst_ms = admission.BURST_MS
    for first in runs:
        within_second = [at for at in runs if first <= at < first + 1000]
        assert len(within_second) <= rate * (1000 + burst_ms) / 1000 + 1


@pytest.mark.parametrize("service_ms", [40, 1500])
@pytest.mark.parametrize("lose_leader", [False, True])
def test_concurrency_is_not_exceeded(lose_leader, service_ms, monkeypatch):
    running = collections.Counter()
    max_running = collections.Counter()
    run = testing.MemoryServer.run

    async def count_run(server, request):
        running["all"] += 1
        max_running["all"] = max(max_running["all"], running["all"])
        try:
            return await run(server, request)
        finally:
            running["all"] -= 1

    monkeypatch.setattr(testing.MemoryServer, "run", count_run)

    async def scenario():
        deployment = testing.Deployment(row=testing.make_row(concurrency=3))
        for server in deployment.servers.values():
            server.service_ms = service_ms
        await deployment.start()
        leader = deployment.find_leaders()[0]
        node = next(n for n in deployment.nodes if n is not leader)
        load = asyncio.create_task(_send_requests(deployment, node, 6000))
        await deployment.wait(2000)
        if lose_leader:
            await leader.kill()
        await load
        assert max_running["all"] == 3

    testing.run_manual(scenario())
