"""Byte stream over TCP that shows its unread bytes and its end."""

import asyncio
import contextlib
import socket

from tarragonhinge import base

#: Unread bytes beyond which the peer is made to wait.
READ_LIMIT_BYTES = 1 << 18

#: Time for which sent bytes may stay unacknowledged.
ACK_TIMEOUT_MS = 2_000

#: Idle time, interval and count of keep-alive probes on a silent peer.
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2


def tune_socket(sock: socket.socket) -> None:
    """Make the kernel notice a peer that fell silent."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)


class TcpStream(asyncio.Protocol):
    """One TCP connection.

    Attributes
    ----------
    is_ended : bool
        Whether the peer sends no more, by a close or a failure.
    error : Exception or None
        The failure that ended the connection, if any.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_blocked = False
        self._is_paused = False
        self.is_ended = False
        self.error: Exception | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            tune_socket(sock)

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are read."""
        self._unread += data
        if len(self._unread) > READ_LIMIT_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the peer sends no more; keep the sending side."""
        self.is_ended = True
        self._wake()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end of the connection."""
        self.is_ended = True
        self.error = error
        self._wake()
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    def pause_writing(self) -> None:
        """Make `drain` wait."""
        self._is_blocked = True

    def resume_writing(self) -> None:
        """Let `drain` go on."""
        self._is_blocked = False
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    @property
    def is_usable(self) -> bool:
        """Whether nothing has arrived or ended, as on an idle connection."""
        return not (
            self.is_ended
            or self._unread
            or self._transport is None
            or self._transport.is_closing()
        )

    @property
    def unsent_bytes(self) -> int:
        """Bytes that are written and not yet handed to the kernel."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    async def read(self) -> bytes:
        """Return the bytes that have arrived; none at the end."""
        if not self._unread and not self.is_ended:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = bytes(self._unread)
        self._unread.clear()
        if self._is_paused:
            self._is_paused = False
            with contextlib.suppress(RuntimeError):
                self._transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the peer has taken most of what was written."""
        while self._is_blocked and self.error is None:
            if self._transport is None or self._transport.is_closing():
                return
            self._drained = asyncio.get_running_loop().create_future()
            await self._drained

    def close(self) -> None:
        """Close once everything is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()


async def connect(address: base.Address, *, timeout_ms: int) -> TcpStream:
    """Open a connection.

    Raises
    ------
    OSError
        If it can't be opened within `timeout_ms`.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / base.MS_PER_S):
            _, stream = await loop.create_connection(
                TcpStream, host, int(port)
            )
    except TimeoutError as error:
        raise OSError(f"no connection to {address} in time") from error
    return stream
