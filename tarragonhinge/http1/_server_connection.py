"""Connection to a backend server."""

from collections.abc import Callable

import h11

from tarragonhinge import base
from tarragonhinge.http1 import _errors
from tarragonhinge.http1 import _messages
from tarragonhinge.http1 import _tcp_stream

#: Answers of former requests that are passed over before the right one.
STRAY_LIMIT = 3

#: Largest answer that is taken; a larger one is broken off.
ANSWER_LIMIT_BYTES = 16 << 20

#: Largest head of an answer.
HEAD_LIMIT_BYTES = 65_536

_REMEDY = "send it again if it may be repeated"

#: Whether an answer belongs to a request.
Recognizer = Callable[[_messages.FieldList], bool]


class ServerConnection:
    """One kept connection to a backend server, one request at a time.

    Parameters
    ----------
    stream : TcpStream
        The open connection.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    used_at : int
        When the last answer arrived.
    keep_ms : int or None
        For how long the server keeps the idle connection, if it said so.
    """

    def __init__(
        self, *, stream: _tcp_stream.TcpStream, clock: base.Clock
    ) -> None:
        self._stream = stream
        self._clock = clock
        self.used_at = clock.now()
        self.keep_ms: int | None = None

    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return self._stream.is_usable and not self._stream.unsent_bytes

    def close(self) -> None:
        """Close at once, so that the server drops its work."""
        self._stream.abort()

    async def exchange(
        self, request: _messages.HttpRequest, *, recognize: Recognizer
    ) -> _messages.HttpResponse:
        """Send a request and return its whole answer.

        Answers that `recognize` refuses belong to former requests and
        are passed over.

        Raises
        ------
        ExchangeError
            If no whole answer arrived.
        """
        events = _make_events(request)
        parser = _make_parser()
        self._stream.write(b"".join(parser.send(event) for event in events))
        rest = b""
        for strays in range(STRAY_LIMIT + 1):
            if strays:
                parser = _make_parser()
                for event in events:
                    parser.send(event)
            answer, rest = await self._read_answer(parser, rest)
            if recognize(answer.fields):
                # Bytes behind the answer belong to no request.
                closes = answer.closes or bool(rest) or bool(strays)
                self._note(answer)
                if closes != answer.closes:
                    return _replace_closes(answer)
                return answer
            if answer.closes:
                break
        raise _errors.ExchangeError(
            problem="the answers belong to other requests",
            remedy=_REMEDY,
            sent=True,
        )

    def _note(self, answer: _messages.HttpResponse) -> None:
        self.used_at = self._clock.now()
        for name, value in answer.fields:
            if name == "keep-alive":
                self.keep_ms = _parse_keep_ms(value)

    async def _read_answer(
        self, parser: h11.Connection, rest: bytes
    ) -> tuple[_messages.HttpResponse, bytes]:
        """Return one answer and the bytes behind it."""
        if rest:
            parser.receive_data(rest)
        head: h11.Response | None = None
        body = bytearray()
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.read()
                    if not data and self._stream.error is not None:
                        raise _make_error(f"reset: {self._stream.error}")
                    parser.receive_data(data)
                elif isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > ANSWER_LIMIT_BYTES:
                        raise _make_error("the answer is too large")
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise _make_error("closed without an answer")
        except h11.RemoteProtocolError as error:
            raise _make_error(f"no valid answer: {error}") from error
        if head is None:
            raise _make_error("no answer")
        trailing, _ = parser.trailing_data
        return (
            _messages.HttpResponse(
                status=head.status_code,
                fields=_messages.decode_fields(head.headers),
                body=bytes(body),
                closes=parser.their_state is not h11.DONE
                or self._stream.is_ended,
            ),
            bytes(trailing),
        )


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


def _make_error(problem: str) -> _errors.ExchangeError:
    return _errors.ExchangeError(problem=problem, remedy=_REMEDY, sent=True)


def _replace_closes(answer: _messages.HttpResponse) -> _messages.HttpResponse:
    return _messages.HttpResponse(
        status=answer.status,
        fields=answer.fields,
        body=answer.body,
        closes=True,
    )


def _parse_keep_ms(value: str) -> int | None:
    """Return the timeout of a ``Keep-Alive`` field in milliseconds.

    Examples
    --------
    >>> _parse_keep_ms("timeout=10, max=5")
    10000
    >>> _parse_keep_ms("max=5")
    """
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdigit():
            return int(seconds) * base.MS_PER_S
    return None
