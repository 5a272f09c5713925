"""Connections of callers, with pipelined requests."""

import asyncio
import collections
import contextlib
import dataclasses
import socket

import h11

from tarragonhinge.platform.soak import _attempts

#: Largest number of bytes that are read at once.
_READ_CHUNK_BYTES = 65_536

#: Time in which a connection must open, in seconds.
_CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """A complete response.

    Parameters
    ----------
    status : int
        Status.
    fields : dict of str to str
        Header fields, with names in lower case.
    body : bytes
        Body.
    """

    status: int
    fields: dict[str, str]
    body: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class _Exchange:
    parser: h11.Connection
    response: asyncio.Future[Response | None]
    head: h11.Response | None = None
    body: bytearray = dataclasses.field(default_factory=bytearray)


class CallerConnection:
    """Connection on which requests may be sent before earlier responses.

    It uses a plain socket: a transport drops the responses that it has not
    read yet when a write fails.

    Parameters
    ----------
    sock : socket
        The open connection.

    Attributes
    ----------
    is_open : bool
        Whether another request can be sent.
    is_given_up : bool
        Whether the caller has closed the connection.
    is_reset : bool
        Whether the connection was reset.
    answered_count : int
        Number of received responses.
    last_attempt : Attempt or None
        The attempt that was sent last.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self.is_open = True
        self.is_given_up = False
        self.is_reset = False
        self.answered_count = 0
        self.last_attempt: _attempts.Attempt | None = None
        self._reader = asyncio.create_task(self._read_responses())

    @property
    def pending_count(self) -> int:
        """Number of requests without a response so far."""
        return len(self._exchanges)

    async def send(
        self, events: list[h11.Event]
    ) -> asyncio.Future[Response | None]:
        """Send a request; return its response, or None if there is none."""
        parser = h11.Connection(h11.CLIENT)
        data = b"".join(parser.send(event) for event in events)
        loop = asyncio.get_running_loop()
        exchange = _Exchange(parser=parser, response=loop.create_future())
        self._exchanges.append(exchange)
        try:
            await loop.sock_sendall(self._sock, data)
        except OSError:
            # The reader still receives earlier responses, then the end.
            self.is_open = False
        return exchange.response

    def give_up(self) -> None:
        """Close the connection, as a caller does at its deadline."""
        self.is_given_up = True
        self.is_open = False
        self._reader.cancel()

    async def _read_responses(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            with contextlib.suppress(h11.RemoteProtocolError):
                while data := await loop.sock_recv(
                    self._sock, _READ_CHUNK_BYTES
                ):
                    self._parse(data)
        except OSError:
            self.is_reset = True
        finally:
            self.is_open = False
            self._sock.close()
            for exchange in self._exchanges:
                if not exchange.response.done():
                    exchange.response.set_result(None)
            self._exchanges.clear()

    def _parse(self, data: bytes) -> None:
        """Parse received bytes and resolve the responses they complete."""
        while data:
            if not self._exchanges:
                raise h11.RemoteProtocolError("a response without a request")
            exchange = self._exchanges[0]
            exchange.parser.receive_data(data)
            data = b""
            while (event := exchange.parser.next_event()) not in (
                h11.NEED_DATA,
                h11.PAUSED,
            ):
                if isinstance(event, h11.Response):
                    exchange.head = event
                elif isinstance(event, h11.Data):
                    exchange.body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    data, _ = exchange.parser.trailing_data
                    self._finish(exchange)
                    break

    def _finish(self, exchange: _Exchange) -> None:
        self._exchanges.popleft()
        self.answered_count += 1
        fields = {
            name.decode().lower(): value.decode("latin-1")
            for name, value in exchange.head.headers
        }
        if fields.get("connection", "").lower() == "close":
            self.is_open = False
        if not exchange.response.done():
            exchange.response.set_result(
                Response(
                    status=exchange.head.status_code,
                    fields=fields,
                    body=bytes(exchange.body),
                )
            )


async def connect(address: str) -> CallerConnection:
    """Open a connection.

    Raises
    ------
    OSError
        If the connection can't be opened in time.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(
                sock, (host, int(port))
            )
    except (OSError, TimeoutError):
        sock.close()
        raise
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return CallerConnection(sock)
