"""Connection of a caller."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

import h11

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.http1 import _messages
from tarragonhinge.http1 import _tcp_stream

#: Requests of one connection that are at work or wait for their turn.
PIPELINE_LIMIT = 16

#: Time to take the last answer before the connection is closed.
LINGER_MS = 1_000

Handler = Callable[[_messages.HttpRequest], Awaitable[_messages.HttpResponse]]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Exchange:
    """A request that was read, with the parser that frames its answer."""

    parser: h11.Connection
    answer: asyncio.Future[_messages.HttpResponse]
    method: str = ""
    closes: bool = False


class _ReadEndedError(Exception):
    """No more requests can be read; `status` tells the caller why."""

    def __init__(self, status: int | None) -> None:
        super().__init__(status)
        self.status = status


class CallerConnection:
    """Reads requests, hands them on, and answers in their order.

    Idempotent requests that were sent ahead run beside each other; any
    other one waits for those before it, so that no connection is closed
    on a request behind one whose outcome would then be unknown.

    Parameters
    ----------
    stream : TcpStream
        The open connection.
    handle : callable
        Returns the answer to a request.  It is cancelled if the caller
        leaves.
    is_concurrent : callable
        Whether a request may run beside those before it.
    get_limits : callable
        Returns the limits in force.
    is_stopping : callable
        Whether answers end their connections.
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
        self._rest = b""
        self._queue: collections.deque[_Exchange] = collections.deque()
        self._changed = asyncio.Event()
        self._is_read_ended = False
        self._tasks: set[asyncio.Task] = set()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._queue and not self._rest

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        writer = asyncio.create_task(self._write_answers())
        try:
            await self._read_requests()
            await writer
        finally:
            writer.cancel()
            for task in self._tasks:
                task.cancel()
            self._stream.close()

    async def _read_requests(self) -> None:
        """Read until the caller leaves or sends something invalid."""
        try:
            while True:
                limits = self._get_limits()
                parser = h11.Connection(
                    h11.SERVER, max_incomplete_event_size=limits.header_bytes
                )
                request = await self._read_request(parser, limits)
                if self._queue and self._is_stopping():
                    # The answer before it ends the connection.
                    return
                await self._start(request, parser)
        except _ReadEndedError as end:
            if end.status is None:
                # The caller has left: its work is of no use any more.
                for task in self._tasks:
                    task.cancel()
                self._queue.clear()
            else:
                await self._reject(end.status)
        finally:
            self._is_read_ended = True
            self._changed.set()

    async def _start(
        self, request: _messages.HttpRequest, parser: h11.Connection
    ) -> None:
        """Run a request, after those before it where it must wait."""
        concurrent = self._is_concurrent(request)
        before = [exchange.answer for exchange in self._queue]
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._queue.append(
            _Exchange(parser=parser, answer=future, method=request.method)
        )
        task = asyncio.create_task(
            self._run_one(request, future, [] if concurrent else before)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._changed.set()
        while len(self._queue) >= PIPELINE_LIMIT and not self._stream.is_ended:
            await asyncio.wait([self._queue[0].answer], timeout=0.1)

    async def _run_one(
        self,
        request: _messages.HttpRequest,
        future: asyncio.Future,
        before: list[asyncio.Future],
    ) -> None:
        try:
            if before:
                await asyncio.wait(before)
            answer = await self._handle(request)
        except asyncio.CancelledError:
            future.cancel()
            raise
        if not future.done():
            future.set_result(answer)

    async def _read_request(
        self, parser: h11.Connection, limits: catalog.CallerLimits
    ) -> _messages.HttpRequest:
        """Return the next request, whole."""
        if self._rest:
            parser.receive_data(self._rest)
        is_begun = bool(self._rest)
        self._rest = b""
        head: h11.Request | None = None
        body = bytearray()
        deadline = _Deadline(limits=limits, is_begun=is_begun)
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                raise _ReadEndedError(error.error_status_hint) from error
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue:
                    self._stream.write(
                        parser.send(
                            h11.InformationalResponse(
                                status_code=100, headers=[]
                            )
                        )
                    )
                data = await self._read_bytes(deadline, head is not None)
                if not data and not is_begun:
                    raise _ReadEndedError(None)
                is_begun = True
                deadline.begin()
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                # The parser bounds only a head that comes in pieces.
                if _measure_head(event) > limits.header_bytes:
                    raise _ReadEndedError(431)
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
        self._rest = bytes(trailing)
        return _messages.HttpRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            fields=_messages.decode_fields(head.headers),
            body=bytes(body),
        )

    async def _read_bytes(
        self, deadline: "_Deadline", has_head: bool
    ) -> bytes:
        timeout_ms = deadline.compute_left_ms(has_head=has_head)
        while True:
            try:
                async with asyncio.timeout(timeout_ms / base.MS_PER_S):
                    return await self._stream.read()
            except TimeoutError:
                if self._queue:
                    continue
                status = 408 if deadline.is_begun else None
                raise _ReadEndedError(status) from None

    async def _reject(self, status: int) -> None:
        """Answer what can't be read, behind the answers before it."""
        parser = h11.Connection(h11.SERVER)
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        future.set_result(
            _messages.HttpResponse(status=status, fields=[], closes=True)
        )
        self._queue.append(
            _Exchange(parser=parser, answer=future, closes=True)
        )
        self._changed.set()

    async def _write_answers(self) -> None:
        """Write the answers in the order of their requests."""
        while True:
            while not self._queue:
                if self._is_read_ended:
                    return
                self._changed.clear()
                await self._changed.wait()
            exchange = self._queue[0]
            await asyncio.wait([exchange.answer])
            if exchange.answer.cancelled() or not self._queue:
                return
            answer = exchange.answer.result()
            is_last = len(self._queue) == 1
            closes = (
                exchange.closes
                or answer.closes
                or (is_last and self._is_stopping())
            )
            data, keeps = _frame(exchange, answer, closes=closes)
            self._stream.write(data)
            self._queue.popleft()
            if not keeps:
                await self._finish()
                return
            await self._stream.drain()

    async def _finish(self) -> None:
        """Close after an answer that ends the connection."""
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_MS / base.MS_PER_S):
                await self._stream.drain()
        self._stream.close()


class _Deadline:
    """Time left to the reader of one request."""

    def __init__(
        self, *, limits: catalog.CallerLimits, is_begun: bool
    ) -> None:
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._begun_at = self._loop.time() if is_begun else None

    @property
    def is_begun(self) -> bool:
        """Whether a byte of the request has arrived."""
        return self._begun_at is not None

    def begin(self) -> None:
        """Note the first byte."""
        if self._begun_at is None:
            self._begun_at = self._loop.time()

    def compute_left_ms(self, *, has_head: bool) -> float:
        """Return how long the next bytes may take."""
        if self._begun_at is None or has_head:
            return self._limits.idle_timeout_ms
        elapsed_ms = (self._loop.time() - self._begun_at) * base.MS_PER_S
        return max(1.0, self._limits.header_timeout_ms - elapsed_ms)


def _measure_head(head: h11.Request) -> int:
    """Return the bytes of a request's line and fields."""
    size = len(head.method) + len(head.target)
    return size + sum(len(name) + len(value) for name, value in head.headers)


def _frame(
    exchange: _Exchange, answer: _messages.HttpResponse, *, closes: bool
) -> tuple[bytes, bool]:
    """Return the bytes of an answer and whether the connection stays."""
    parser = exchange.parser
    fields = [*answer.fields, ("content-length", str(len(answer.body)))]
    if closes:
        fields.append(("connection", "close"))
    if parser.our_state is h11.IDLE:
        # The request could not be parsed; the answer stands alone.
        head = [f"HTTP/1.1 {answer.status} Error\r\n"]
        head += [f"{name}: {value}\r\n" for name, value in fields]
        return ("".join(head) + "\r\n").encode("latin-1") + answer.body, False
    data = parser.send(
        h11.Response(
            status_code=answer.status,
            headers=_messages.encode_fields(fields),
        )
    )
    has_body = exchange.method != "HEAD" and answer.status not in (204, 304)
    if answer.body and has_body:
        data += parser.send(h11.Data(data=answer.body))
    data += parser.send(h11.EndOfMessage())
    return data, parser.our_state is h11.DONE
