"""Pool of persistent connections to one backend server."""

import asyncio
from collections.abc import Collection
import enum
import math

from tarragonhinge import base
from tarragonhinge.http1 import _connection_budget
from tarragonhinge.http1 import _errors
from tarragonhinge.http1 import _server_connection
from tarragonhinge.http1 import _tcp_stream

#: Timeout for opening a connection; the latency between regions is 40 ms.
CONNECT_TIMEOUT_MS = 900

#: Idle time after which a connection is not reused, unless the server states
#: its own keep-alive time.
IDLE_LIMIT_MS = 4_000

#: Fraction of the server's keep-alive time during which a connection is
#: reused, so that the server does not close it first.
KEEP_ALIVE_FRACTION = 0.7

#: Time before the end of the server's keep-alive time up to which a connection
#: is reused, if that is later: several round trips between regions, and delays
#: of the server's timer.
KEEP_ALIVE_MARGIN_MS = 800

#: Time for which connections to a server are not reused after the idle time
#: at which it has forgotten one, fraction of that idle time, and shortest idle
#: time that counts. A server under load forgets all of them alike.
FORGOTTEN_VALID_MS = 30_000
FORGOTTEN_FRACTION = 0.8
MIN_FORGOTTEN_MS = 250

#: Idle time after which a connection is not used for a non-idempotent request,
#: since a reset would leave its outcome unknown.
FRESH_IDLE_LIMIT_MS = 1_000

#: Fraction of the idle time up to which a connection is reused. One that the
#: server ends before shows that its process has ended.
EARLY_END_FRACTION = 0.5

#: Number of broken exchanges that such a connection counts for, since a server
#: that runs on may break off a single one.
EARLY_END_WEIGHT = 2


#: Bytes of bodies that one instance sends to one server at a time; a server
#: that holds more than its memory crashes. A single body may be larger.
#: Uploads of 360 KB, 30 at a server, take a third.
OUTSTANDING_LIMIT_BYTES = 32 << 20


class ListenerState(enum.Enum):
    """Reaction of a server to an attempt to connect.

    ACCEPTING: the connection was opened. REFUSING: no process listens.
    SILENT: there was no reaction in time, or the network failed.
    """

    ACCEPTING = "accepting"
    REFUSING = "refusing"
    SILENT = "silent"


class ConnectionPool:
    """Pool of connections to one incarnation of a backend server.

    Parameters
    ----------
    address : Address
        Address of the server.
    clock : Clock
        This process's clock.
    limit : int
        Maximum number of open connections.
    connect_timeout_ms : int
        Timeout for opening a connection.
    budget : ConnectionBudget or None
        Bound on the connections of all pools; unbounded if None.

    Attributes
    ----------
    min_connect_ms : float or None
        Shortest time in which a connection was opened; None if there was
        none yet.
    opened_count : int
        Number of attempts to open a connection.
    """

    def __init__(
        self,
        *,
        address: base.Address,
        clock: base.Clock,
        limit: int,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        budget: _connection_budget.ConnectionBudget | None = None,
    ) -> None:
        self._budget = budget or _connection_budget.ConnectionBudget()
        self._address = address
        self._connect_timeout_ms = connect_timeout_ms
        self._clock = clock
        self._limit = max(1, limit)
        self._idle: list[_server_connection.ServerConnection] = []
        self._open_count = 0
        self._is_closed = False
        # Connections that the server has ended since the last response, the
        # same when none was left, and time since which at least one is open.
        self._lost_count = 0
        self._all_lost_count = 0
        self._open_since: int | None = None
        self._outstanding_bytes = 0
        self.min_connect_ms: float | None = None
        self.opened_count = 0
        self._forgotten_idle_ms = math.inf
        self._forgotten_until = 0

    @property
    def limit(self) -> int:
        """Maximum number of open connections."""
        return self._limit

    async def acquire(
        self,
        *,
        fresh: bool,
        excluded: Collection[_server_connection.ServerConnection] = (),
        uses_reserve: bool = False,
    ) -> _server_connection.ServerConnection:
        """Return an idle connection or open a new one.

        Parameters
        ----------
        fresh : bool
            Whether to return only connections that were used within
            `FRESH_IDLE_LIMIT_MS` or are new; set for non-idempotent requests.
        excluded : collection of ServerConnection
            Connections that are not returned.
        uses_reserve : bool
            Whether the connection is for control traffic.

        Raises
        ------
        ExchangeError
            If no connection can be opened; the request was not sent.
            `UnreachableError` if the server did not accept one,
            `ConnectionBudgetError` if all pools have too many.
        """
        connection = self._find_idle(fresh=fresh, excluded=excluded)
        if connection is not None:
            self._idle.remove(connection)
            self._budget.remove_idle(connection)
            return connection
        if self._open_count >= self._limit:
            if not self._idle:
                raise _make_error("the connection limit is reached")
            self._close_connection(self._idle.pop(0))
        if not self._budget.take(uses_reserve=uses_reserve):
            raise _errors.ConnectionBudgetError
        self._open_count += 1
        if self._open_count == 1:
            self._open_since = None
        started_at = self._clock.now()
        try:
            connection = await self._open(timeout_ms=self._connect_timeout_ms)
        except OSError as error:
            self._open_count -= 1
            self._budget.give_back()
            raise _errors.UnreachableError(
                problem=f"cannot open a connection: {error}",
                is_refused=isinstance(error, ConnectionRefusedError),
            ) from error
        except asyncio.CancelledError:
            self._open_count -= 1
            self._budget.give_back()
            raise
        self._record_connect_time(self._clock.now() - started_at)
        self._record_opened()
        return connection

    async def _open(
        self, *, timeout_ms: int
    ) -> _server_connection.ServerConnection:
        self.opened_count += 1
        stream = await _tcp_stream.connect(
            self._address, timeout_ms=timeout_ms
        )
        return _server_connection.ServerConnection(
            stream=stream, clock=self._clock
        )

    def reserve_body(self, count: int) -> bool:
        """Count the body of a request, unless the server holds too much.

        Parameters
        ----------
        count : int
            Size of the body; `release_body` gets it at the end of the request.
        """
        total = self._outstanding_bytes + count
        if 0 < count < total and total > OUTSTANDING_LIMIT_BYTES:
            return False
        self._outstanding_bytes = total
        return True

    def release_body(self, count: int) -> None:
        """Stop to count the body of a request."""
        self._outstanding_bytes -= count

    def _find_idle(
        self,
        *,
        fresh: bool,
        excluded: Collection[_server_connection.ServerConnection] = (),
    ) -> _server_connection.ServerConnection | None:
        """Return the idle connection that was used last, if it will do."""
        self.prune()
        for connection in reversed(self._idle):
            if connection in excluded:
                continue
            idle_ms = self._clock.now() - connection.used_at
            if not fresh or idle_ms < FRESH_IDLE_LIMIT_MS:
                return connection
        return None

    def has_idle(self, *, fresh: bool) -> bool:
        """Return whether `acquire` needs to open no connection."""
        return self._find_idle(fresh=fresh) is not None

    async def probe(
        self, *, timeout_ms: int = CONNECT_TIMEOUT_MS
    ) -> ListenerState:
        """Find out whether the server accepts connections.

        A connection that is opened serves the next request.
        """
        try:
            connection = await self._open(timeout_ms=timeout_ms)
        except ConnectionRefusedError:
            return ListenerState.REFUSING
        except OSError:
            return ListenerState.SILENT
        if self._open_count >= self._limit or not self._budget.take(
            uses_reserve=True
        ):
            connection.close()
            return ListenerState.ACCEPTING
        self._open_count += 1
        if self._open_count == 1:
            self._open_since = None
        self._record_opened()
        self.release(connection)
        return ListenerState.ACCEPTING

    def _record_connect_time(self, elapsed_ms: int) -> None:
        if self.min_connect_ms is None:
            self.min_connect_ms = elapsed_ms
        self.min_connect_ms = min(self.min_connect_ms, elapsed_ms)

    def release(self, connection: _server_connection.ServerConnection) -> None:
        """Return a connection to the pool for the next request."""
        if self._is_closed or not connection.is_reusable():
            self.discard(connection)
            return
        self._lost_count = 0
        self._idle.append(connection)
        self._budget.add_idle(connection, self)

    def drop_idle(
        self, connection: _server_connection.ServerConnection
    ) -> None:
        """Close an idle connection, which makes room for another pool."""
        self._idle.remove(connection)
        self._close_connection(connection)

    def record_break(self, weight: int = 1) -> None:
        """Record that the server has ended a connection unexpectedly."""
        self._lost_count += weight
        self._open_since = None

    def take_lost(self) -> int:
        """Return how many connections ended unexpectedly until none was left.

        They count once, by weight; 0 if others were open.
        """
        self.prune()
        lost_count, self._all_lost_count = self._all_lost_count, 0
        return lost_count

    def has_outlasted(self, duration_ms: int) -> bool:
        """Return whether connections were open all the time until now."""
        self.prune()
        return (
            self._open_count > 0
            and self._open_since is not None
            and self._clock.now() - self._open_since >= duration_ms
        )

    def _record_opened(self) -> None:
        if self._open_since is None:
            self._open_since = self._clock.now()

    def discard(self, connection: _server_connection.ServerConnection) -> None:
        """Close a connection that was acquired."""
        self._close_connection(connection)

    def _close_connection(
        self, connection: _server_connection.ServerConnection
    ) -> None:
        self._open_count -= 1
        self._budget.give_back(connection)
        if self._open_count == 0 and self._lost_count:
            self._all_lost_count = self._lost_count
            self._lost_count = 0
        connection.close()

    def prune(self) -> None:
        """Close idle connections that have ended or were idle for too long."""
        reusable = []
        for connection in self._idle:
            idle_ms = self._clock.now() - connection.used_at
            limit_ms = self._compute_idle_limit_ms(connection)
            if connection.is_reusable() and idle_ms < limit_ms:
                reusable.append(connection)
            else:
                if connection.has_ended_early(EARLY_END_FRACTION * limit_ms):
                    self.record_break(EARLY_END_WEIGHT)
                self._close_connection(connection)
        self._idle = reusable

    def _compute_idle_limit_ms(
        self, connection: _server_connection.ServerConnection
    ) -> float:
        limit_ms = IDLE_LIMIT_MS
        if connection.keep_alive_ms is not None:
            limit_ms = max(
                connection.keep_alive_ms * KEEP_ALIVE_FRACTION,
                connection.keep_alive_ms - KEEP_ALIVE_MARGIN_MS,
            )
        if self._clock.now() < self._forgotten_until:
            limit_ms = min(limit_ms, self._forgotten_idle_ms)
        return limit_ms

    def record_forgotten(self, *, idle_ms: float) -> None:
        """Record that the server has reset a connection that was idle."""
        if idle_ms < MIN_FORGOTTEN_MS:
            return
        if self._clock.now() >= self._forgotten_until:
            self._forgotten_idle_ms = math.inf
        self._forgotten_idle_ms = min(
            self._forgotten_idle_ms, FORGOTTEN_FRACTION * idle_ms
        )
        self._forgotten_until = self._clock.now() + FORGOTTEN_VALID_MS

    def close(self) -> None:
        """Close idle connections; others are closed on their release."""
        self._is_closed = True
        for connection in self._idle:
            self._close_connection(connection)
        self._idle = []


def _make_error(problem: str) -> _errors.ExchangeError:
    return _errors.ExchangeError(
        problem=problem, remedy="send it to another server", sent=False
    )
