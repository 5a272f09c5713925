"""TCP stream that exposes its unread bytes and its end."""

import asyncio
from collections.abc import Callable
import contextlib
import socket

from tarragonhinge import base
from tarragonhinge.http1 import _receive_buffer

#: Largest number of bytes that are received at once.
READ_BUFFER_LIMIT_BYTES = 1 << 15

#: Number of bytes that are received while nothing reads them; the rest stays
#: in the network. Without them, the end of an idle connection would not show.
UNASKED_BYTES = 1 << 11

#: Buffer into which all connections receive, one after the other; what was
#: received is taken out at once.
_RECEIVED = memoryview(bytearray(READ_BUFFER_LIMIT_BYTES))

#: Size of the parts in which a large body is written. The transport copies
#: what the kernel does not take at once.
WRITE_PART_BYTES = 1 << 16

#: Number of received bytes after which the size of the receive buffer is read
#: again; the kernel enlarges it as a connection is read.
CHECKED_BYTES = 1 << 16

#: Longest time for which sent bytes may stay unacknowledged.
ACK_TIMEOUT_MS = 2_000

#: Idle time before the first TCP keep-alive probe, interval and number of the
#: probes.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBE_COUNT = 2


def configure_socket(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and detect unresponsive peers."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBE_COUNT
        )


def _ignore(report: int) -> None:
    """Take a report that nothing needs."""


class TcpStream(asyncio.BufferedProtocol):
    """One TCP connection.

    Attributes
    ----------
    received_bytes, written_bytes : int
        Number of bytes that were received and written.
    is_ended : bool
        Whether the peer has closed its side or the connection has failed.
    error : Exception or None
        Error that ended the connection, if any.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._wanted_bytes = UNASKED_BYTES
        self._drain_waiter: asyncio.Future[None] | None = None
        self._is_write_paused = False
        self._is_read_paused = False
        self._is_discarding = False
        self._is_closed = False
        self._socket: socket.socket | None = None
        self._report_size: Callable[[int], None] = _ignore
        self._report_pause: Callable[[bool], None] = _ignore
        # Number of received bytes when the receive buffer was last looked at.
        self._checked_bytes = 0
        self.received_bytes = 0
        self.written_bytes = 0
        self.is_ended = False
        # Time of the event loop at which the peer ended the connection.
        self.ended_at: float | None = None
        self.error: Exception | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the transport and its socket."""
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            configure_socket(sock)
            self._socket = sock
        if self._is_closed:
            transport.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer for the next bytes."""
        if self._is_discarding:
            return _RECEIVED
        limit = self._wanted_bytes if self._has_reader else UNASKED_BYTES
        return _RECEIVED[: max(1, limit - len(self._unread))]

    def buffer_updated(self, count: int) -> None:
        """Take received bytes out of the common buffer."""
        if not self._is_discarding:
            self.data_received(bytes(_RECEIVED[:count]))

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes, and pause reading if nothing reads them.

        They are dropped after `discard`.
        """
        if self._is_discarding:
            return
        self.received_bytes += len(data)
        self._unread += data
        if (
            len(self._unread) >= UNASKED_BYTES
            and not self._has_reader
            and not self._is_read_paused
        ):
            self._is_read_paused = True
            self._transport.pause_reading()
            self._report_pause(True)
        self._wake_reader()

    def watch_buffer(
        self,
        *,
        report_size: Callable[[int], None],
        report_pause: Callable[[bool], None],
    ) -> None:
        """Report on the receive buffer that the kernel has for it.

        Parameters
        ----------
        report_size : callable
            Called by `check_buffer` with its size in bytes.
        report_pause : callable
            Called with whether reading is paused when that changes.
        """
        self._report_size = report_size
        self._report_pause = report_pause

    def expect_body(self) -> None:
        """Open the window for a large body for which there is memory."""
        if self._socket is not None:
            _receive_buffer.enlarge(self._socket)

    def count_unread(self) -> int:
        """Return the number of bytes that the kernel holds for it."""
        if self._socket is None:
            return 0
        return _receive_buffer.count_unread(self._socket)

    def check_buffer(self) -> None:
        """Report the size of the receive buffer if it may have changed."""
        is_due = self.received_bytes - self._checked_bytes >= CHECKED_BYTES
        if is_due and self._socket is not None:
            self._checked_bytes = self.received_bytes
            self._report_size(_receive_buffer.read_size(self._socket))

    def eof_received(self) -> bool:
        """Record that the peer sends no more; keep the sending side open."""
        self.is_ended = True
        self.ended_at = asyncio.get_running_loop().time()
        self._wake_reader()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection."""
        self.is_ended = True
        if self.ended_at is None and not self._is_closed:
            self.ended_at = asyncio.get_running_loop().time()
        self.error = error
        self._wake_reader()
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    def pause_writing(self) -> None:
        """Make `drain` wait, since bytes are in the write buffer."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Let `drain` return, since the write buffer is empty."""
        self._is_write_paused = False
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    @property
    def _has_reader(self) -> bool:
        return self._read_waiter is not None and not self._read_waiter.done()

    def _wake_reader(self) -> None:
        if self._has_reader:
            self._read_waiter.set_result(None)

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return not (
            self.is_ended
            or self._unread
            or self._transport is None
            or self._transport.is_closing()
        )

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that are not read yet."""
        return bool(self._unread)

    @property
    def moved_bytes(self) -> int:
        """Number of bytes that were received or passed to the kernel."""
        return self.received_bytes + self.written_bytes - self.unsent_bytes

    @property
    def is_closing(self) -> bool:
        """Whether written bytes are dropped."""
        return self._transport is None or self._transport.is_closing()

    @property
    def peer(self) -> str:
        """Address of the peer; empty if it is not known."""
        if self._transport is None:
            return ""
        address = self._transport.get_extra_info("peername")
        return f"{address[0]}:{address[1]}" if address else ""

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that are not yet passed to the kernel."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    async def read(self, limit: int | None = None) -> bytes:
        """Wait for bytes and return them; empty at the end of the stream.

        Parameters
        ----------
        limit : int or None
            Largest number of bytes to return; None for all.
        """
        if not self._unread and not self.is_ended:
            self._wanted_bytes = min(
                limit or READ_BUFFER_LIMIT_BYTES, READ_BUFFER_LIMIT_BYTES
            )
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        if limit is None or len(self._unread) <= limit:
            data = bytes(self._unread)
            self._unread.clear()
        else:
            data = bytes(self._unread[:limit])
            del self._unread[:limit]
        if not self._unread:
            self._resume_reading()
        return data

    def _resume_reading(self) -> None:
        if self._is_read_paused:
            self._is_read_paused = False
            with contextlib.suppress(RuntimeError):
                self._transport.resume_reading()
            self._report_pause(False)

    def discard(self) -> None:
        """Drop the unread bytes, and from now on what is received.

        What is dropped is received slowly, so that the kernel holds little.
        """
        if self._socket is not None and not self._is_discarding:
            _receive_buffer.limit(self._socket)
        self._is_discarding = True
        self._unread.clear()
        self._resume_reading()
        self._report_size, self._report_pause = _ignore, _ignore

    async def discard_rest(self) -> None:
        """Receive and drop bytes until the peer has closed its side."""
        self.discard()
        if not self.is_ended:
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None

    def write(self, data: bytes | memoryview) -> bool:
        """Write bytes to the connection unless it is closing.

        Returns
        -------
        bool
            False if the connection has ended and none of the bytes was
            passed to the kernel, provided that the write buffer was empty.
        """
        if self._transport is None or self._transport.is_closing():
            return False
        # Without a buffer the transport writes to the socket at once, and
        # closes if that fails.
        self.written_bytes += len(data)
        self._transport.write(data)
        return not self._transport.is_closing()

    async def wait_for_end(self, *, timeout_ms: float) -> bool:
        """Return whether the connection ends within some time.

        Bytes that arrive meanwhile end the wait, too.
        """
        if not self._unread and not self.is_ended:
            self._wanted_bytes = UNASKED_BYTES
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await asyncio.wait(
                    [self._read_waiter], timeout=timeout_ms / base.MS_PER_S
                )
            finally:
                self._read_waiter = None
        return self.is_ended

    async def write_body(self, body: bytes | bytearray) -> None:
        """Write a large body in parts, each of which is copied.

        Each part is passed to the kernel before the next one is written;
        the last one may be left in the write buffer. If the body is emptied
        meanwhile, the connection ends, since the peer expects the rest.
        """
        byte_count = len(body)
        for start in range(0, byte_count, WRITE_PART_BYTES):
            await self.drain()
            if self.is_closing:
                return
            if len(body) != byte_count:
                self.abort()
                return
            with memoryview(body) as view:
                part = bytes(view[start : start + WRITE_PART_BYTES])
            self.write(part)

    async def drain(self) -> None:
        """Wait until the written bytes are passed to the kernel."""
        while self._is_write_paused and self.error is None:
            if self._transport is None or self._transport.is_closing():
                return
            self._drain_waiter = asyncio.get_running_loop().create_future()
            await self._drain_waiter

    def write_eof(self) -> None:
        """Close the sending side after sending the written bytes."""
        if self._transport is not None and not self._transport.is_closing():
            # A socket that the peer has reset is no longer connected.
            with contextlib.suppress(OSError):
                self._transport.write_eof()

    def close(self) -> None:
        """Close the connection after sending the written bytes."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()


async def connect(address: base.Address, *, timeout_ms: int) -> TcpStream:
    """Open a connection.

    Raises
    ------
    OSError
        If the connection can't be opened within `timeout_ms`.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / base.MS_PER_S):
            _, stream = await loop.create_connection(
                TcpStream, host, int(port)
            )
    except TimeoutError as error:
        raise OSError(f"connecting to {address} timed out") from error
    return stream
