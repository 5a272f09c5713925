"""Requests whose servers respond in the turn in which a stop ends."""

import asyncio

import pytest

from tarragonhinge.platform.tests import test_path


@pytest.mark.parametrize("target", [test_path.SAFE, test_path.UNSAFE])
@pytest.mark.parametrize("turns", range(8))
def test_response_that_has_arrived_is_not_replaced(target, turns):
    """The end of a stop replaced it by a 504."""

    async def check(testbed):
        for server in testbed.servers:
            server.work_allowed.clear()
        task = asyncio.create_task(testbed.send(target))
        async with asyncio.timeout(30):
            while True:
                if testbed.count_executions():
                    break
                await asyncio.sleep(0.01)
        answered = asyncio.Event()
        classify = testbed.gateway._retrier._sender._classify

        def record(*args):
            answered.set()
            return classify(*args)

        testbed.gateway._retrier._sender._classify = record
        for server in testbed.servers:
            server.work_allowed.set()
        await answered.wait()
        for _ in range(turns):
            await asyncio.sleep(0)
        testbed.gateway.abort_requests()
        response = await task
        assert response.status == 200

    test_path._run(check)
