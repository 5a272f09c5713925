"""Bytes without end from a server fail its exchange, within bounds."""

import asyncio
import itertools
import tracemalloc

import pytest

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge.http1.tests import endless_server
from tarragonhinge.http1.tests import parser_events

#: Number of connections that receive bytes without end at the same time.
CONNECTIONS = 16

#: Half of the memory of a small instance, which has 200 MB.
LIMIT_BYTES = 100_000_000

#: Largest number of parser events between two turns of the event loop, with
#: some room for responses of few parts, and for one response.
EVENTS_PER_TURN = 1_000
EVENTS_PER_RESPONSE = 50_000

OK, PIECE = endless_server.OK, endless_server.PIECE


class _EndlessServer(endless_server.EndlessServer):
    """Endless server, and a client that calls it."""

    async def exchange(self):
        stream = await http1.connect(self.address, timeout_ms=5_000)
        connection = http1.ServerConnection(stream=stream, clock=base.Clock())
        request = http1.HttpRequest(
            method="GET", target="/a", fields=[("host", "h")]
        )
        try:
            return await connection.exchange(
                request, recognize=lambda fields: True
            )
        finally:
            connection.close()


@pytest.mark.parametrize(("beginning", "part"), endless_server.FORMS)
def test_bytes_without_end_fail_the_exchange(beginning, part):
    async def run():
        async with _EndlessServer(beginning, part) as server:
            with pytest.raises(http1.ExchangeError):
                await server.exchange()

    asyncio.run(run())


# Guards against an instance that stands still: each connection parsed all that
# had arrived, 87,000 chunks of one byte, before any other task ran.
@pytest.mark.parametrize("connections", [1, CONNECTIONS])
def test_small_chunks_without_end_leave_the_event_loop_to_others(
    connections, monkeypatch
):
    counter = parser_events.EventCounter(monkeypatch)

    async def run():
        async with _EndlessServer(
            OK + b"Transfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n" * 2_000,
        ) as server:
            ticker = asyncio.create_task(counter.run())
            await asyncio.gather(
                *(server.exchange() for _ in range(connections)),
                return_exceptions=True,
            )
            ticker.cancel()

    asyncio.run(run())
    assert max(counter.counts) <= EVENTS_PER_TURN
    assert sum(counter.counts) <= connections * EVENTS_PER_RESPONSE


@pytest.mark.parametrize(
    ("beginning", "part"),
    [
        pytest.param(OK, b"a: b\r\n" * 20_000 + b"\r\n", id="many fields"),
        pytest.param(
            OK, b"a: " + b"x" * 100_000 + b"\r\n\r\n", id="a large field"
        ),
    ],
)
def test_large_head_is_rejected_although_it_ends(beginning, part):
    async def run():
        async with _EndlessServer(beginning, part) as server:
            with pytest.raises(http1.ExchangeError):
                await server.exchange()

    asyncio.run(run())


@pytest.mark.parametrize("size", [1, 200, 10_000])
def test_body_in_chunks_of_one_byte_is_received_whole(size):
    body = bytes(number % 251 for number in range(size))
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)

    async def run():
        async with _EndlessServer(
            OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n",
            b"",
        ) as server:
            assert (await server.exchange()).body == body

    asyncio.run(run())


def test_bytes_without_end_on_many_connections_take_bounded_memory():
    async def fail(server):
        with pytest.raises(http1.ExchangeError):
            await server.exchange()

    async def run():
        async with (
            _EndlessServer(OK + b"\r\n", PIECE) as server,
            asyncio.TaskGroup() as group,
        ):
            for _ in range(CONNECTIONS):
                group.create_task(fail(server))

    tracemalloc.start()
    try:
        asyncio.run(run())
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < LIMIT_BYTES


def test_small_response_is_received_beside_bytes_without_end():
    async def run():
        async with (
            _EndlessServer(OK + b"\r\n", PIECE) as endless,
            _EndlessServer(
                OK + b"Content-Length: 2\r\n\r\nok", b""
            ) as healthy,
        ):
            others = [
                asyncio.create_task(endless.exchange())
                for _ in range(CONNECTIONS)
            ]
            for _ in itertools.repeat(None, 5):
                response = await healthy.exchange()
                assert response.body == b"ok"
            await asyncio.gather(*others, return_exceptions=True)

    asyncio.run(run())
