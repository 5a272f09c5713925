"""Listener for connections of callers."""

import asyncio
import functools
import socket

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.gateway import _call_handler
from tarragonhinge.gateway import _connection_limit
from tarragonhinge.gateway import _gateway
from tarragonhinge import http1

#: Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG = 2_048

#: Number of connections that are accepted in one turn of the event loop. The
#: connections that make room for them are closed in the next turn.
ACCEPT_BATCH = 16

#: Additional size of a request's header that another instance forwards.
CALL_HEADER_BYTES = 16_384

#: Largest body of a forwarded request, if callers' limit is smaller.
MAX_CALL_BODY_BYTES = 16 << 20


class CallerListener:
    """Accepts connections of callers and serves each one in its own task.

    Parameters
    ----------
    address : Address
        Address to listen on.
    gateway : Gateway
        Handler of the requests.
    calls : CallHandler or None
        Handler of calls, if the callers are other instances.
    """

    def __init__(
        self,
        *,
        address: base.Address,
        gateway: _gateway.Gateway,
        calls: _call_handler.CallHandler | None = None,
    ) -> None:
        self._address = address
        self._gateway = gateway
        self._handle = gateway.handle
        self._get_limits = gateway.get_limits
        self._make_refusal = gateway.refuse_for_memory
        fraction = _connection_limit.CALLER_FRACTION
        if calls is not None:
            fraction = _connection_limit.CALL_FRACTION
            self._handle = calls.handle
            self._make_refusal = calls.refuse_for_memory
            self._get_limits = self._compute_call_limits
        self._limit = gateway.compute_connection_limit(fraction)
        self._server: asyncio.Server | None = None
        self._is_stopped = False
        self._connections: dict[http1.CallerConnection, asyncio.Task] = {}
        # Those that have made room for others and have not ended yet.
        self._closed: set[http1.CallerConnection] = set()

    async def start(self) -> None:
        """Start to listen."""
        host, port = http1.split_address(self._address)
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.create_server((host, port), family=family)
        http1.limit_first_windows(sock)
        self._server = await loop.create_server(
            self._accept, sock=sock, backlog=ACCEPT_BATCH
        )
        # The event loop has set its number of connections at once.
        sock.listen(LISTEN_BACKLOG)

    def _accept(self) -> http1.TcpStream:
        if self._is_stopped:
            # asyncio closes the socket.  It can't make a transport for a
            # closed server, but would leave the socket open.
            raise ConnectionAbortedError("the listener is closed")
        if len(self._connections) - len(self._closed) >= self._limit:
            self._make_room()
        stream = http1.TcpStream()
        connection = http1.CallerConnection(
            stream=stream,
            handle=self._handle,
            is_concurrent=self._gateway.is_concurrent,
            get_limits=self._get_limits,
            is_stopping=lambda: self._gateway.shutdown.has_begun,
            account=self._gateway.memory,
            make_refusal=self._make_refusal,
            record_stall=functools.partial(
                self._gateway.record_closed_client, "memory"
            ),
        )
        task = asyncio.create_task(connection.run())
        self._connections[connection] = task
        task.add_done_callback(lambda _: self._discard(connection))
        return stream

    def _make_room(self) -> None:
        """Close connections for new ones.

        Raises
        ------
        ConnectionAbortedError
            If all have complete requests; the new one is closed.
        """
        chosen = _connection_limit.choose_connections(
            (
                _connection_limit.ConnectionState(
                    connection=connection,
                    is_idle=connection.is_idle,
                    is_incomplete=connection.is_incomplete,
                    since=connection.answered_at,
                )
                for connection in self._connections
                if not connection.is_closing
            ),
            max(1, int(self._limit * _connection_limit.CLOSED_FRACTION)),
        )
        if not chosen:
            raise ConnectionAbortedError("too many connections")
        for connection in chosen:
            self._gateway.record_closed_client("descriptors", connection.peer)
            connection.abort()
        self._closed.update(chosen)

    def _discard(self, connection: http1.CallerConnection) -> None:
        del self._connections[connection]
        self._closed.discard(connection)

    def _compute_call_limits(self) -> catalog.CallerLimits:
        """Return limits that admit each request that a caller may send.

        The other instance has applied the limits on callers, perhaps those of
        an earlier routing table.
        """
        limits = self._gateway.get_limits()
        return msgspec.structs.replace(
            limits,
            header_bytes=limits.header_bytes + CALL_HEADER_BYTES,
            body_bytes=max(limits.body_bytes, MAX_CALL_BODY_BYTES),
        )

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
