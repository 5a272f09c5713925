"""A few clients leave room to others, whatever they send ahead."""

import asyncio

import pytest

from tarragonhinge.platform.standins import _server
from tarragonhinge.platform.tests import hostile_clients

#: Requests that each client sends ahead. Their work outlasts the test.
AHEAD_REQUESTS = 16
WORK_MS = 60_000

#: Time in which they reach the servers, in seconds.
SETTLE_S = 1


def _list_long_executions(instance):
    return [
        execution
        for server in instance.servers
        for execution in server.executions
        if execution.attempt == "long"
    ]


async def _send_ahead(instance):
    _, writer = await instance.connect()
    head = hostile_clients.make_head("GET", f"/safe/1?work={WORK_MS}")
    writer.write(head.replace(b": a1", b": long") * AHEAD_REQUESTS)


@pytest.mark.parametrize("client_count", [4, 16])
def test_ordinary_request_beside_requests_sent_ahead(tmp_path, client_count):
    """Guards against a few clients that take all connections to servers."""

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip=f"127.98.12.{client_count}",
            memory_mb=100,
            max_body_bytes=8_000_000,
        ) as instance:
            await instance.run_crowd(
                [_send_ahead(instance) for _ in range(client_count)]
            )
            await asyncio.sleep(SETTLE_S)
            assert await instance.ask_until_answered()
            states = {e.state for e in _list_long_executions(instance)}
            assert states == {_server.ExecutionState.RUNNING}

    asyncio.run(run())
