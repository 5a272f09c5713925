"""Bytes without end from a server fail its exchange, within bounds."""

import asyncio
import contextlib
import itertools
import tracemalloc

import pytest

from tarragonhinge import base
from tarragonhinge import http1

#: Number of connections that receive bytes without end at the same time.
CONNECTIONS = 16

#: Half of the memory of a small instance, which has 200 MB.
LIMIT_BYTES = 100_000_000

PIECE = b"x" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


class _EndlessServer:
    """Sends a beginning, then a part over and over until it is closed."""

    def __init__(self, beginning, part):
        self._beginning = beginning
        self._part = part

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._beginning)
            while self._part:
                writer.write(self._part)
                await writer.drain()
            await reader.read()
        writer.close()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = base.Address(f"{host}:{port}")
        return self

    async def __aexit__(self, *_):
        self._server.close()

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


@pytest.mark.parametrize(
    ("beginning", "part"),
    [
        pytest.param(b"", b"x" * 1_000, id="no answer"),
        pytest.param(b"HTTP/1.1 200 ", b"x" * 1_000, id="status line"),
        pytest.param(OK, b"a: b\r\n" * 100, id="fields"),
        pytest.param(OK + b"a: ", b"x" * 1_000, id="one field"),
        pytest.param(
            b"", b"HTTP/1.1 100 Continue\r\n\r\n", id="interim responses"
        ),
        pytest.param(OK + b"\r\n", PIECE, id="body until close"),
        pytest.param(
            OK + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK, id="chunks"
        ),
        pytest.param(
            OK + b"Transfer-Encoding: chunked\r\n\r\n5;",
            b"x" * 1_000,
            id="chunk extension",
        ),
        pytest.param(
            OK + b"Content-Length: 99999999999\r\n\r\n", PIECE, id="length"
        ),
    ],
)
def test_bytes_without_end_fail_the_exchange(beginning, part):
    async def run():
        async with _EndlessServer(beginning, part) as server:
            with pytest.raises(http1.ExchangeError):
                await server.exchange()

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
