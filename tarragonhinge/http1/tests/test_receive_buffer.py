"""What the kernel holds for a connection, and which windows are kept."""

import asyncio
import socket

import pytest

from tarragonhinge import http1
from tarragonhinge.http1 import _receive_buffer
from tarragonhinge.http1.tests import caller_side
from tarragonhinge import memory
from tarragonhinge.testing import run_manual

BODY_BYTES = 8_000_000

#: Bytes that a small buffer may hold: itself, and one segment that began when
#: it was not full.
SMALL_BYTES = 2 * _receive_buffer.FIRST_WINDOW_BYTES + 65_536

BUDGET_BYTES = 24_000_000


def _send(sock, byte_count):
    """Send as much as the kernel takes; return the number of bytes."""
    try:
        return sock.send(bytes(byte_count))
    except BlockingIOError:
        return 0


def _connect(*, is_limited):
    with socket.create_server(("127.98.13.1", 0)) as listener:
        if is_limited:
            http1.limit_first_windows(listener)
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
    client.setblocking(False)
    server.setblocking(False)
    return client, server


def _transfer(client, server, byte_count):
    """Send and read a number of bytes."""
    sent = read = 0
    while read < byte_count:
        sent += _send(client, byte_count - sent)
        try:
            read += len(server.recv(65_536))
        except BlockingIOError:
            continue


@pytest.mark.parametrize("is_discarded", [False, True])
def test_connection_that_is_not_read_holds_little(is_discarded):
    """Guards against megabytes that are received and not read."""
    client, server = _connect(is_limited=True)
    with client, server:
        if is_discarded:
            _receive_buffer.enlarge(server)
            _transfer(client, server, BODY_BYTES)
            _receive_buffer.limit(server)
        for _ in range(20):
            _send(client, BODY_BYTES)
        held = _receive_buffer.count_unread(server)
        assert 0 < held <= SMALL_BYTES


def test_window_of_a_large_body_is_not_bounded():
    """Guards against a first window that bounds uploads from afar."""
    client, server = _connect(is_limited=True)
    with client, server:
        first_bytes = _receive_buffer.read_size(server)
        _receive_buffer.enlarge(server)
        _transfer(client, server, BODY_BYTES)
        assert _receive_buffer.read_size(server) > 4 * first_bytes


@pytest.mark.parametrize(
    ("window_bytes", "other_bytes", "is_kept"),
    [
        (60_000, 0, True),
        (60_000, 22_000_000, True),
        (200_000, 0, True),
        (200_000, 20_000_000, True),
        (200_000, 22_000_000, False),
    ],
)
def test_few_connections_with_large_windows_are_kept(
    window_bytes, other_bytes, is_kept
):
    """Guards against connections that hold megabytes once they are idle."""

    async def run():
        account = memory.MemoryAccount(budget_bytes=BUDGET_BYTES)
        account.window_bytes = other_bytes
        caller = caller_side.CallerSide(account=account)
        caller.connection._memory.set_window(window_bytes)
        caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        await caller_side.settle()
        assert caller.count_responses() == 1
        assert (b"connection: close" in caller.transport.received) is (
            not is_kept
        )
        caller.transport.abort()
        await caller.task
        assert account.window_bytes == other_bytes

    run_manual(run())


def test_paused_connection_counts_what_the_kernel_holds(monkeypatch):
    """Guards against requests sent ahead that count nowhere."""

    async def run():
        account = memory.MemoryAccount(budget_bytes=BUDGET_BYTES)
        monkeypatch.setattr(
            http1.TcpStream, "count_unread", lambda stream: 1_000_000
        )
        caller = caller_side.CallerSide(account=account)
        caller.gates["/1"] = asyncio.Event()
        request = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        caller.send(request * 1_000)
        await caller_side.settle()
        assert account.unread_bytes == 1_000_000
        caller.transport.abort()
        await caller.task
        assert account.unread_bytes == 0
        assert not account.paused

    run_manual(run())
