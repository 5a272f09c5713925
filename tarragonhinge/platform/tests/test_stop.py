"""Requests that are read while an instance stops."""

import asyncio
import itertools
import json
import os

import pytest

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge import platform
from tarragonhinge.platform import _instance
from tarragonhinge.platform import standins
from tarragonhinge import testing

#: Subnet of this process, and the next address in it: an instance needs an
#: address of its own.
SUBNET = f"127.96.{os.getpid() % 256}"
ADDRESS_NUMBERS = itertools.count(1)

NODE = """\
node=e1
ip={ip}
zone=za
region=ra
zones.za=ra
listen.front={ip}:8100
listen.ready={ip}:8101
internalPorts=8102,8103
platform.address={ip}:8000
bounds.grace=6
"""

#: Time after SIGTERM at which the load balancer has noticed the stop, and too
#: late for a request on a route with a timeout of 5 s.
LATE_MS = 2_900

#: Time after SIGTERM at which the remaining requests are aborted and their
#: responses written.
END_MS = 5_750

#: Time after SIGTERM at which SIGKILL follows.
KILL_MS = 6_000

REQUEST = (
    b"GET /x/1 HTTP/1.1\r\nHost: h.example\r\n"
    b"Tarragonhinge-Request-Attempt-Id: a1\r\n"
    b"Tarragonhinge-Deadline-Ms: 9000\r\n\r\n"
)


class _SteppedClock(base.Clock):
    """Clock of an instance that only a test advances."""

    def __init__(self):
        super().__init__()
        self._now_ms = 1_000_000

    def now(self):
        return base.Millis(self._now_ms)

    def advance(self, duration_ms):
        self._now_ms += duration_ms


def _write_rows(store, server, kind):
    """Write a route with a timeout of 5 s and the entry of its server."""
    entry = {
        "service": "books",
        "address": server.address,
        "zone": "za",
        "slots": 2,
        "state": "ready",
        "born": 1,
    }
    store.put("servers", server.name, json.dumps(entry).encode())
    route = {
        "name": "r",
        "host": "h.example",
        "prefix": "/x/",
        "kind": kind,
        "timeout": 5000,
        "goalLatency": 1500,
        "service": "books",
    }
    config = {
        "version": 1,
        "routes": [route],
        "services": [{"name": "books", "maxConns": 100}],
    }
    store.put("op", "config", json.dumps(config).encode())


async def _wait_until(condition):
    async with asyncio.timeout(30):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


class _Testbed:
    """An instance, its store and one server, which works until allowed."""

    def __init__(self, kind="safe"):
        self._kind = kind

    async def __aenter__(self):
        ip = f"{SUBNET}.{next(ADDRESS_NUMBERS)}"
        self.clock = _SteppedClock()
        self.store = standins.StandInStore()
        self.server = await standins.StandInServer().start(ip)
        self.server.work_allowed.clear()
        _write_rows(self.store, self.server, self._kind)
        self.runner = await http1.listen(
            self.store.make_application(), base.Address(f"{ip}:8000")
        )
        self.instance = _instance.PlatformInstance(
            options=platform.parse_node_file(NODE.format(ip=ip)),
            log=testing.make_event_log(self.clock),
            clock=self.clock,
        )
        await self.instance.start()
        await _wait_until(self.instance.is_ready)
        self.reader, self.writer = await asyncio.open_connection(ip, 8100)
        return self

    async def stop_until(self, elapsed_ms):
        """Begin a stop and advance the clock by `elapsed_ms`."""
        self.stopping = asyncio.create_task(self.instance.stop())
        await _wait_until(lambda: not self.instance.is_ready())
        self.clock.advance(elapsed_ms)

    async def __aexit__(self, *_):
        self.writer.close()
        self.clock.advance(KILL_MS)
        await self.stopping
        await self.server.stop()
        await self.runner.cleanup()


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("late_ms", [LATE_MS, 4_000, 5_600])
def test_stop_does_not_cut_off_request_that_it_cannot_wait_for(late_ms, kind):
    """Guards against requests that are passed on late and then cut off."""

    async def run():
        async with _Testbed(kind) as testbed:
            testbed.writer.write(REQUEST[:20])
            await testbed.writer.drain()
            await testbed.stop_until(late_ms)
            testbed.writer.write(REQUEST[20:])
            response = asyncio.create_task(testbed.reader.read())
            arrival = asyncio.create_task(
                testbed.server.request_arrived.wait()
            )
            await asyncio.wait(
                [response, arrival], return_when=asyncio.FIRST_COMPLETED
            )
            testbed.clock.advance(END_MS)
            received = await response
            assert received.startswith(b"HTTP/1.1 503")
            assert b"retry-after" in received
            assert testbed.server.executed == []

    asyncio.run(run())


@pytest.mark.parametrize("mode", ["ok", "hang"])
def test_request_that_outlasts_the_stop_gets_a_response(mode):
    """Its connection was closed, also if no server had begun to work on it."""

    async def run():
        async with _Testbed() as testbed:
            testbed.server.mode = mode
            testbed.writer.write(REQUEST)
            await testbed.server.request_arrived.wait()
            await testbed.stop_until(END_MS)
            received = await testbed.reader.read()
            assert received.startswith(b"HTTP/1.1 504")
            assert b"connection: close" in received
            assert b'"ran":"unknown"' in received

    asyncio.run(run())


def test_request_that_was_not_sent_before_the_end_of_a_stop_is_refused():
    async def run():
        async with _Testbed() as testbed:
            testbed.instance.gateway._view.table = None
            testbed.writer.write(REQUEST)
            await _wait_until(lambda: testbed.instance.gateway.in_flight)
            await testbed.stop_until(END_MS)
            received = await testbed.reader.read()
            assert received.startswith(b"HTTP/1.1 503")
            assert b"retry-after" in received

    asyncio.run(run())


def test_stop_finishes_request_of_which_a_part_was_read():
    async def run():
        async with _Testbed() as testbed:
            testbed.server.work_allowed.set()
            testbed.writer.write(REQUEST[:20])
            await testbed.writer.drain()
            await testbed.stop_until(LATE_MS)
            # The stop closes idle connections meanwhile.
            await asyncio.sleep(0.3)
            rest = REQUEST[20:].replace(b"Ms: 9000", b"Ms: 2000")
            testbed.writer.write(rest)
            received = await testbed.reader.read()
            assert received.startswith(b"HTTP/1.1 200")

    asyncio.run(run())
