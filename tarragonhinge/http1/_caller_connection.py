"""Server side of a caller's HTTP/1.1 connection."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import enum

import h11

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.http1 import _exchange
from tarragonhinge.http1 import _messages
from tarragonhinge.http1 import _parser_turns
from tarragonhinge.http1 import _read_deadline
from tarragonhinge.http1 import _tcp_stream

#: Largest number of pipelined requests of one connection.
PIPELINE_LIMIT = 16

#: Messages with which handlers are cancelled: the caller disconnected, or the
#: connection is closed by this side.
DISCONNECTED = "disconnected"
CONNECTION_CLOSED = "connection_closed"

#: Interval at which a connection that waits for responses checks whether its
#: caller has disconnected.
END_CHECK_MS = 100

#: Longest time for which a connection is read on, without handling anything,
#: after its last response.
LINGER_MS = 1_000

Handler = Callable[[_messages.HttpRequest], Awaitable[_messages.HttpResponse]]


class _State(enum.Enum):
    """Whether requests are started."""

    OPEN = "open"
    #: What is read is not handled any more; the last response that is due
    #: closes the connection.
    CLOSING = "closing"


class _ReadEndedError(Exception):
    """No more requests can be read.

    Parameters
    ----------
    status : int or None
        Status of the final response; None if the caller has disconnected.
    """

    def __init__(self, status: int | None) -> None:
        super().__init__(status)
        self.status = status


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
    """

    def __init__(
        self,
        *,
        stream: _tcp_stream.TcpStream,
        handle: Handler,
        is_concurrent: Callable[[_messages.HttpRequest], bool],
        get_limits: Callable[[], catalog.CallerLimits],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._handle = handle
        self._is_concurrent = is_concurrent
        self._get_limits = get_limits
        self._is_stopping = is_stopping
        self._unparsed = b""
        self._is_receiving = False
        self._answered_at = 0.0
        self._queue: collections.deque[_exchange.Exchange] = (
            collections.deque()
        )
        self._changed = asyncio.Event()
        self._has_room = asyncio.Event()
        self._state = _State.OPEN
        self._tasks: set[asyncio.Task] = set()

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
        return not self._is_receiving and not self._stream.has_unread

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

    def _cancel_handlers(self, cause: str) -> None:
        for task in self._tasks:
            task.cancel(cause)

    async def _read(self) -> None:
        """Read until the caller disconnects."""
        try:
            await self._read_requests()
        except _ReadEndedError as end:
            if end.status is None:
                return
            if self._state is _State.OPEN:
                self._reject(end.status)
        while await self._stream.read():
            pass

    async def _read_requests(self) -> None:
        """Start the received requests until the connection is to close."""
        while self._state is _State.OPEN:
            limits = self._get_limits()
            parser = h11.Connection(
                h11.SERVER, max_incomplete_event_size=limits.header_bytes
            )
            request = await self._read_request(parser, limits)
            if self._queue and self._is_stopping():
                # The response to an earlier request closes the connection.
                self._state = _State.CLOSING
            if self._state is not _State.OPEN or self._stream.is_ended:
                return
            if parser.their_state is h11.MUST_CLOSE:
                # The caller sends no more requests (RFC 9112, 9.6).
                self._state = _State.CLOSING
            await self._start_request(request, parser)

    async def _start_request(
        self, request: _messages.HttpRequest, parser: h11.Connection
    ) -> None:
        """Start to handle a request; wait while too many are pending.

        A request that is not concurrent is handled after the preceding ones.
        """
        is_concurrent = self._is_concurrent(request)
        preceding = [exchange.response for exchange in self._queue]
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._queue.append(
            _exchange.Exchange(
                parser=parser, response=future, method=request.method
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
        await self._wait_for_responses(PIPELINE_LIMIT - 1)

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
        if not future.done():
            future.set_result(response)

    async def _read_request(
        self, parser: h11.Connection, limits: catalog.CallerLimits
    ) -> _messages.HttpRequest:
        """Return the next complete request."""
        if self._unparsed:
            parser.receive_data(self._unparsed)
        head: h11.Request | None = None
        body = bytearray()
        event_count = 0
        deadline = _read_deadline.ReadDeadline(
            limits=limits, has_started=self._is_receiving
        )
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                raise _ReadEndedError(error.error_status_hint) from error
            event_count += 1
            await _parser_turns.PARSER_TURNS.give_way(event_count)
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue:
                    await self._wait_for_responses(0)
                    self._write_continue(parser)
                data = await self._read_bytes(deadline, head is not None)
                if not data and not self._is_receiving:
                    raise _ReadEndedError(None)
                self._is_receiving = True
                deadline.start()
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                # The parser limits only a head that arrives in several reads.
                if _count_head_bytes(event) > limits.header_bytes:
                    raise _ReadEndedError(431)
                if event.method == b"CONNECT":
                    # A success would turn the connection into a tunnel.
                    raise _ReadEndedError(501)
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise _ReadEndedError(413)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise _ReadEndedError(None)
        trailing, _ = parser.trailing_data
        self._unparsed = bytes(trailing)
        self._is_receiving = bool(trailing)
        return _messages.HttpRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            fields=_messages.decode_fields(head.headers),
            body=bytes(body),
        )

    def _write_continue(self, parser: h11.Connection) -> None:
        """Let the caller send the body."""
        interim = h11.InformationalResponse(status_code=100, headers=[])
        data = parser.send(interim)
        if self._state is _State.OPEN:
            self._stream.write(data)

    async def _read_bytes(
        self, deadline: _read_deadline.ReadDeadline, has_head: bool
    ) -> bytes:
        timeout_ms = deadline.compute_timeout_ms(has_head=has_head)
        while True:
            try:
                async with asyncio.timeout(timeout_ms / base.MS_PER_S):
                    return await self._stream.read()
            except TimeoutError:
                if (
                    self._queue
                    or self._stream.has_unread
                    or self._stream.unsent_bytes
                ):
                    continue
                if deadline.has_started:
                    raise _ReadEndedError(408) from None
                timeout_ms = deadline.compute_idle_ms(self._answered_at)
                if timeout_ms <= 0:
                    raise _ReadEndedError(None) from None

    def _reject(self, status: int) -> None:
        """Queue an error response behind the pending responses."""
        self._state = _State.CLOSING
        parser = h11.Connection(h11.SERVER)
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        future.set_result(_messages.HttpResponse(status=status, fields=[]))
        self._queue.append(_exchange.Exchange(parser=parser, response=future))
        self._changed.set()

    async def _write_responses(self) -> None:
        """Write the responses in the order of their requests."""
        while True:
            while not self._queue:
                self._changed.clear()
                await self._changed.wait()
            exchange = self._queue[0]
            await asyncio.wait([exchange.response])
            if exchange.response.cancelled():
                return
            response = exchange.response.result()
            is_last = len(self._queue) == 1
            if response.closes or (is_last and self._is_stopping()):
                self._state = _State.CLOSING
            data, keep_open = _exchange.encode_response(
                exchange,
                response,
                closes=response.closes
                or (is_last and self._state is _State.CLOSING),
            )
            self._stream.write(data)
            self._queue.popleft()
            self._has_room.set()
            if not keep_open:
                self._state = _State.CLOSING
                self._cancel_handlers(CONNECTION_CLOSED)
            await self._stream.drain()
            self._answered_at = asyncio.get_running_loop().time()
            if not keep_open:
                return


def _count_head_bytes(head: h11.Request) -> int:
    """Return the size of a request's head, without delimiters."""
    size = len(head.method) + len(head.target)
    return size + sum(len(name) + len(value) for name, value in head.headers)
