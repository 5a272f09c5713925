"""Server side of a caller's HTTP/1.1 connection."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import enum
import weakref

import h11

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.http1 import _exchange
from tarragonhinge.http1 import _messages
from tarragonhinge.http1 import _request_reader
from tarragonhinge.http1 import _tcp_stream
from tarragonhinge import memory

#: Largest number of pipelined requests of one connection.
PIPELINE_LIMIT = 16

#: Messages with which handlers are cancelled: the caller disconnected, or the
#: connection is closed by this side.
DISCONNECTED = "disconnected"
CONNECTION_CLOSED = "connection_closed"

#: Memory of a connection whose request waits for memory: 32 KB were measured,
#: and 14.7 KB for an idle one.
CONNECTION_BYTES = 32_768

#: Size up to which a response is written at once.
SMALL_RESPONSE_BYTES = 1 << 16

#: Interval at which a connection that waits for responses checks whether its
#: caller has disconnected.
END_CHECK_MS = 100

#: Longest time for which a connection is read on, without handling anything,
#: after its last response.
LINGER_MS = 1_000

Handler = Callable[[_messages.HttpRequest], Awaitable[_messages.HttpResponse]]

#: Memory of connections whose process names no account.
_UNBOUNDED = memory.MemoryAccount(budget_bytes=memory.compute_budget(None))


def _make_refusal(retry_after_ms: int) -> _messages.HttpResponse:
    return _messages.HttpResponse(status=503, fields=[])


class _State(enum.Enum):
    """Whether requests are started."""

    OPEN = "open"
    #: What is read is not handled any more; the last response that is due
    #: closes the connection.
    CLOSING = "closing"


class CallerConnection:
    """Reads pipelined requests and writes the responses in order.

    Pipelined requests that `is_concurrent` accepts, the idempotent ones, are
    handled concurrently.  Any other request waits for the requests before it:
    if one of their responses closed the connection, the caller would not learn
    the outcome.

    Parameters
    ----------
    stream : TcpStream
        The open connection.
    handle : callable
        Coroutine function that returns the response to a request.  It is
        cancelled, with the cause as the message, if the caller disconnects
        or the connection is closed.
    is_concurrent : callable
        Returns whether a request may be handled concurrently with earlier
        ones.
    get_limits : callable
        Returns the current limits.
    is_stopping : callable
        Returns whether the instance is stopping.  The last response then
        closes the connection.
    account : MemoryAccount
        Memory of all connections.
    make_refusal : callable
        Returns the response to a request for which there is no memory,
        given the time in milliseconds after which the caller may retry.
    record_stall : callable
        Called with the address of the caller and what it held, if its
        connection is closed since memory is short.
    """

    def __init__(
        self,
        *,
        stream: _tcp_stream.TcpStream,
        handle: Handler,
        is_concurrent: Callable[[_messages.HttpRequest], bool],
        get_limits: Callable[[], catalog.CallerLimits],
        is_stopping: Callable[[], bool],
        account: memory.MemoryAccount = _UNBOUNDED,
        make_refusal: Callable[[int], _messages.HttpResponse] = _make_refusal,
        record_stall: Callable[[str, memory.Holding], None] = (
            lambda peer, holding: None
        ),
    ) -> None:
        self._stream = stream
        self._handle = handle
        self._is_concurrent = is_concurrent
        self._get_limits = get_limits
        self._is_stopping = is_stopping
        self._make_refusal = make_refusal
        self._record_stall = record_stall
        self._queue: collections.deque[_exchange.Exchange] = (
            collections.deque()
        )
        self._changed = asyncio.Event()
        self._has_room = asyncio.Event()
        self._state = _State.OPEN
        self._tasks: set[asyncio.Task] = set()
        # What belongs to the connection refers to it weakly, so that it is
        # freed with its last use and not by the collector.
        own = weakref.proxy(self)
        self._memory = memory.ClientMemory(
            account=account,
            connection_bytes=CONNECTION_BYTES,
            get_moved=lambda: stream.moved_bytes,
            get_unread=stream.count_unread,
            awaits_client=lambda: own._awaits_client(),
            close_stalled=lambda holding: own._close_stalled(holding),
        )
        stream.watch_buffer(
            report_size=lambda count: own._memory.set_window(count),
            report_pause=lambda is_paused: own._memory.set_paused(is_paused),
        )
        self._reader = _request_reader.RequestReader(
            stream=stream,
            client=self._memory,
            has_pending=lambda: bool(own._queue),
            wait_for_pending=lambda: own._wait_for_responses(0),
            write=lambda data: own._write_interim(data),
        )

    @property
    def answered_at(self) -> float:
        """Time of the event loop at which the last response was sent."""
        return self._reader.answered_at

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled.

        A request counts from its first byte until its response is passed to
        the kernel.
        """
        if self._queue or self._stream.unsent_bytes:
            return False
        if self._state is _State.CLOSING:
            return True
        return not self._reader.is_receiving and not self._stream.has_unread

    @property
    def is_closing(self) -> bool:
        """Whether it is closed, or will be with its last response."""
        return self._state is _State.CLOSING

    @property
    def peer(self) -> str:
        """Address of the caller."""
        return self._stream.peer

    @property
    def is_incomplete(self) -> bool:
        """Whether it waits for the rest of its only request."""
        return not self._queue and self._reader.is_receiving

    def _awaits_client(self) -> bool:
        """Return whether the next move is the caller's."""
        if self._stream.unsent_bytes:
            return True
        return not self._queue and (self._reader.awaits_client or self.is_idle)

    def _close_stalled(self, holding: memory.Holding) -> None:
        """Close the connection, since its caller holds memory."""
        self._record_stall(self._stream.peer, holding)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once; unsent responses are lost."""
        self._state = _State.CLOSING
        self._stream.abort()

    def close(self) -> None:
        """Close the connection unless it is closing already."""
        if self._state is _State.OPEN:
            self._state = _State.CLOSING
            self._stream.close()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        reader = asyncio.create_task(self._read())
        writer = asyncio.create_task(self._write_responses())
        try:
            ended, _ = await asyncio.wait(
                [reader, writer], return_when=asyncio.FIRST_COMPLETED
            )
            for task in ended:
                task.result()
            if not reader.done():
                # Unread bytes would reset the connection, and the caller
                # might lose the last response (RFC 9112, 9.6).
                self._stream.write_eof()
                await asyncio.wait([reader], timeout=LINGER_MS / base.MS_PER_S)
        finally:
            self._state = _State.CLOSING
            tasks = [reader, writer, *self._tasks]
            # The reader ends if the caller disconnects.
            has_left = reader.done() and not writer.done()
            self._cancel_handlers(
                DISCONNECTED if has_left else CONNECTION_CLOSED
            )
            reader.cancel()
            writer.cancel()
            self._stream.close()
            await asyncio.wait(tasks)
            # The listener may refer to the connection for another turn.
            self._queue.clear()
            self._reader.discard()
            self._memory.close()

    def _cancel_handlers(self, cause: str) -> None:
        for task in self._tasks:
            task.cancel(cause)

    async def _read(self) -> None:
        """Read until the caller disconnects."""
        try:
            await self._read_requests()
        except _request_reader.ReadEndedError as end:
            if end.status is None:
                return
            if self._state is _State.OPEN:
                self._reject(end)
        await self._stream.discard_rest()

    async def _read_requests(self) -> None:
        """Start the received requests until the connection is to close."""
        while self._state is _State.OPEN:
            if not await self._accept_request():
                return
            await self._wait_for_responses(PIPELINE_LIMIT - 1)

    async def _accept_request(self) -> bool:
        """Read and start one request; return whether it was started.

        No reference to the request outlives the call, so that an idle
        connection does not hold the body of its last request.
        """
        limits = self._get_limits()
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        request = await self._reader.read(parser, limits)
        if self._queue and self._is_stopping():
            # The response to an earlier request closes the connection.
            self._state = _State.CLOSING
        if self._state is not _State.OPEN or self._stream.is_ended:
            return False
        if parser.their_state is h11.MUST_CLOSE:
            # The caller sends no more requests (RFC 9112, 9.6).
            self._state = _State.CLOSING
        self._start_request(request, parser)
        return True

    def _start_request(
        self, request: _messages.HttpRequest, parser: h11.Connection
    ) -> None:
        """Start to handle a request.

        A request that is not concurrent is handled after the preceding ones.
        """
        is_concurrent = self._is_concurrent(request)
        preceding = [exchange.response for exchange in self._queue]
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._queue.append(
            _exchange.Exchange(
                parser=parser,
                response=future,
                method=request.method,
                usage=request.usage,
            )
        )
        task = asyncio.create_task(
            self._run_request(
                request, future, [] if is_concurrent else preceding
            )
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._changed.set()

    async def _wait_for_responses(self, limit: int) -> None:
        """Wait until at most `limit` responses are pending.

        Returns earlier if the caller disconnects.
        """
        while len(self._queue) > limit and not self._stream.is_ended:
            self._has_room.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(END_CHECK_MS / base.MS_PER_S):
                    await self._has_room.wait()

    async def _run_request(
        self,
        request: _messages.HttpRequest,
        future: asyncio.Future,
        preceding: list[asyncio.Future],
    ) -> None:
        try:
            if preceding:
                await asyncio.wait(preceding)
            response = await self._handle(request)
        except asyncio.CancelledError:
            future.cancel()
            raise
        except Exception as error:
            response = _messages.HttpResponse(status=502, fields=[])
            asyncio.get_running_loop().call_exception_handler(
                {"message": "handling a request failed", "exception": error}
            )
        # The request is not sent any more.
        request.usage.release(memory.Kind.REQUEST)
        if not future.done():
            future.set_result(response)

    def _write_interim(self, data: bytes) -> None:
        if self._state is _State.OPEN:
            self._stream.write(data)

    def _reject(self, end: _request_reader.ReadEndedError) -> None:
        """Queue an error response behind the pending responses."""
        self._state = _State.CLOSING
        if end.status == 503:
            response = self._make_refusal(end.retry_after_ms)
        else:
            response = _messages.HttpResponse(status=end.status, fields=[])
        parser = h11.Connection(h11.SERVER)
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        future.set_result(response)
        self._queue.append(_exchange.Exchange(parser=parser, response=future))
        self._changed.set()

    async def _write_responses(self) -> None:
        """Write the responses in the order of their requests."""
        while True:
            while not self._queue:
                self._changed.clear()
                await self._changed.wait()
            if not await self._write_response(self._queue[0]):
                return

    def _closes_with_last(self) -> bool:
        """Return whether the last response that is due closes it.

        There may be no room for its receive buffer, which the kernel keeps as
        large as the last body has made it.
        """
        return self._is_stopping() or not self._memory.may_keep_window

    async def _write_response(self, exchange: _exchange.Exchange) -> bool:
        """Write one response; return whether to keep the connection."""
        if exchange.usage is not None:
            exchange.usage.promote()
        await asyncio.wait([exchange.response])
        if exchange.response.cancelled():
            return False
        response = exchange.response.result()
        is_last = len(self._queue) == 1
        if response.closes or (is_last and self._closes_with_last()):
            self._state = _State.CLOSING
        head, body, keep_open = _exchange.encode_response(
            exchange,
            response,
            closes=response.closes
            or (is_last and self._state is _State.CLOSING),
        )
        if len(body) <= SMALL_RESPONSE_BYTES:
            self._stream.write(head + body)
        else:
            self._stream.write(head)
            await self._stream.write_body(body)
        self._queue.popleft()
        self._has_room.set()
        if not keep_open:
            self._state = _State.CLOSING
            self._cancel_handlers(CONNECTION_CLOSED)
        await self._stream.drain()
        if exchange.usage is not None:
            exchange.usage.close()
        self._reader.answered_at = asyncio.get_running_loop().time()
        return keep_open
