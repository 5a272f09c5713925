"""Failover of an idempotent request whose server does not respond in time."""

import asyncio

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.platform.tests import test_path


async def _wait_abandoned(*servers):
    """Wait until the connections of the servers' requests are closed."""
    async with asyncio.timeout(30):
        while True:
            if all(server.abandoned for server in servers):
                return
            await asyncio.sleep(0.01)


async def _start_slow_request(testbed, second_mode, *, timeout_ms=20_000):
    """Send a request that the first server begins and does not answer.

    Returns once the request was also sent to the second server.
    """
    first, second = testbed.servers
    table = test_path._make_table()
    testbed.view.set_table(
        catalog.RoutingTable(
            version=base.TableVersion(2),
            routes=tuple(
                msgspec.structs.replace(
                    route, timeout_ms=timeout_ms, max_attempts=2
                )
                for route in table.routes
            ),
            services=table.services,
        )
    )
    first.work_allowed.clear()
    second.mode = second_mode
    task = asyncio.create_task(testbed.send(test_path.SAFE))
    async with asyncio.timeout(30):
        await first.request_arrived.wait()
        await second.request_arrived.wait()
    return task


@pytest.mark.parametrize("second_mode", ["shed", "cut", "error", "silent"])
def test_failed_failover_does_not_replace_response_of_first_server(
    second_mode,
):
    """The caller got a 502 while the first server worked on the request."""

    async def check(testbed):
        first, _ = testbed.servers
        task = await _start_slow_request(testbed, second_mode)
        await asyncio.sleep(0.05)
        first.work_allowed.set()
        response = await task
        assert response.status == 200
        assert response.body == b"a1 of i-1"
        assert first.abandoned == []

    test_path._run(check)


def test_first_response_ends_the_other_attempt():
    async def check(testbed):
        first, second = testbed.servers
        second.work_allowed.clear()
        task = await _start_slow_request(testbed, "ok")
        first.work_allowed.set()
        response = await task
        assert response.body == b"a1 of i-1"
        await _wait_abandoned(second)
        assert second.abandoned == ["a1"]
        assert testbed.gateway.links.find(second.name).load.in_flight == 0

    test_path._run(check)


def test_response_of_second_server_ends_the_first_attempt():
    async def check(testbed):
        first, second = testbed.servers
        task = await _start_slow_request(testbed, "ok")
        response = await task
        assert response.body == b"a1 of i-2"
        await _wait_abandoned(first)
        assert testbed.gateway.links.find(first.name).load.in_flight == 0

    test_path._run(check)


def test_no_response_from_either_server_times_out():
    async def check(testbed):
        task = await _start_slow_request(testbed, "silent", timeout_ms=3_000)
        response = await task
        assert response.status == 504
        assert testbed.count_executions("a1") == 2

    test_path._run(check)


def test_request_that_both_servers_refuse_is_refused():
    """The caller got a 502, although neither server had run the request."""

    async def check(testbed):
        first, _ = testbed.servers
        first.mode = "late_shed"
        task = await _start_slow_request(testbed, "shed")
        first.work_allowed.set()
        response = await task
        assert response.status == 503
        assert float(dict(response.fields)["retry-after"]) > 0
        assert testbed.count_executions() == 0

    test_path._run(check)


def test_caller_that_disconnects_ends_both_attempts():
    async def check(testbed):
        first, second = testbed.servers
        second.work_allowed.clear()
        task = await _start_slow_request(testbed, "ok")
        task.cancel()
        await asyncio.wait([task])
        await _wait_abandoned(first, second)

    test_path._run(check)
