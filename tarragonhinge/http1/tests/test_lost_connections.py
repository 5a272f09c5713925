"""Ended connections that show that the process of a server has ended."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import http1

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize(
    ("answered", "unanswered", "ended", "expected"),
    [(2, 0, 2, 4), (1, 0, 1, 2), (2, 0, 1, 0), (0, 2, 2, 0), (1, 0, 0, 0)],
)
def test_lost_connections(answered, unanswered, ended, expected):
    """Guards against restarts that go unnoticed, and against false ones."""

    async def run():
        writers = []

        async def serve(reader, writer):
            writers.append(writer)
            if len(writers) <= answered:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(ANSWER)
            await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        pool = http1.ConnectionPool(
            address=base.Address(f"{host}:{port}"), clock=base.Clock(), limit=4
        )
        connections = []
        for number in range(answered + unanswered):
            connections.append(await pool.acquire(fresh=True))
            if number < answered:
                await connections[-1].exchange(
                    http1.HttpRequest(
                        method="GET", target="/", fields=[("host", "h")]
                    ),
                    recognize=lambda _: True,
                )
        for connection in connections:
            pool.release(connection)
        for writer, connection in zip(
            writers[:ended], connections[:ended], strict=True
        ):
            writer.close()
            for _ in range(1_000):
                if not connection.is_reusable():
                    break
                await asyncio.sleep(0.001)
        assert pool.take_lost() == expected
        assert pool.take_lost() == 0
        pool.close()
        server.close()

    asyncio.run(run())
