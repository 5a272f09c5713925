"""A caller's connection in memory, whose handler tests control."""

import asyncio

from tarragonhinge import catalog
from tarragonhinge import http1
from tarragonhinge import memory

#: Number of turns of the event loop in which all that can run has run.
SETTLE_TURNS = 30

LIMITS = catalog.CallerLimits(
    header_bytes=1_000,
    body_bytes=2_000,
    header_timeout_ms=200,
    idle_timeout_ms=60_000,
)


class FakeTransport(asyncio.Transport):
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


class CallerSide:
    """A caller's connection whose requests wait for a gate per target."""

    def __init__(self, *, is_connected=True, account=None):
        self.handled = []
        self.cancelled = []
        self.arrived = asyncio.Event()
        self.gates = {}
        self.is_stopping = False
        self.responses = {}
        stream = http1.TcpStream()
        self.transport = FakeTransport(stream)
        self.connection = http1.CallerConnection(
            stream=stream,
            handle=self.handle,
            is_concurrent=self.is_concurrent,
            get_limits=lambda: LIMITS,
            is_stopping=lambda: self.is_stopping,
            account=account or memory.MemoryAccount(budget_bytes=1 << 30),
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


async def settle(turns=SETTLE_TURNS):
    for _ in range(turns):
        await asyncio.sleep(0)
