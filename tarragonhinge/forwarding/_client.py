"""Calls to other instances."""

import asyncio
from collections.abc import Callable

import msgspec

from tarragonhinge import base
from tarragonhinge.forwarding import _directory
from tarragonhinge.forwarding import _messages
from tarragonhinge import http1
from tarragonhinge import servers

#: Timeout for opening a connection to another instance.
CONNECT_TIMEOUT_MS = 400

#: Timeout of a query; the other instance may have to try the servers.
QUERY_TIMEOUT_MS = 900

#: Maximum number of connections to one other instance.
MAX_CONNECTIONS = 64

_QUERY_TARGET = "/paths"

_report_decoder = msgspec.json.Decoder(_messages.PathReport)


class PeerError(base.TarragonhingeError):
    """Another instance gave no valid response.

    Parameters
    ----------
    problem : str
        As for `TarragonhingeError`.
    sent : bool
        Whether it may have received the call.
    is_local : bool
        Whether this instance lacks connections, so that no other instance
        would get the call either.
    """

    def __init__(
        self, *, problem: str, sent: bool, is_local: bool = False
    ) -> None:
        super().__init__(
            problem=problem, remedy="see the log of the other instance"
        )
        self.sent = sent
        self.is_local = is_local


class ForwardingClient:
    """Sends requests and queries to other instances.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    budget : ConnectionBudget or None
        Bound on the connections of all pools; unbounded if None.
    """

    def __init__(
        self,
        *,
        clock: base.Clock,
        budget: http1.ConnectionBudget | None = None,
    ) -> None:
        self._clock = clock
        self._budget = budget
        self._pools: dict[base.Address, http1.ConnectionPool] = {}

    async def send_request(
        self,
        peer: _directory.PeerInstance,
        request: http1.HttpRequest,
        call: _messages.ForwardedRequest,
        *,
        timeout_ms: int,
        on_sent: Callable[[], None],
    ) -> tuple[_messages.ForwardedOutcome, http1.HttpResponse]:
        """Let another instance send a caller's request.

        If the calling task is cancelled, the connection is closed, so that
        the other instance cancels the request.

        Parameters
        ----------
        peer : PeerInstance
            The other instance.
        request : HttpRequest
            The caller's request.
        call : ForwardedRequest
            Call that goes with it.
        timeout_ms : int
            Time for the connection and the response.
        on_sent : callable
            Called before the call is written to an open connection. From
            then on a server may run the request. It may raise `PeerError` to
            keep the call from being written.

        Raises
        ------
        PeerError
            If there is no complete response before the deadline.
        """
        response = await self._exchange(
            peer,
            http1.HttpRequest(
                method=request.method,
                target=request.target,
                fields=_messages.add_call(
                    [
                        ("host", request.find("host") or call.route.host),
                        *servers.drop_hop_by_hop_fields(request.fields),
                    ],
                    call,
                ),
                body=request.body,
                usage=request.usage,
            ),
            timeout_ms=timeout_ms,
            on_sent=on_sent,
        )
        try:
            return _messages.read_outcome(response)
        except base.CodecError as error:
            raise PeerError(problem=error.problem, sent=True) from error

    async def query_paths(
        self, peer: _directory.PeerInstance, query: _messages.PathQuery
    ) -> _messages.PathReport | None:
        """Ask which servers another instance reaches; None if it is silent."""
        try:
            response = await self._exchange(
                peer,
                http1.HttpRequest(
                    method="GET",
                    target=_QUERY_TARGET,
                    fields=_messages.add_call([("host", peer.address)], query),
                ),
                timeout_ms=QUERY_TIMEOUT_MS,
                uses_reserve=True,
            )
            report = _report_decoder.decode(response.body)
        except (PeerError, *base.DECODE_ERRORS):
            return None
        if len(report.states) != len(query.servers):
            return None
        return report

    async def _exchange(
        self,
        peer: _directory.PeerInstance,
        request: http1.HttpRequest,
        *,
        timeout_ms: int,
        on_sent: Callable[[], None] = lambda: None,
        uses_reserve: bool = False,
    ) -> http1.HttpResponse:
        pool = self._get_pool(peer.address)
        ends_at = self._clock.now() + timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / base.MS_PER_S):
                # A reset of an idle connection would leave the outcome
                # unknown.
                connection = await pool.acquire(
                    fresh=True, uses_reserve=uses_reserve
                )
        except TimeoutError as error:
            raise PeerError(problem="no connection", sent=False) from error
        except http1.ExchangeError as error:
            raise PeerError(
                problem=error.problem,
                sent=False,
                is_local=isinstance(error, http1.ConnectionBudgetError),
            ) from error
        is_reusable = False
        left_ms = max(1, ends_at - self._clock.now())
        try:
            on_sent()
            async with asyncio.timeout(left_ms / base.MS_PER_S):
                response = await connection.exchange(
                    request, recognize=lambda _: True
                )
            is_reusable = not response.closes
            return response
        except TimeoutError as error:
            raise PeerError(problem="no response", sent=True) from error
        except http1.ExchangeError as error:
            raise PeerError(problem=error.problem, sent=error.sent) from error
        finally:
            if is_reusable:
                pool.release(connection)
            else:
                pool.discard(connection)

    def _get_pool(self, address: base.Address) -> http1.ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = http1.ConnectionPool(
                address=address,
                clock=self._clock,
                limit=MAX_CONNECTIONS,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                budget=self._budget,
            )
            self._pools[address] = pool
        return pool

    def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            pool.close()
