"""Only the complete response to the sent request is accepted."""

import asyncio
import contextlib

import pytest

from tarragonhinge import base
from tarragonhinge import http1

MATCHING = "HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 2\r\n\r\nok"
STALE = "HTTP/1.1 200 OK\r\nid: 6\r\nContent-Length: 3\r\n\r\nold"
UNTIL_CLOSE = "HTTP/1.1 200 OK\r\nid: 7\r\n\r\nok"


class _ScriptedServer:
    """Sends scripted bytes after it has read a request."""

    def __init__(self, script, *, closes=False):
        self.script = script
        self.closes = closes
        self.received = b""

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            self.received = await reader.readuntil(b"\r\n\r\n")
            for part in self.script:
                writer.write(part.encode("latin-1"))
                await writer.drain()
                await asyncio.sleep(0)
            if self.closes:
                writer.close()
            else:
                await reader.read()
                writer.close()

    @contextlib.asynccontextmanager
    async def connect(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        stream = await http1.connect(
            base.Address(f"{host}:{port}"), timeout_ms=5_000
        )
        yield http1.ServerConnection(stream=stream, clock=base.Clock())
        stream.abort()
        server.close()


async def _exchange(connection):
    request = http1.HttpRequest(
        method="GET", target="/a?b=c", fields=[("host", "h")]
    )
    return await connection.exchange(
        request, recognize=lambda fields: dict(fields).get("id") == "7"
    )


@pytest.mark.parametrize(
    ("script", "closes", "is_reusable"),
    [
        ([MATCHING], False, True),
        ([MATCHING[:30], MATCHING[30:]], False, True),
        ([STALE + MATCHING], False, False),
        ([STALE, MATCHING], False, False),
        ([MATCHING + "HTTP/1.1 junk"], False, False),
        ([UNTIL_CLOSE], True, False),
    ],
)
def test_complete_response_is_returned(script, closes, is_reusable):
    async def run():
        async with _ScriptedServer(
            script, closes=closes
        ).connect() as connection:
            response = await _exchange(connection)
            assert (response.status, response.body) == (200, b"ok")
            assert (not response.closes) is is_reusable

    asyncio.run(run())


@pytest.mark.parametrize(
    ("script", "closes"),
    [
        ([MATCHING[:-1]], True),
        ([""], True),
        (["nonsense\r\n\r\n"], False),
        ([STALE], True),
        ([STALE] * 6, False),
    ],
)
def test_invalid_response_is_an_error(script, closes):
    async def run():
        async with _ScriptedServer(
            script, closes=closes
        ).connect() as connection:
            with pytest.raises(http1.ExchangeError) as caught:
                await _exchange(connection)
            assert caught.value.sent

    asyncio.run(run())


def test_unsolicited_bytes_end_idle_connection():
    async def run():
        server = _ScriptedServer([MATCHING, "late"])
        async with server.connect() as connection:
            response = await _exchange(connection)
            for _ in range(1_000):
                if response.closes or not connection.is_reusable():
                    break
                await asyncio.sleep(0.001)
            assert response.closes or not connection.is_reusable()
            assert server.received.startswith(b"GET /a?b=c HTTP/1.1\r\n")

    asyncio.run(run())


@pytest.mark.parametrize("fresh", [True, False])
def test_long_idle_connection_is_not_used_for_non_idempotent_request(
    fresh,
):
    async def run():
        accepted = []

        async def serve(reader, writer):
            accepted.append(writer)
            with contextlib.suppress(OSError, EOFError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(MATCHING.encode())
                await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        clock = base.Clock()
        pool = http1.ConnectionPool(
            address=base.Address(f"{host}:{port}"), clock=clock, limit=4
        )
        connection = await pool.acquire(fresh=fresh)
        await _exchange(connection)
        connection.used_at = clock.now() - 2_000
        pool.release(connection)
        acquired = await pool.acquire(fresh=fresh)
        assert (acquired is connection) is not fresh
        pool.discard(acquired)
        pool.close()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("seconds", ["\xb2", "9" * 5_000, "-1", ""])
def test_invalid_keep_alive_does_not_lose_response(seconds):
    """An error of int() would replace the server's response by a 502."""
    script = MATCHING.replace(
        "id: 7", f"id: 7\r\nKeep-Alive: timeout={seconds}"
    )

    async def run():
        server = _ScriptedServer([script])
        async with server.connect() as connection:
            response = await _exchange(connection)
            assert response.body == b"ok"
            assert connection.keep_alive_ms is None

    asyncio.run(run())


# Guards against a success with an empty or short body, framed as whole, for
# an answer that ends in the middle of its head.
@pytest.mark.parametrize(
    "head",
    [
        "HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 2\r\n\r",
        "HTTP/1.1 200 OK\r\nid: 7\r\nTransfer-Encoding: chunked\r\n\r",
        "HTTP/1.1 200 OK\r\nid: 7\r\nSeal: a\r\n\r",
        "HTTP/1.0 200 OK\r\nid: 7\r\n\r",
    ],
)
def test_response_that_ends_in_its_head_is_no_response(head):
    async def run():
        for length in range(len(head) + 1):
            async with _ScriptedServer(
                [head[:length]], closes=True
            ).connect() as connection:
                with pytest.raises(http1.ExchangeError):
                    await _exchange(connection)

    asyncio.run(run())
