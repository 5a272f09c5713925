"""Loopback proxy that disturbs the connections through it."""

import asyncio
import contextlib
import enum

#: Bytes that are passed on at once.
_CHUNK_BYTES = 65_536


class ProxyMode(enum.Enum):
    """What happens to the bytes on the way."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class Proxy:
    """Passes connections on to an address.

    Parameters
    ----------
    host : str
        Where it listens, at a port of its own.
    target : str
        Address that the connections go to.

    Attributes
    ----------
    mode : ProxyMode
        What happens to the bytes.
    """

    def __init__(self, *, host: str, target: str) -> None:
        self._host = host
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self.mode = ProxyMode.PASS
        self.address = ""

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """End."""
        self._server.close()
        self.reset_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            back, forth = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, forth}
        try:
            await asyncio.gather(
                self._pump(reader, forth, is_answer=False),
                self._pump(back, writer, is_answer=True),
            )
        finally:
            self._writers -= {writer, forth}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(0.1)
                is_lost = self.mode is ProxyMode.SILENT or (
                    self.mode is ProxyMode.ONE_WAY and is_answer
                )
                if not is_lost:
                    writer.write(data)
                    await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
