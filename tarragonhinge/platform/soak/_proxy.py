"""TCP proxy on loopback that injects network faults."""

import asyncio
import contextlib
import enum

#: Largest number of bytes that are relayed at once.
_RELAY_CHUNK_BYTES = 65_536


class ProxyMode(enum.Enum):
    """Network fault that a proxy injects.

    PASS: none. DELAY: 100 ms per chunk. SILENT: all data is dropped. ONE_WAY:
    only data from the target is dropped. REFUSE: new connections are reset.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class Proxy:
    """Relays connections to an address.

    Parameters
    ----------
    host : str
        Address on which the proxy listens, on a free port.
    target : str
        Address to which the proxy relays connections.

    Attributes
    ----------
    mode : ProxyMode
        Fault that is injected.
    """

    def __init__(self, *, host: str, target: str) -> None:
        self._host = host
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self.mode = ProxyMode.PASS
        self.address = ""

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset all open connections."""
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
            # The server sees the address of the instance.
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host,
                int(port),
                local_addr=(writer.get_extra_info("peername")[0], 0),
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self._relay(reader, upstream_writer, is_response=False),
                self._relay(upstream_reader, writer, is_response=True),
            )
        finally:
            self._writers -= {writer, upstream_writer}

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_RELAY_CHUNK_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(0.1)
                is_dropped = self.mode is ProxyMode.SILENT or (
                    self.mode is ProxyMode.ONE_WAY and is_response
                )
                if not is_dropped:
                    writer.write(data)
                    await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
