"""Requests that a caller's connection accepts, and its responses."""

import asyncio

import pytest

from tarragonhinge import catalog
from tarragonhinge import http1
from tarragonhinge.http1.tests import caller_side
from tarragonhinge.http1.tests import parser_events

LIMITS = catalog.CallerLimits(
    header_bytes=1_000,
    body_bytes=2_000,
    header_timeout_ms=200,
    idle_timeout_ms=200,
)


class _Site:
    """A server with one client; the handler waits for a gate per target."""

    def __init__(self):
        self.requests = []
        self.bodies = []
        self.gates = {}
        self.cancelled = []
        self.running = 0
        self.max_running = 0
        self.is_stopping = False
        self.body = b""
        self.arrived = asyncio.Semaphore(0)

    async def wait_requests(self, count):
        for _ in range(count):
            await self.arrived.acquire()

    async def handle(self, request):
        self.requests.append(request)
        # The buffer is emptied with the response.
        self.bodies.append(bytes(request.body))
        self.arrived.release()
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            gate = self.gates.get(request.target)
            if gate is not None:
                await gate.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        finally:
            self.running -= 1
        body = self.body or f"{request.method} {request.target}".encode()
        return http1.HttpResponse(status=200, fields=[("x-a", "1")], body=body)

    def accept(self):
        stream = http1.TcpStream()
        connection = http1.CallerConnection(
            stream=stream,
            handle=self.handle,
            is_concurrent=lambda request: request.method == "GET",
            get_limits=lambda: LIMITS,
            is_stopping=lambda: self.is_stopping,
        )
        self.task = asyncio.create_task(connection.run())
        return stream

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.accept, "127.0.0.1", 0)
        address = self.server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(*address[:2])
        return self

    async def __aexit__(self, *_):
        self.writer.close()
        self.server.close()

    def send(self, text):
        self.writer.write(text.encode("latin-1"))

    async def read_response(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        fields = head.decode().lower()
        length = int(fields.split("content-length: ")[1].split("\r\n")[0])
        return fields, (await self.reader.readexactly(length)).decode()


def _get(target, extra=""):
    return f"GET {target} HTTP/1.1\r\nHost: a\r\n{extra}\r\n"


def _post(target, body="", extra=""):
    length = f"Content-Length: {len(body)}\r\n"
    return f"POST {target} HTTP/1.1\r\nHost: a\r\n{length}{extra}\r\n{body}"


def test_responses_are_in_order_of_requests():
    async def run():
        async with _Site() as site:
            site.gates = {f"/{n}": asyncio.Event() for n in (1, 2, 3)}
            site.send(_get("/1") + _get("/2") + _get("/3"))
            await site.wait_requests(3)
            for gate in reversed(site.gates.values()):
                gate.set()
            bodies = [(await site.read_response())[1] for _ in range(3)]
            assert bodies == ["GET /1", "GET /2", "GET /3"]
            assert site.max_running == 3

    asyncio.run(run())


def test_non_idempotent_request_waits_for_earlier_ones():
    async def run():
        async with _Site() as site:
            site.gates["/1"] = asyncio.Event()
            site.send(_get("/1") + _post("/2", "x"))
            await site.wait_requests(1)
            for _ in range(50):
                await asyncio.sleep(0)
            assert [r.target for r in site.requests] == ["/1"]
            site.gates["/1"].set()
            await site.read_response()
            assert (await site.read_response())[1] == "POST /2"

    asyncio.run(run())


def test_handler_is_cancelled_when_caller_disconnects():
    async def run():
        async with _Site() as site:
            site.gates["/1"] = asyncio.Event()
            site.send(_get("/1"))
            await site.wait_requests(1)
            site.writer.close()
            await asyncio.wait([site.task])
            assert site.cancelled == ["/1"]

    asyncio.run(run())


@pytest.mark.parametrize(
    ("text", "status"),
    [
        ("nonsense\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"),
        (_get("/", "X: " + "y" * 1_200 + "\r\n"), "431"),
        (_post("/", "z" * 2_001), "413"),
        ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", "400"),
        (
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            "Content-Length: 4\r\n\r\nabcd",
            "400",
        ),
        (
            "POST / HTTP/1.1\r\nHost: a\r\n"
            "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            "400",
        ),
        ("GET / HTTP/1.1\r\nHost: a\r\nX", "408"),
    ],
)
def test_invalid_request_gets_error_and_closes_connection(text, status):
    async def run():
        async with _Site() as site:
            site.send(text)
            head, _ = await site.read_response()
            assert head.startswith(f"http/1.1 {status}")
            assert "connection: close" in head
            assert await site.reader.read() == b""
            assert site.requests == []

    asyncio.run(run())


def test_response_before_invalid_request_is_complete():
    async def run():
        async with _Site() as site:
            site.send(_get("/1") + "nonsense\r\n\r\n")
            assert (await site.read_response())[1] == "GET /1"
            assert (await site.read_response())[0].startswith("http/1.1 400")

    asyncio.run(run())


@pytest.mark.parametrize(
    ("text", "body"),
    [
        (_post("/a", "hello"), b"hello"),
        (
            "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            "\r\n5\r\nhello\r\n0\r\n\r\n",
            b"hello",
        ),
        (_post("/a"), b""),
    ],
)
def test_bodies_are_read_completely(text, body):
    async def run():
        async with _Site() as site:
            site.send(text + _get("/b"))
            await site.read_response()
            assert (await site.read_response())[1] == "GET /b"
            assert site.bodies[0] == body

    asyncio.run(run())


@pytest.mark.parametrize("is_stopping", [False, True])
def test_stopping_closes_connection_after_response(is_stopping):
    async def run():
        async with _Site() as site:
            site.is_stopping = is_stopping
            site.send(_get("/1"))
            head, _ = await site.read_response()
            assert ("connection: close" in head) is is_stopping

    asyncio.run(run())


def test_requests_in_flight_at_stop_get_responses():
    async def run():
        async with _Site() as site:
            site.gates = {f"/{n}": asyncio.Event() for n in (1, 2, 3)}
            site.send(_get("/1") + _get("/2"))
            await site.wait_requests(2)
            site.is_stopping = True
            # Not handled, since an earlier response closes the connection.
            site.send(_get("/3"))
            await asyncio.sleep(0.05)
            site.gates["/1"].set()
            head, body = await site.read_response()
            assert body == "GET /1"
            assert "connection: close" not in head
            site.gates["/2"].set()
            head, body = await site.read_response()
            assert body == "GET /2"
            assert "connection: close" in head
            assert await site.reader.read() == b""
            assert [r.target for r in site.requests] == ["/1", "/2"]

    asyncio.run(run())


def test_head_response_has_no_body():
    async def run():
        async with _Site() as site:
            site.send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n" + _get("/2"))
            await site.reader.readuntil(b"\r\n\r\n")
            assert (await site.read_response())[1] == "GET /2"

    asyncio.run(run())


def test_body_in_chunks_of_one_byte_leaves_the_event_loop_to_others(
    monkeypatch,
):
    """Its size is limited, and so is the work between two turns."""
    counter = parser_events.EventCounter(monkeypatch)

    async def run():
        ticker = asyncio.create_task(counter.run())
        side = caller_side.CallerSide()
        side.send(
            "POST /a HTTP/1.1\r\nHost: h\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
            + "1\r\nx\r\n" * 1_500
            + "0\r\n\r\n"
        )
        await caller_side.settle(200)
        ticker.cancel()
        assert side.handled == ["/a"]
        assert side.count_responses() == 1

    asyncio.run(run())
    assert max(counter.counts) <= 100
