"""No request is handled on a connection that closes, and none is lost."""

import asyncio
import errno
import socket

import pytest

from tarragonhinge import http1
from tarragonhinge.http1.tests import caller_side
from tarragonhinge.http1.tests import test_caller_connection
from tarragonhinge.testing import run_manual

_get = test_caller_connection._get
_post = test_caller_connection._post


@pytest.mark.parametrize("turns", range(8))
def test_request_read_in_turn_of_last_response_is_not_handled(turns):
    """It would be passed on to a server and its response lost."""

    async def run():
        site = caller_side.CallerSide()
        site.gates["/1"] = asyncio.Event()
        site.send(_get("/1"))
        await caller_side.settle()
        site.is_stopping = True
        site.gates["/1"].set()
        await caller_side.settle(turns)
        site.send(_get("/2"))
        await caller_side.settle()
        assert site.handled == ["/1"]
        assert site.count_responses() == 1

    run_manual(run())


def test_request_behind_unsent_last_response_is_not_handled():
    async def run():
        site = caller_side.CallerSide()
        site.transport.is_slow = True
        site.is_stopping = True
        site.send(_get("/1"))
        await caller_side.settle()
        site.send(_get("/2"))
        await caller_side.settle()
        site.transport.flush()
        await caller_side.settle()
        assert site.handled == ["/1"]
        assert site.count_responses() == 1

    run_manual(run())


@pytest.mark.parametrize(
    "first",
    [
        _get("/1", "Connection: close\r\n"),
        "GET /1 HTTP/1.0\r\nHost: a\r\n\r\n",
    ],
)
def test_request_behind_last_one_of_caller_is_not_handled(first):
    """The caller said that its connection closes (RFC 9112, 9.6)."""

    async def run():
        site = caller_side.CallerSide()
        site.gates["/1"] = asyncio.Event()
        site.send(first + _get("/2"))
        await caller_side.settle()
        assert site.handled == ["/1"]
        site.gates["/1"].set()
        await caller_side.settle()
        assert site.handled == ["/1"]
        assert site.count_responses() == 1

    run_manual(run())


@pytest.mark.parametrize("turns", range(4))
def test_request_read_in_turn_of_close_is_not_handled(turns):
    async def run():
        site = caller_side.CallerSide()
        site.send(_get("/1"))
        await caller_side.settle()
        loop = asyncio.get_running_loop()
        loop.call_soon(site.send, _get("/2"))
        await caller_side.settle(turns)
        if site.connection.is_idle:
            site.connection.close()
        await caller_side.settle()
        assert site.count_responses() == len(site.handled)

    run_manual(run())


@pytest.mark.parametrize(
    ("text", "is_stopping"),
    [
        (_get("/1", "Connection: close\r\n"), False),
        (_get("/1") + "nonsense\r\n\r\n", False),
        (_get("/1") + _get("/2"), True),
    ],
)
def test_handler_is_cancelled_if_caller_leaves_closing_connection(
    text, is_stopping
):
    async def run():
        site = caller_side.CallerSide()
        site.gates["/1"] = asyncio.Event()
        site.is_stopping = is_stopping
        site.send(text)
        await caller_side.settle()
        assert site.handled == ["/1"]
        site.stream.eof_received()
        await caller_side.settle()
        assert site.cancelled == ["/1"]
        assert site.task.done()

    run_manual(run())


@pytest.mark.parametrize(
    "text",
    [
        "G",
        "GET /1 HTTP/1.1\r\nHost: a\r\n",
        _post("/1", "body")[:-1],
        "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_connection_with_partial_request_is_not_idle(text):
    """A stop would close it while the rest of the request arrives."""

    async def run():
        site = caller_side.CallerSide()
        await caller_side.settle()
        assert site.connection.is_idle
        site.send(text)
        assert not site.connection.is_idle
        await caller_side.settle()
        assert not site.connection.is_idle

    run_manual(run())


def test_connection_with_partial_request_behind_response_is_not_idle():
    async def run():
        site = caller_side.CallerSide()
        site.send(_get("/1") + "GET /2")
        await caller_side.settle()
        assert site.count_responses() == 1
        assert not site.connection.is_idle
        site.send(" HTTP/1.1\r\nHost: a\r\n\r\n")
        await caller_side.settle()
        assert site.count_responses() == 2
        assert site.connection.is_idle

    run_manual(run())


def test_partial_request_behind_last_response_does_not_hold_a_stop():
    async def run():
        site = caller_side.CallerSide()
        site.is_stopping = True
        site.send(_get("/1") + "GET /2")
        await caller_side.settle()
        assert site.count_responses() == 1
        assert site.connection.is_idle

    run_manual(run())


def test_partial_request_ends_at_header_timeout_during_stop():
    async def run():
        site = caller_side.CallerSide()
        site.is_stopping = True
        site.send("GET /1")
        await asyncio.sleep(1)
        assert site.transport.received.startswith(b"HTTP/1.1 408")
        assert site.connection.is_idle

    run_manual(run())


@pytest.mark.parametrize("is_stopping", [False, True])
def test_connection_with_unsent_response_is_not_idle(is_stopping):
    """The end of the process would lose the response."""

    async def run():
        site = caller_side.CallerSide()
        site.is_stopping = is_stopping
        site.transport.is_slow = True
        site.send(_get("/1"))
        await asyncio.sleep(2)
        assert not site.connection.is_idle
        assert not site.task.done()
        site.transport.flush()
        await caller_side.settle()
        assert site.connection.is_idle

    run_manual(run())


def test_short_response_is_not_idle_until_sent():
    """A transport pauses writing above 64 KiB only, unless told otherwise."""

    async def run():
        loop = asyncio.get_running_loop()
        near, far = socket.socketpair()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        far.setblocking(False)
        site = caller_side.CallerSide(is_connected=False)
        site.is_stopping = True
        site.responses["/1"] = http1.HttpResponse(
            status=200, fields=[], body=b"x" * 40_000
        )
        await loop.create_connection(lambda: site.stream, sock=near)
        await loop.sock_sendall(far, _get("/1").encode())
        await site.arrived.wait()
        await caller_side.settle()
        assert site.stream.unsent_bytes
        assert not site.connection.is_idle
        assert not site.task.done()
        received = b""
        while data := await loop.sock_recv(far, 65_536):
            received += data
        assert received.endswith(b"\r\n\r\n" + b"x" * 40_000)
        far.close()
        await asyncio.wait([site.task])

    asyncio.run(run())


def test_connection_ends_if_writer_fails():
    """The requests that follow would be passed on and never answered."""

    async def run():
        site = caller_side.CallerSide()
        site.gates["/2"] = asyncio.Event()
        site.send(_get("/1") + _get("/2"))

        def fail(data):
            raise RuntimeError("the transport failed")

        site.transport.write = fail
        await caller_side.settle()
        site.send(_get("/3"))
        await caller_side.settle()
        assert "/3" not in site.handled
        assert site.cancelled == ["/2"]
        assert isinstance(site.task.exception(), RuntimeError)

    run_manual(run())


def test_request_behind_last_response_does_not_reset_connection():
    """A reset discards what the caller has not received yet."""

    async def run():
        loop = asyncio.get_running_loop()
        async with test_caller_connection._Site() as site:
            site.is_stopping = True
            site.body = b"x" * 200_000
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.setblocking(False)
            address = site.server.sockets[0].getsockname()
            await loop.sock_connect(caller, address)
            await loop.sock_sendall(caller, _get("/1").encode())
            await site.wait_requests(1)
            await asyncio.sleep(0.05)
            await loop.sock_sendall(caller, _get("/2").encode())
            received = b""
            while data := await loop.sock_recv(caller, 65_536):
                received += data
            caller.close()
            assert received.endswith(b"\r\n\r\n" + site.body)
            assert [r.target for r in site.requests] == ["/1"]

    asyncio.run(run())


def test_lingering_connection_is_idle_but_not_closed_early():
    """A stop neither waits for it nor resets it."""

    async def run():
        site = caller_side.CallerSide()
        site.is_stopping = True
        site.send(_get("/1"))
        await caller_side.settle()
        assert site.transport.has_sent_eof
        site.send(_get("/2"))
        await caller_side.settle()
        assert site.connection.is_idle
        site.connection.close()
        await caller_side.settle()
        assert not site.transport.is_closing()
        site.stream.eof_received()
        await caller_side.settle()
        assert site.task.done()
        assert site.handled == ["/1"]

    run_manual(run())


def test_lingering_connection_ends_if_caller_does_not_close():
    async def run():
        site = caller_side.CallerSide()
        site.is_stopping = True
        site.send(_get("/1"))
        await asyncio.sleep(10)
        assert site.task.done()
        assert site.transport.is_closing()

    run_manual(run())


def test_connection_reset_behind_last_response_ends_without_error():
    """The socket is then no longer connected; asyncio passes that on."""

    async def run():
        site = caller_side.CallerSide()
        site.is_stopping = True

        def fail():
            raise OSError(errno.ENOTCONN, "not connected")

        site.transport.write_eof = fail
        site.send(_get("/1"))
        await asyncio.sleep(10)
        assert site.task.done()
        assert site.task.exception() is None

    run_manual(run())


def test_request_of_caller_that_has_left_is_not_handled():
    """It waited behind a full pipeline."""

    async def run():
        site = caller_side.CallerSide()
        site.gates = {f"/{n}": asyncio.Event() for n in range(40)}
        site.send("".join(_get(f"/{n}") for n in range(40)))
        await caller_side.settle()
        handled = list(site.handled)
        assert len(handled) < 40
        site.stream.eof_received()
        await asyncio.sleep(10)
        assert site.handled == handled
        assert sorted(site.cancelled) == sorted(handled)
        assert site.task.done()

    run_manual(run())


def test_request_that_arrives_with_end_of_caller_is_not_handled():
    async def run():
        site = caller_side.CallerSide()
        await caller_side.settle()
        site.send(_get("/1"))
        site.stream.eof_received()
        await caller_side.settle()
        assert site.handled == []
        assert site.task.done()

    run_manual(run())
