"""Kept connections to one backend server."""

import asyncio

from tarragonhinge import base
from tarragonhinge.http1 import _errors
from tarragonhinge.http1 import _server_connection
from tarragonhinge.http1 import _tcp_stream

#: Time to open a connection; a crossing between regions takes 40 ms.
CONNECT_TIMEOUT_MS = 900

#: Idle time after which a connection is not used again where the server
#: states no time of its own.
IDLE_LIMIT_MS = 4_000

#: Part of the stated idle time that is used, since the server closes.
IDLE_PART = 0.7

#: Idle time after which a connection is not used for a request that must
#: not be repeated, since a reset would leave its outcome unknown.
FRESH_LIMIT_MS = 1_000


class ConnectionPool:
    """Connections to one incarnation of a backend server.

    Parameters
    ----------
    address : Address
        Where the server listens.
    clock : Clock
        This process's clock.
    limit : int
        Most connections at once.
    """

    def __init__(
        self, *, address: base.Address, clock: base.Clock, limit: int
    ) -> None:
        self._address = address
        self._clock = clock
        self._limit = max(1, limit)
        self._idle: list[_server_connection.ServerConnection] = []
        self._open_count = 0
        self._is_closed = False
        self.min_connect_ms: float | None = None

    async def acquire(
        self, *, fresh: bool
    ) -> _server_connection.ServerConnection:
        """Return an idle connection, or open one.

        Parameters
        ----------
        fresh : bool
            Whether the request must not be repeated.

        Raises
        ------
        ExchangeError
            If none can be opened; the request was not sent.
        """
        self.prune()
        limit_ms = FRESH_LIMIT_MS if fresh else None
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            idle_ms = self._clock.now() - connection.used_at
            if limit_ms is None or idle_ms < limit_ms:
                del self._idle[index]
                return connection
        if self._open_count >= self._limit:
            if not self._idle:
                raise _make_error("all connections are in use")
            self._drop(self._idle.pop(0))
        self._open_count += 1
        started_at = self._clock.now()
        try:
            stream = await _tcp_stream.connect(
                self._address, timeout_ms=CONNECT_TIMEOUT_MS
            )
        except OSError as error:
            self._open_count -= 1
            raise _make_error(f"no connection: {error}") from error
        except asyncio.CancelledError:
            self._open_count -= 1
            raise
        self._note_connect(self._clock.now() - started_at)
        return _server_connection.ServerConnection(
            stream=stream, clock=self._clock
        )

    def _note_connect(self, elapsed_ms: int) -> None:
        if self.min_connect_ms is None:
            self.min_connect_ms = elapsed_ms
        self.min_connect_ms = min(self.min_connect_ms, elapsed_ms)

    def release(self, connection: _server_connection.ServerConnection) -> None:
        """Keep a connection for the next request."""
        if self._is_closed or not connection.is_reusable():
            self.discard(connection)
            return
        self._idle.append(connection)

    def discard(self, connection: _server_connection.ServerConnection) -> None:
        """Close a connection that was taken."""
        self._drop(connection)

    def _drop(self, connection: _server_connection.ServerConnection) -> None:
        self._open_count -= 1
        connection.close()

    def prune(self) -> None:
        """Close idle connections that have ended or are too old."""
        kept = []
        for connection in self._idle:
            idle_ms = self._clock.now() - connection.used_at
            limit_ms = IDLE_LIMIT_MS
            if connection.keep_ms is not None:
                limit_ms = connection.keep_ms * IDLE_PART
            if connection.is_reusable() and idle_ms < limit_ms:
                kept.append(connection)
            else:
                self._drop(connection)
        self._idle = kept

    def close(self) -> None:
        """Close the idle connections; those in use end with their work."""
        self._is_closed = True
        for connection in self._idle:
            self._drop(connection)
        self._idle = []


def _make_error(problem: str) -> _errors.ExchangeError:
    return _errors.ExchangeError(
        problem=problem, remedy="send it to another server", sent=False
    )
