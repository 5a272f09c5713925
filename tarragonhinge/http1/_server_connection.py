"""Client side of an HTTP/1.1 connection to a backend server."""

import asyncio
from collections.abc import Callable

import h11

from tarragonhinge import base
from tarragonhinge.http1 import _errors
from tarragonhinge.http1 import _messages
from tarragonhinge.http1 import _parser_turns
from tarragonhinge.http1 import _response_memory
from tarragonhinge.http1 import _tcp_stream
from tarragonhinge import memory

#: Largest number of responses to earlier requests that are skipped.
STALE_RESPONSE_LIMIT = 3

#: Size up to which the body of a request is written with its head.
SMALL_BODY_BYTES = 1 << 16

#: Largest body of a response; a larger one fails the exchange.
RESPONSE_LIMIT_BYTES = 16 << 20

#: Largest head of a response.
HEAD_LIMIT_BYTES = 65_536

#: Largest number of bytes that are passed to the parser at once, so that it
#: can reject a head that is too large before it reads all of it; and the same
#: within a body.
HEAD_PART_BYTES = 16_384
BODY_PART_BYTES = 32_768

#: Largest number of parts of a body, and number of bytes that allow one more.
#: The parser takes the same time for a part of any size.
BODY_PART_LIMIT = 16_384
BYTES_PER_BODY_PART = 64

#: Largest number of interim responses before the final one.
INTERIM_RESPONSE_LIMIT = 32

#: Largest status that HTTP defines (RFC 9110, 15). The parser rejects those
#: below 100, and interim ones are no final response.
LAST_STATUS = 599

#: Largest number of digits of a timeout.
NUMBER_LIMIT_DIGITS = 9

_REMEDY = "retry the request if it is idempotent"

#: Returns whether a response with these header fields belongs to the
#: request.
ResponseMatcher = Callable[[_messages.FieldList], bool]


class ServerConnection:
    """Persistent connection to a backend server, one request at a time.

    Parameters
    ----------
    stream : TcpStream
        The open connection.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    used_at : int
        Time at which the last response arrived.
    keep_alive_ms : int or None
        Time for which the server keeps an idle connection open; None if the
        server has not stated it.
    is_new : bool
        Whether no response has arrived on it so far.
    """

    def __init__(
        self, *, stream: _tcp_stream.TcpStream, clock: base.Clock
    ) -> None:
        self._stream = stream
        self._clock = clock
        self.used_at = clock.now()
        # Time of the event loop at which the last response arrived.
        self._answered_at: float | None = None
        self.keep_alive_ms: int | None = None
        self._has_response = False
        self.is_new = True

    async def ends_within(self, time_ms: float) -> bool:
        """Return whether the server ends the idle connection meanwhile."""
        return await self._stream.wait_for_end(timeout_ms=time_ms)

    def is_reusable(self) -> bool:
        """Return whether the connection can be used for another request."""
        return self._stream.is_usable and not self._stream.unsent_bytes

    def has_ended_early(self, idle_ms: float) -> bool:
        """Return whether the server has ended it before it was idle so long.

        Servers end connections that have been idle for long, and those beyond
        their number before any response.
        """
        ended_at = self._stream.ended_at
        return (
            ended_at is not None
            and self._answered_at is not None
            and (ended_at - self._answered_at) * base.MS_PER_S < idle_ms
        )

    def close(self) -> None:
        """Close at once, so that the server stops handling the request."""
        self._stream.abort()

    async def exchange(
        self, request: _messages.HttpRequest, *, recognize: ResponseMatcher
    ) -> _messages.HttpResponse:
        """Send a request and return its complete response.

        Responses that `recognize` rejects belong to earlier requests and are
        skipped.

        Raises
        ------
        ExchangeError
            If no complete response arrived; `sent` is unset if the
            connection had ended before anything was written.
        """
        events = _make_events(request)
        parser = _make_parser()
        parts = _encode(parser, events)
        is_small = len(request.body) <= SMALL_BODY_BYTES
        first = b"".join(parts) if is_small else parts[0]
        if self._stream.is_ended or not self._stream.write(first):
            raise _errors.ExchangeError(
                problem="the connection had ended before the request was sent",
                remedy="send it on another connection",
                sent=False,
            )
        self._has_response = False
        if is_small:
            return await self._read_own_response(
                request, events, parser, recognize
            )
        writer = asyncio.create_task(self._stream.write_body(request.body))
        try:
            response = await self._read_own_response(
                request, events, parser, recognize
            )
            if not writer.done():
                # The rest of the body is not sent, and the server would take
                # the next request for it.
                return _mark_closing(response)
            return response
        finally:
            writer.cancel()

    async def _read_own_response(
        self,
        request: _messages.HttpRequest,
        events: list[h11.Event],
        parser: h11.Connection,
        recognize: ResponseMatcher,
    ) -> _messages.HttpResponse:
        """Return the response that `recognize` accepts."""
        unparsed = b""
        for stale_count in range(STALE_RESPONSE_LIMIT + 1):
            if stale_count:
                parser = _make_parser()
                _encode(parser, events)
            room = _response_memory.ResponseMemory(request.usage)
            try:
                response, unparsed = await self._read_response(
                    parser, unparsed, room
                )
                room.is_kept = recognize(response.fields)
            finally:
                room.close()
            if room.is_kept:
                # No request was sent to which later bytes could belong.
                closes = response.closes or bool(unparsed) or bool(stale_count)
                self._record_use(response)
                if closes != response.closes:
                    return _mark_closing(response)
                return response
            if response.closes:
                break
        raise _errors.ExchangeError(
            problem="the responses belong to other requests",
            remedy=_REMEDY,
            sent=True,
        )

    def _is_reset(self) -> bool:
        """Return whether the server has reset it without any response."""
        return not self._has_response and isinstance(
            self._stream.error, ConnectionResetError | BrokenPipeError
        )

    def _record_use(self, response: _messages.HttpResponse) -> None:
        self.used_at = self._clock.now()
        self._answered_at = asyncio.get_running_loop().time()
        self.is_new = False
        for name, value in response.fields:
            if name == "keep-alive":
                self.keep_alive_ms = _parse_keep_alive_ms(value)

    async def _read_response(
        self,
        parser: h11.Connection,
        unparsed: bytes,
        room: _response_memory.ResponseMemory,
    ) -> tuple[_messages.HttpResponse, bytes]:
        """Return one response and the bytes that follow it."""
        if unparsed:
            parser.receive_data(unparsed)
        head: h11.Response | None = None
        body = room.body
        interim_count = part_count = event_count = 0
        try:
            while True:
                event = parser.next_event()
                event_count += 1
                await _parser_turns.PARSER_TURNS.give_way(event_count)
                if event is h11.NEED_DATA:
                    data = await self._stream.read(
                        HEAD_PART_BYTES if head is None else BODY_PART_BYTES
                    )
                    if not data and self._stream.error is not None:
                        raise _make_error(
                            f"the connection was reset: {self._stream.error}",
                            is_reset=self._is_reset(),
                        )
                    self._has_response = self._has_response or bool(data)
                    parser.receive_data(data)
                elif isinstance(event, h11.InformationalResponse):
                    interim_count += 1
                    if interim_count > INTERIM_RESPONSE_LIMIT:
                        raise _make_error("too many interim responses")
                elif isinstance(event, h11.Response):
                    _check_status(event.status_code)
                    head = event
                elif isinstance(event, h11.Data):
                    body += event.data
                    part_count += 1
                    _check_part_count(part_count, body_bytes=len(body))
                    if len(body) > RESPONSE_LIMIT_BYTES:
                        raise _make_error("the response body is too large")
                    await room.grow(head, len(body))
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise _make_error(
                        "the connection was closed without a response"
                    )
        except h11.RemoteProtocolError as error:
            # The parser's traceback refers to the error itself, and to this
            # frame.
            raise _make_error(
                f"invalid response: {error}"
            ) from error.with_traceback(None)
        except memory.FullError as error:
            raise _make_error("no memory for the response body") from error
        if head is None:
            raise _make_error("no response")
        trailing, _ = parser.trailing_data
        return (
            _messages.HttpResponse(
                status=head.status_code,
                fields=_messages.decode_fields(head.headers),
                body=body,
                closes=parser.their_state is not h11.DONE
                or self._stream.is_ended,
            ),
            bytes(trailing),
        )


def _check_status(status: int) -> None:
    """Fail an exchange whose final status HTTP does not define.

    Raises
    ------
    ExchangeError
        If the status has no class, so that a caller could not tell whether
        the request succeeded.
    """
    if status > LAST_STATUS:
        raise _make_error(f"HTTP does not define the status {status}")


def _check_part_count(part_count: int, *, body_bytes: int) -> None:
    """Fail an exchange whose response takes too much time to parse.

    Raises
    ------
    ExchangeError
        If the body has too many parts for its size.
    """
    if part_count > BODY_PART_LIMIT + body_bytes // BYTES_PER_BODY_PART:
        raise _make_error("the response body has too many parts")


def _make_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
    )


def _make_events(request: _messages.HttpRequest) -> list[h11.Event]:
    fields = list(request.fields)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        fields.append(("content-length", str(len(request.body))))
    events: list[h11.Event] = [
        h11.Request(
            method=request.method,
            target=request.target,
            headers=_messages.encode_fields(fields),
        )
    ]
    if request.body:
        events.append(h11.Data(data=request.body))
    events.append(h11.EndOfMessage())
    return events


def _encode(
    parser: h11.Connection, events: list[h11.Event]
) -> list[bytes | bytearray]:
    """Return the encoded head and, if there is one, the body as it is."""
    parts = [parser.send(events[0])]
    for event in events[1:]:
        parts += parser.send_with_data_passthrough(event)
    return parts


def _make_error(
    problem: str, *, is_reset: bool = False
) -> _errors.ExchangeError:
    return _errors.ExchangeError(
        problem=problem, remedy=_REMEDY, sent=True, is_reset=is_reset
    )


def _mark_closing(response: _messages.HttpResponse) -> _messages.HttpResponse:
    return _messages.HttpResponse(
        status=response.status,
        fields=response.fields,
        body=response.body,
        closes=True,
    )


def _parse_keep_alive_ms(value: str) -> int | None:
    """Return the timeout of a ``Keep-Alive`` field, in milliseconds.

    Examples
    --------
    >>> _parse_keep_alive_ms("timeout=10, max=5")
    10000
    >>> _parse_keep_alive_ms("max=5")
    """
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and _is_number(seconds):
            return int(seconds) * base.MS_PER_S
    return None


def _is_number(text: str) -> bool:
    """Return whether `int` accepts the text as a number without a sign."""
    return (
        text.isascii() and text.isdigit() and len(text) <= NUMBER_LIMIT_DIGITS
    )
