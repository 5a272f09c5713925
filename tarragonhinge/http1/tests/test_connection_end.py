"""No request is handled on a connection that closes, and none is lost."""

import asyncio
import socket

import pytest

from tarragonhinge import catalog
from tarragonhinge import http1
from tarragonhinge.http1.tests import test_caller_connection
from tarragonhinge.testing import run_manual

#: Number of turns of the event loop in which all that can run has run.
SETTLE_TURNS = 30

LIMITS = catalog.CallerLimits(
    header_bytes=1_000,
    body_bytes=2_000,
    header_timeout_ms=200,
    idle_timeout_ms=60_000,
)

_get = test_caller_connection._get
_post = test_caller_connection._post


class _Transport(asyncio.Transport):
    """Transport whose caller reads the bytes when `flush` is called."""

    def __init__(self, stream):
        super().__init__()
        self.stream = stream
        self.buffer = b""
        self.received = b""
        self.is_slow = False
        self.has_sent_eof = False
        self._is_closing = False

    def write(self, data):
        assert not self.has_sent_eof
        assert not self._is_closing
        self.buffer += data
        if self.is_slow:
            self.stream.pause_writing()
        else:
            self.flush()

    def flush(self):
        self.received += self.buffer
        self.buffer = b""
        if self.is_slow:
            self.is_slow = False
            self.stream.resume_writing()
        if self._is_closing:
            self.abort()

    def can_write_eof(self):
        return True

    def write_eof(self):
        self.has_sent_eof = True

    def close(self):
        if not self._is_closing:
            self._is_closing = True
            if not self.buffer:
                self.abort()

    def abort(self):
        self._is_closing = True
        loop = asyncio.get_running_loop()
        loop.call_soon(self.stream.connection_lost, None)

    def is_closing(self):
        return self._is_closing

    def get_write_buffer_size(self):
        return len(self.buffer)

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


class _Connection:
    """A caller's connection whose requests wait for a gate per target."""

    def __init__(self, *, is_connected=True):
        self.handled = []
        self.cancelled = []
        self.arrived = asyncio.Event()
        self.gates = {}
        self.is_stopping = False
        self.responses = {}
        stream = http1.TcpStream()
        self.transport = _Transport(stream)
        self.connection = http1.CallerConnection(
            stream=stream,
            handle=self.handle,
            is_concurrent=self.is_concurrent,
            get_limits=lambda: LIMITS,
            is_stopping=lambda: self.is_stopping,
        )
        if is_connected:
            stream.connection_made(self.transport)
        self.stream = stream
        self.task = asyncio.create_task(self.connection.run())

    def is_concurrent(self, request):
        return request.method == "GET"

    async def handle(self, request):
        self.handled.append(request.target)
        self.arrived.set()
        gate = self.gates.get(request.target)
        try:
            if gate is not None:
                await gate.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        response = self.responses.get(request.target)
        if isinstance(response, Exception):
            raise response
        return response or http1.HttpResponse(
            status=200, fields=[], body=request.target.encode()
        )

    def send(self, text):
        """Deliver bytes, as a transport does until it is closed."""
        if not self.transport.is_closing():
            self.stream.data_received(text.encode("latin-1"))

    def count_responses(self):
        return self.transport.received.count(b"HTTP/1.1 200")


async def _settle(turns=SETTLE_TURNS):
    for _ in range(turns):
        await asyncio.sleep(0)


@pytest.mark.parametrize("turns", range(8))
def test_request_read_in_turn_of_last_response_is_not_handled(turns):
    """It would be passed on to a server and its response lost."""

    async def run():
        site = _Connection()
        site.gates["/1"] = asyncio.Event()
        site.send(_get("/1"))
        await _settle()
        site.is_stopping = True
        site.gates["/1"].set()
        await _settle(turns)
        site.send(_get("/2"))
        await _settle()
        assert site.handled == ["/1"]
        assert site.count_responses() == 1

    run_manual(run())


def test_request_behind_unsent_last_response_is_not_handled():
    async def run():
        site = _Connection()
        site.transport.is_slow = True
        site.is_stopping = True
        site.send(_get("/1"))
        await _settle()
        site.send(_get("/2"))
        await _settle()
        site.transport.flush()
        await _settle()
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
        site = _Connection()
        site.gates["/1"] = asyncio.Event()
        site.send(first + _get("/2"))
        await _settle()
        assert site.handled == ["/1"]
        site.gates["/1"].set()
        await _settle()
        assert site.handled == ["/1"]
        assert site.count_responses() == 1

    run_manual(run())


@pytest.mark.parametrize("turns", range(4))
def test_request_read_in_turn_of_close_is_not_handled(turns):
    async def run():
        site = _Connection()
        site.send(_get("/1"))
        await _settle()
        loop = asyncio.get_running_loop()
        loop.call_soon(site.send, _get("/2"))
        await _settle(turns)
        if site.connection.is_idle:
            site.connection.close()
        await _settle()
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
        site = _Connection()
        site.gates["/1"] = asyncio.Event()
        site.is_stopping = is_stopping
        site.send(text)
        await _settle()
        assert site.handled == ["/1"]
        site.stream.eof_received()
        await _settle()
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
        site = _Connection()
        await _settle()
        assert site.connection.is_idle
        site.send(text)
        assert not site.connection.is_idle
        await _settle()
        assert not site.connection.is_idle

    run_manual(run())


def test_connection_with_partial_request_behind_response_is_not_idle():
    async def run():
        site = _Connection()
        site.send(_get("/1") + "GET /2")
        await _settle()
        assert site.count_responses() == 1
        assert not site.connection.is_idle
        site.send(" HTTP/1.1\r\nHost: a\r\n\r\n")
        await _settle()
        assert site.count_responses() == 2
        assert site.connection.is_idle

    run_manual(run())


def test_partial_request_behind_last_response_does_not_hold_a_stop():
    async def run():
        site = _Connection()
        site.is_stopping = True
        site.send(_get("/1") + "GET /2")
        await _settle()
        assert site.count_responses() == 1
        assert site.connection.is_idle

    run_manual(run())


def test_partial_request_ends_at_header_timeout_during_stop():
    async def run():
        site = _Connection()
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
        site = _Connection()
        site.is_stopping = is_stopping
        site.transport.is_slow = True
        site.send(_get("/1"))
        await asyncio.sleep(2)
        assert not site.connection.is_idle
        assert not site.task.done()
        site.transport.flush()
        await _settle()
        assert site.connection.is_idle

    run_manual(run())


def test_short_response_is_not_idle_until_sent():
    """A transport pauses writing above 64 KiB only, unless told otherwise."""

    async def run():
        loop = asyncio.get_running_loop()
        near, far = socket.socketpair()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        far.setblocking(False)
        site = _Connection(is_connected=False)
        site.is_stopping = True
        site.responses["/1"] = http1.HttpResponse(
            status=200, fields=[], body=b"x" * 40_000
        )
        await loop.create_connection(lambda: site.stream, sock=near)
        await loop.sock_sendall(far, _get("/1").encode())
        await site.arrived.wait()
        await _settle()
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
