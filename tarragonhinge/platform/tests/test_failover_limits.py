"""Limits on the servers that a request reaches during a failover."""

import asyncio
import unittest.mock

import msgspec
import pytest

from tarragonhinge.balancing import _server_load
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.http1 import _tcp_stream
from tarragonhinge.platform.tests import test_path

#: Time for opening a connection to a slow server; below its timeout.
CONNECT_S = 0.6


def _set_route(testbed, *, max_attempts):
    table = test_path._make_table()
    testbed.view.set_table(
        catalog.RoutingTable(
            version=base.TableVersion(2),
            routes=tuple(
                msgspec.structs.replace(
                    route,
                    timeout_ms=5_000,
                    objective_ms=100,
                    max_attempts=max_attempts,
                )
                for route in table.routes
            ),
            services=table.services,
        )
    )


def _delay_connections():
    """Patch connections so that the first one takes `CONNECT_S`."""
    connect = _tcp_stream.connect
    addresses = []

    async def connect_slowly(address, *, timeout_ms):
        addresses.append(address)
        if len(addresses) == 1:
            await asyncio.sleep(CONNECT_S)
        return await connect(address, timeout_ms=timeout_ms)

    return unittest.mock.patch.object(_tcp_stream, "connect", connect_slowly)


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_slow_connection_does_not_exceed_attempts(max_attempts):
    """The attempt that opened it counted as none until it was sent."""

    async def check(testbed):
        _set_route(testbed, max_attempts=max_attempts)
        for server in testbed.servers:
            server.work_allowed.clear()
        with _delay_connections():
            task = asyncio.create_task(testbed.send(test_path.SAFE))
            await asyncio.sleep(CONNECT_S + 1.5)
        assert testbed.count_executions("a1") <= max_attempts
        task.cancel()
        await asyncio.wait([task])

    with unittest.mock.patch.object(_server_load, "INITIAL_SERVICE_MS", 20.0):
        test_path._run(check, names=("i-1", "i-2", "i-3"))


def test_request_is_not_sent_again_to_server_that_still_works_on_it():
    """The second server refused it, and the first one got it once more."""

    async def check(testbed):
        first, second = testbed.servers
        _set_route(testbed, max_attempts=2)
        first.work_allowed.clear()
        second.mode = "shed"
        task = asyncio.create_task(testbed.send(test_path.SAFE))
        async with asyncio.timeout(30):
            await second.request_arrived.wait()
        await asyncio.sleep(0.5)
        assert len(first.received) == 1
        first.work_allowed.set()
        response = await task
        assert response.status == 200
        assert first.executed == ["a1"]

    with unittest.mock.patch.object(_server_load, "INITIAL_SERVICE_MS", 20.0):
        test_path._run(check)
