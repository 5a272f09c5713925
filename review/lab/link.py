"""Link of one instance to the store, which can fall silent."""

import asyncio
import contextlib


class Link:
    """Relays connections; while it is silent, it drops all bytes."""

    def __init__(self, *, host: str, target: str) -> None:
        self._host = host
        self._target = target
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.is_silent = False
        self.address = ""

    async def start(self) -> None:
        """Start to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def heal(self) -> None:
        """Relay again; connections that lost bytes are reset."""
        self.is_silent = False
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers |= {writer, far_writer}
            try:
                await asyncio.gather(
                    self._relay(reader, far_writer),
                    self._relay(far_reader, writer),
                )
            finally:
                self._writers -= {writer, far_writer}
                far_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if not self.is_silent:
                    writer.write(data)
                    await writer.drain()
        writer.transport.abort()
