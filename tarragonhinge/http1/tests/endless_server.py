"""Fixture: a server whose answers never end."""

import asyncio
import contextlib

import pytest

from tarragonhinge import base

PIECE = b"x" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


class EndlessServer:
    """Sends a beginning, then a part over and over until it is closed.

    Attributes
    ----------
    sent_bytes : int
        Length of the parts sent so far.
    """

    def __init__(self, beginning, part):
        self._beginning = beginning
        self._part = part
        self.sent_bytes = 0

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._beginning)
            while self._part:
                writer.write(self._part)
                self.sent_bytes += len(self._part)
                await writer.drain()
            await reader.read()
        writer.close()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = base.Address(f"{host}:{port}")
        return self

    async def __aexit__(self, *_):
        self._server.close()


#: Beginning of an answer, and the part that follows without end.
FORMS = [
    pytest.param(b"", b"x" * 1_000, id="no answer"),
    pytest.param(b"HTTP/1.1 200 ", b"x" * 1_000, id="status line"),
    pytest.param(OK, b"a: b\r\n" * 100, id="fields"),
    pytest.param(OK + b"a: ", b"x" * 1_000, id="one field"),
    pytest.param(
        b"", b"HTTP/1.1 100 Continue\r\n\r\n", id="interim responses"
    ),
    pytest.param(OK + b"\r\n", PIECE, id="body until close"),
    pytest.param(
        OK + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK, id="chunks"
    ),
    pytest.param(
        OK + b"Transfer-Encoding: chunked\r\n\r\n5;",
        b"x" * 1_000,
        id="chunk extension",
    ),
    pytest.param(
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 2_000,
        id="chunks of one byte",
    ),
    pytest.param(
        OK + b"Content-Length: 99999999999\r\n\r\n", PIECE, id="length"
    ),
]
