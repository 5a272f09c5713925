"""Large messages: what is refused, and what may follow on a connection."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import http1
from tarragonhinge.http1.tests import caller_side
from tarragonhinge import memory
from tarragonhinge.testing import run_manual

BODY_BYTES = 4_000_000


def _make_site(budget_bytes, handled):
    async def handle(request):
        handled.append(len(request.body))
        return http1.HttpResponse(status=200, fields=[])

    account = memory.MemoryAccount(budget_bytes=budget_bytes)
    stream = http1.TcpStream()
    connection = http1.CallerConnection(
        stream=stream,
        handle=handle,
        is_concurrent=lambda request: False,
        get_limits=lambda: catalog.CallerLimits(body_bytes=BODY_BYTES),
        is_stopping=lambda: False,
        account=account,
    )
    transport = caller_side.FakeTransport(stream)
    stream.connection_made(transport)
    return account, transport, connection


@pytest.mark.parametrize(
    ("budget_bytes", "length", "status"),
    [
        (1_000_000, BODY_BYTES, 503),
        (10_000_000, BODY_BYTES + 1, 413),
        (10_000_000, BODY_BYTES, 200),
    ],
)
def test_body_that_does_not_fit_is_refused_at_its_head(
    budget_bytes, length, status
):
    """Guards against a rest of a body that is taken for a request."""
    hidden = b"GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"

    async def run():
        handled = []
        account, transport, connection = _make_site(budget_bytes, handled)
        task = asyncio.create_task(connection.run())
        head = f"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: {length}"
        transport.stream.data_received(head.encode() + b"\r\n\r\n" + hidden)
        if status == 200:
            transport.stream.data_received(b"b" * (length - len(hidden)))
        await asyncio.sleep(5)
        lines = transport.received.split(b"\r\n")
        assert lines[0].split()[1] == str(status).encode()
        assert transport.received.count(b"HTTP/1.1") == 1
        assert task.done() is (status != 200)
        assert handled == ([length] if status == 200 else [])
        transport.abort()
        await task
        assert [account.get_used(kind) for kind in memory.Kind] == [0, 0, 0]

    run_manual(run())


@pytest.mark.parametrize("reads_rest", [False, True])
def test_early_response_of_a_server_that_has_not_read_the_body(reads_rest):
    """Guards against a next request within the rest of the body."""
    received = bytearray()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        if reads_rest:
            received.extend(await reader.read())

    async def run():
        server = await asyncio.start_server(
            serve, "127.0.0.1", 0, limit=65_536
        )
        host, port = server.sockets[0].getsockname()[:2]
        stream = await http1.connect(
            base.Address(f"{host}:{port}"), timeout_ms=5_000
        )
        connection = http1.ServerConnection(stream=stream, clock=base.Clock())
        request = http1.HttpRequest(
            method="POST",
            target="/a",
            fields=[("host", "h")],
            body=bytearray(b"b" * (32 << 20)),
        )
        response = await connection.exchange(
            request, recognize=lambda fields: True
        )
        assert response.body == b"ok"
        assert response.closes
        connection.close()
        server.close()
        await asyncio.sleep(0)
        assert bytes(received).count(b"b") == len(received)

    asyncio.run(run())


def test_server_that_stops_reading_holds_nothing_after_the_deadline():
    """Guards against a task that writes a body for ever."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=4_096)
        host, port = server.sockets[0].getsockname()[:2]
        stream = await http1.connect(
            base.Address(f"{host}:{port}"), timeout_ms=5_000
        )
        connection = http1.ServerConnection(stream=stream, clock=base.Clock())
        request = http1.HttpRequest(
            method="POST",
            target="/a",
            fields=[("host", "h")],
            body=bytearray(32 << 20),
        )
        exchange = asyncio.create_task(
            connection.exchange(request, recognize=lambda fields: True)
        )
        await asyncio.wait([exchange], timeout=0.2)
        exchange.cancel()
        connection.close()
        server.close()
        await asyncio.sleep(0.01)
        own = "_tcp_stream.py", "_server_connection.py"
        names = [
            task.get_coro().cr_code.co_filename for task in asyncio.all_tasks()
        ]
        assert not [name for name in names if name.endswith(own)]
        # Nothing refers to the body any more, so that it can be resized.
        del request.body[:]

    asyncio.run(run())


def test_bodies_on_their_way_to_one_server_are_bounded():
    """Guards against a server that crashes since it holds too much."""
    pool = http1.ConnectionPool(
        address=base.Address("127.0.0.1:1"), clock=base.Clock(), limit=8
    )
    assert pool.reserve_body(64 << 20)
    assert not pool.reserve_body(1)
    assert pool.reserve_body(0)
    pool.release_body(64 << 20)
    assert [pool.reserve_body(20 << 20) for _ in range(2)] == [True, False]


def test_body_that_is_emptied_ends_its_connection():
    """Guards against a next request that a server takes for the rest."""

    async def run():
        stream = http1.TcpStream()
        transport = caller_side.FakeTransport(stream)
        stream.connection_made(transport)
        transport.is_slow = True
        body = bytearray(200_000)
        writer = asyncio.create_task(stream.write_body(body))
        await asyncio.sleep(0)
        body.clear()
        transport.flush()
        await writer
        assert transport.is_closing()
        assert len(transport.received) < 200_000

    run_manual(run())
