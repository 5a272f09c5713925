"""Receive buffer of a connection in the kernel.

Handles this pattern: many clients send large bodies or requests ahead while
nothing reads them. The kernel keeps what it has received, up to megabytes for
a connection that was read quickly before.
"""

import contextlib
import fcntl
import functools
import socket
import struct
import termios

#: Window with which a connection begins, and which it has before it is
#: accepted. It takes half of what a sender may send at first (RFC 6928).
FIRST_WINDOW_BYTES = 8_192

#: Size from which a body opens the window, and receive buffer with which it
#: does so. The kernel enlarges it further. It doubles the size that is set,
#: since half of the buffer is for its own structures.
LARGE_BODY_BYTES = 65_536
BODY_BUFFER_BYTES = 262_144

#: Socket option of Linux 5.14 and newer: which buffers keep a size that was
#: set.
_SO_BUF_LOCK = 72

_COUNT = struct.Struct("i")


def limit_first_windows(listener: socket.socket) -> None:
    """Start the connections of a listener with a small window.

    The kernel sizes their buffers by itself afterwards: a size that was set
    would bound the window for ever.
    """
    if _can_unlock():
        _set_size(listener, FIRST_WINDOW_BYTES)


def enlarge(sock: socket.socket) -> None:
    """Open the window for a large body."""
    if _can_unlock() and read_size(sock) < BODY_BUFFER_BYTES:
        with contextlib.suppress(OSError):
            _set_size(sock, BODY_BUFFER_BYTES // 2)


def limit(sock: socket.socket) -> None:
    """Let the kernel receive only a small window from now on.

    It drops what the sender still sends within a larger window that it was
    offered before.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, FIRST_WINDOW_BYTES
        )


def read_size(sock: socket.socket) -> int:
    """Return the size of the buffer in bytes; 0 if it is not known."""
    try:
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    except OSError:
        return 0


def count_unread(sock: socket.socket) -> int:
    """Return the number of bytes that are received and not read."""
    try:
        count = fcntl.ioctl(
            sock.fileno(), termios.FIONREAD, bytes(_COUNT.size)
        )
    except (OSError, ValueError):
        return 0
    return _COUNT.unpack(count)[0]


def _set_size(sock: socket.socket, window_bytes: int) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
    sock.setsockopt(socket.SOL_SOCKET, _SO_BUF_LOCK, 0)


@functools.cache
def _can_unlock() -> bool:
    """Return whether a buffer whose size was set can grow again."""
    option = (socket.SOL_SOCKET, _SO_BUF_LOCK)
    with socket.socket() as sock:
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, FIRST_WINDOW_BYTES
            )
            was_locked = sock.getsockopt(*option)
            sock.setsockopt(*option, 0)
            return bool(was_locked) and not sock.getsockopt(*option)
        except OSError:
            return False
