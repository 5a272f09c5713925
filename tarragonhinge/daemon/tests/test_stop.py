"""Requests of callers around a graceful stop of an instance."""

import asyncio

from aiohttp import streams
from aiohttp import test_utils
import msgspec
import pytest

from tarragonhinge import testing

#: Time for the load balancer to notice a stop.
NOTICE_MS = 3_000

#: After the notice, when no request is in flight any more, but before the
#: instance has stopped.
AFTER_DRAIN_MS = NOTICE_MS + 200

#: Longer than notice and limit of a stop together.
LONG_MS = 60_000


async def _start():
    deployment = testing.Deployment(
        row=testing.make_row(servers=3), instances=4, notice_ms=NOTICE_MS
    )
    await deployment.start()
    return deployment


def _pick_node(deployment, *, leads):
    leader = deployment.find_leaders()[0]
    if leads:
        return leader
    return next(node for node in deployment.nodes if node is not leader)


def _send(node, *, deadline_ms, method="POST"):
    request = test_utils.make_mocked_request(
        method,
        "/balances/k1",
        headers={"Tarragonhinge-Deadline-Ms": str(deadline_ms)},
        payload=streams.EMPTY_PAYLOAD,
        match_info={"service": "balances", "rest": "k1"},
    )
    return asyncio.create_task(node.instance.frontend.handle(request))


def _set_service_time(deployment, service_ms):
    for server in deployment.servers.values():
        server.service_ms = service_ms


def _count_runs(deployment):
    return sum(len(server.runs) for server in deployment.servers.values())


def _get_title(response):
    return response.status, msgspec.json.decode(response.body)["title"]


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize(
    ("sent_ms", "service_ms", "deadline_ms"),
    [
        # The stop would end before the response, its requests being done.
        (AFTER_DRAIN_MS, 1_000, 2_000),
        # The stop would wait for the response up to its limit.
        (NOTICE_MS - 100, LONG_MS - 10_000, LONG_MS),
    ],
)
def test_request_that_stop_cannot_wait_for_is_not_run(
    leads, sent_ms, service_ms, deadline_ms
):
    """Guards against accepting a request that the stop then cuts off."""

    async def scenario():
        deployment = await _start()
        node = _pick_node(deployment, leads=leads)
        _set_service_time(deployment, service_ms)
        stopping = asyncio.create_task(node.instance.stop())
        await deployment.wait(sent_ms)
        sent = _send(node, deadline_ms=deadline_ms)
        assert await stopping == 0
        response = await sent
        assert _get_title(response) == (503, "stopping")
        assert response.headers["Retry-After"] == "1"
        assert _count_runs(deployment) == 0

    testing.run_manual(scenario())


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("sent_ms", [0, NOTICE_MS - 1])
def test_request_within_notice_is_answered(leads, sent_ms):
    async def scenario():
        deployment = await _start()
        node = _pick_node(deployment, leads=leads)
        _set_service_time(deployment, 1_000)
        stopping = asyncio.create_task(node.instance.stop())
        await deployment.wait(sent_ms)
        response = await _send(node, deadline_ms=2_000)
        assert response.status == 200
        assert await stopping == 0

    testing.run_manual(scenario())


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_that_outlasts_stop_is_answered_before_it_ends(leads, method):
    """Guards against a request whose caller gets no response in time.

    It was accepted before SIGTERM and lasts longer than the stop.
    """

    async def scenario():
        deployment = await _start()
        node = _pick_node(deployment, leads=leads)
        _set_service_time(deployment, LONG_MS - 10_000)
        sent = _send(node, deadline_ms=LONG_MS, method=method)
        await deployment.wait(50)
        assert await node.instance.stop() > 0
        assert sent.done()
        assert _get_title(sent.result()) == (504, "answer_lost")
        assert _count_runs(deployment) == 1

    testing.run_manual(scenario())


def test_second_signal_answers_requests_in_flight():
    """Guards against connections that are closed without a response."""

    async def scenario():
        deployment = await _start()
        node = _pick_node(deployment, leads=False)
        _set_service_time(deployment, 1_000)
        sent = _send(node, deadline_ms=2_000)
        await deployment.wait(50)
        stopping = asyncio.create_task(node.instance.stop())
        await deployment.wait(50)
        stopping.cancel()
        await node.instance.frontend.abort()
        assert sent.done()
        assert _get_title(sent.result()) == (504, "answer_lost")

    testing.run_manual(scenario())


def test_instance_stops_although_task_misses_cancellation():
    """Guards against a stop that waits forever for a background task.

    `asyncio.wait_for` drops a cancellation that arrives in the same turn of
    the event loop as its result, so that the task continued.
    """

    async def scenario():
        deployment = testing.Deployment(row=testing.make_row(), instances=1)
        instance = deployment.nodes[0].instance
        replies = [asyncio.get_running_loop().create_future()]

        async def call_peers():
            while True:
                await asyncio.wait_for(replies[-1], 1_000)
                replies.append(asyncio.get_running_loop().create_future())

        instance.propagator.run = call_peers
        await instance.start()
        await deployment.wait(10)
        replies[-1].set_result(None)
        await asyncio.wait_for(instance.kill(), 60)

    testing.run_manual(scenario())
