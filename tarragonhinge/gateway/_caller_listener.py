"""Listener for connections of callers."""

import asyncio

from tarragonhinge import base
from tarragonhinge.gateway import _gateway
from tarragonhinge import http1

#: Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG = 2_048


class CallerListener:
    """Accepts connections of callers and serves each one in its own task.

    Parameters
    ----------
    address : Address
        Address to listen on.
    gateway : Gateway
        Handler of the requests.
    """

    def __init__(
        self, *, address: base.Address, gateway: _gateway.Gateway
    ) -> None:
        self._address = address
        self._gateway = gateway
        self._server: asyncio.Server | None = None
        self._is_stopped = False
        self._connections: dict[http1.CallerConnection, asyncio.Task] = {}

    async def start(self) -> None:
        """Start to listen."""
        host, port = http1.split_address(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=LISTEN_BACKLOG
        )

    def _accept(self) -> http1.TcpStream:
        if self._is_stopped:
            # asyncio closes the socket.  It can't make a transport for a
            # closed server, but would leave the socket open.
            raise ConnectionAbortedError("the listener is closed")
        stream = http1.TcpStream()
        connection = http1.CallerConnection(
            stream=stream,
            handle=self._gateway.handle,
            is_concurrent=self._gateway.is_concurrent,
            get_limits=self._gateway.get_limits,
            is_stopping=lambda: self._gateway.shutdown.has_begun,
        )
        task = asyncio.create_task(connection.run())
        self._connections[connection] = task
        task.add_done_callback(lambda _: self._connections.pop(connection))
        return stream

    def count_busy(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(not c.is_idle for c in self._connections)

    def stop_accepting(self) -> None:
        """Stop accepting connections; open connections continue."""
        self._is_stopped = True
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    async def stop(self) -> None:
        """Stop accepting connections and close all open ones."""
        self.stop_accepting()
        for task in list(self._connections.values()):
            task.cancel()
        await asyncio.gather(
            *self._connections.values(), return_exceptions=True
        )
