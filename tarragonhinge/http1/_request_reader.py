"""Reader of the requests on a caller's connection."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import h11

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.http1 import _messages
from tarragonhinge.http1 import _parser_turns
from tarragonhinge.http1 import _read_deadline
from tarragonhinge.http1 import _receive_buffer
from tarragonhinge.http1 import _tcp_stream
from tarragonhinge import memory

#: Largest number of bytes that are passed to the parser at once. It copies
#: what it gets, and what follows a request is kept until the next one. Behind
#: a head they stay with a connection that waits for memory.
HEAD_PART_BYTES = 2_048
BODY_PART_BYTES = 32_768

#: Memory of a request besides its body: what its state and the buffers of its
#: connection to a server take, and the number of copies of its head.
STATE_BYTES = 49_152
HEAD_COPIES = 4

#: Number of bytes that are counted at once for a body of unknown length.
GROWTH_BYTES = 65_536


class ReadEndedError(Exception):
    """No more requests can be read.

    Parameters
    ----------
    status : int or None
        Status of the final response; None if the caller has disconnected.
    retry_after_ms : int
        Time after which the caller may retry; 0 if none is stated.
    """

    def __init__(self, status: int | None, *, retry_after_ms: int = 0) -> None:
        super().__init__(status)
        self.status = status
        self.retry_after_ms = retry_after_ms


class RequestReader:
    """Reads one request after the other and counts their memory.

    The memory of a body whose length is stated is counted before the body is
    read. While there is none, the body stays in the network.

    Parameters
    ----------
    stream : TcpStream
        The open connection.
    client : ClientMemory
        Counts the memory of the connection.
    has_pending : callable
        Returns whether responses to earlier requests are due.
    wait_for_pending : callable
        Coroutine function that waits for them.
    write : callable
        Writes bytes unless the connection is closing.

    Attributes
    ----------
    is_receiving : bool
        Whether a request has begun and is not complete.
    answered_at : float
        Time of the event loop at which the last response was sent, or the
        connection was opened.
    awaits_client : bool
        Whether the next move is the caller's, who has sent a part of a
        request.
    """

    def __init__(
        self,
        *,
        stream: _tcp_stream.TcpStream,
        client: memory.ClientMemory,
        has_pending: Callable[[], bool],
        wait_for_pending: Callable[[], Awaitable[None]],
        write: Callable[[bytes], None],
    ) -> None:
        self._stream = stream
        self._client = client
        self._has_pending = has_pending
        self._wait_for_pending = wait_for_pending
        self._write = write
        self._unparsed = b""
        self.is_receiving = False
        self.answered_at = asyncio.get_running_loop().time()
        self.awaits_client = False

    async def read(
        self, parser: h11.Connection, limits: catalog.CallerLimits
    ) -> _messages.HttpRequest:
        """Return the next complete request.

        Raises
        ------
        ReadEndedError
            If there is none.
        """
        if self._unparsed:
            parser.receive_data(self._unparsed)
            self._unparsed = b""
        deadline = _read_deadline.ReadDeadline(
            limits=limits, has_started=self.is_receiving
        )
        head: h11.Request | None = None
        usage: memory.Usage | None = None
        body: memory.Buffer | None = None
        counted_bytes = event_count = 0
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                # The parser's traceback refers to the error itself, and to
                # this frame.
                raise ReadEndedError(
                    error.error_status_hint
                ) from error.with_traceback(None)
            event_count += 1
            await _parser_turns.PARSER_TURNS.give_way(event_count)
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue:
                    await self._wait_for_pending()
                    self._write(_make_continue(parser))
                if usage is None and self.is_receiving:
                    # A part of a head may stay for long, too.
                    usage = self._client.open_usage(
                        is_ahead=self._has_pending()
                    )
                    await self._count(usage, HEAD_COPIES * limits.header_bytes)
                self.awaits_client = usage is not None
                await self._feed(parser, deadline, has_head=head is not None)
            elif isinstance(event, h11.Request):
                head = event
                head_bytes = _check_head(event, limits)
                counted_bytes = _read_length(event)
                if counted_bytes > limits.body_bytes:
                    raise ReadEndedError(413)
                if usage is not None:
                    usage.close()
                usage = self._client.open_usage(is_ahead=self._has_pending())
                body = usage.make_buffer(memory.Kind.REQUEST)
                await self._count(
                    usage,
                    STATE_BYTES + HEAD_COPIES * head_bytes + counted_bytes,
                )
                if counted_bytes > _receive_buffer.LARGE_BODY_BYTES:
                    self._stream.expect_body()
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise ReadEndedError(413)
                if len(body) > counted_bytes:
                    growth = len(body) - counted_bytes + GROWTH_BYTES
                    await self._count(usage, growth)
                    counted_bytes += growth
                    if counted_bytes > _receive_buffer.LARGE_BODY_BYTES:
                        self._stream.expect_body()
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise ReadEndedError(None)
        self._stream.check_buffer()
        self._unparsed = bytes(parser.trailing_data[0])
        self.is_receiving = bool(self._unparsed)
        return _messages.HttpRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            fields=_messages.decode_fields(head.headers),
            body=body,
            usage=usage,
        )

    def discard(self) -> None:
        """Drop what is not read yet, since nothing reads it any more."""
        self._unparsed = b""
        self._stream.discard()

    async def _count(self, usage: memory.Usage, count: int) -> None:
        """Count memory of a request; wait while there is none.

        Raises
        ------
        ReadEndedError
            If the request has to be refused.
        """
        if usage.try_grow(memory.Kind.REQUEST, count):
            return
        if usage.is_ahead:
            await self._wait_for_pending()
            usage.promote()
        try:
            await usage.grow(memory.Kind.REQUEST, count)
        except memory.FullError as error:
            raise ReadEndedError(
                503, retry_after_ms=error.retry_after_ms
            ) from error

    async def _feed(
        self,
        parser: h11.Connection,
        deadline: _read_deadline.ReadDeadline,
        *,
        has_head: bool,
    ) -> None:
        """Pass the next bytes to the parser.

        Raises
        ------
        ReadEndedError
            If the caller has disconnected between two requests.
        """
        data = await self._read_part(deadline, has_head)
        if not data and not self.is_receiving:
            raise ReadEndedError(None)
        self.is_receiving = True
        deadline.start()
        parser.receive_data(data)

    async def _read_part(
        self, deadline: _read_deadline.ReadDeadline, has_head: bool
    ) -> bytes:
        limit = BODY_PART_BYTES if has_head else HEAD_PART_BYTES
        timeout_ms = deadline.compute_timeout_ms(has_head=has_head)
        try:
            while True:
                try:
                    async with asyncio.timeout(timeout_ms / base.MS_PER_S):
                        return await self._stream.read(limit)
                except TimeoutError:
                    if (
                        self._has_pending()
                        or self._stream.has_unread
                        or self._stream.unsent_bytes
                    ):
                        continue
                    if deadline.has_started:
                        raise ReadEndedError(408) from None
                    timeout_ms = deadline.compute_idle_ms(self.answered_at)
                    if timeout_ms <= 0:
                        raise ReadEndedError(None) from None
        finally:
            self.awaits_client = False


def _make_continue(parser: h11.Connection) -> bytes:
    """Return the interim response that lets the caller send the body."""
    return parser.send(h11.InformationalResponse(status_code=100, headers=[]))


def _check_head(head: h11.Request, limits: catalog.CallerLimits) -> int:
    """Return the size of a request's head, without delimiters.

    Raises
    ------
    ReadEndedError
        If the request has to be refused.
    """
    size = len(head.method) + len(head.target)
    size += sum(len(name) + len(value) for name, value in head.headers)
    # The parser limits only a head that arrives in several reads.
    if size > limits.header_bytes:
        raise ReadEndedError(431)
    if head.method == b"CONNECT":
        # A success would turn the connection into a tunnel.
        raise ReadEndedError(501)
    return size


def _read_length(head: h11.Request) -> int:
    """Return the stated length of a body; 0 if there is none.

    The parser has checked it, and ignores it beside a transfer coding.
    """
    length = 0
    for name, value in head.headers:
        if name == b"transfer-encoding":
            return 0
        if name == b"content-length":
            length = int(value)
    return length
