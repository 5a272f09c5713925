"""HTTP client that grants key ranges to backend servers."""

import asyncio
from collections.abc import Callable
import dataclasses

import msgspec

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge import ranges

_HANDOVER_FIELD = "tarragonhinge-duty-handover"
# A server with another id that listens at the address refuses the call.
_EXPECTED_SERVER_HEADER = "Tarragonhinge-Expect-Instance"


#: Timeout of opening a connection.
CONNECT_TIMEOUT_MS = 500


#: Time without a response after which a grant's server counts as silent.
SILENCE_MS = 250


#: Interval at which connections that owners have ended are closed.
END_CHECK_MS = 1_000


_RESULTS_BY_STATUS = {
    200: ranges.GrantResult.HELD,
    409: ranges.GrantResult.FENCED,
}


class _OwnerConnection:
    """Persistent connection to one owner, used by one call at a time.

    Attributes
    ----------
    current_id : ConnectionId
        Id of the connection opened last.
    """

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.http_connection: http1.ServerConnection | None = None
        self.current_id = ranges.ConnectionId(0)

    def open(self, connection: http1.ServerConnection) -> None:
        self.http_connection = connection
        self.current_id = ranges.ConnectionId(self.current_id + 1)

    def is_open(self) -> bool:
        return (
            self.http_connection is not None
            and self.http_connection.is_reusable()
        )

    def close(self) -> None:
        if self.http_connection is not None:
            self.http_connection.close()
            self.http_connection = None


class PlatformGrants(ranges.GrantClient):
    """Grants key ranges to backend servers and releases them.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    report_silence : callable
        Called with the id of each server that owes a response, and the time
        from which it does.
    """

    def __init__(
        self,
        *,
        clock: base.Clock,
        report_silence: Callable[[base.ServerId, int], None] = (
            lambda server, since: None
        ),
    ) -> None:
        self._clock = clock
        self._report_silence = report_silence
        self._connections: dict[ranges.Holder, _OwnerConnection] = {}
        self._checked_at = clock.now()

    def is_connected(
        self, holder: ranges.Holder, connection_id: ranges.ConnectionId
    ) -> bool:
        """Return whether a connection to an owner is still open."""
        connection = self._connections.get(holder)
        # A connection is not reusable while a call uses it, so a locked one
        # counts as open.
        return (
            connection is not None
            and (connection.lock.locked() or connection.is_open())
            and connection.current_id == connection_id
        )

    async def grant(
        self,
        holder: ranges.Holder,
        grant: ranges.Grant,
        *,
        connection_id: ranges.ConnectionId | None,
    ) -> ranges.GrantReply:
        """Grant a key range or renew its grant."""
        self._close_ended()
        body = {
            "from": grant.first,
            "to": grant.last,
            "fence": grant.fence,
            # Duration in milliseconds, counted from the arrival of the call.
            "hold_time": grant.hold_ms,
        }
        if grant.handover:
            body["handoff"] = grant.handover
        connection = self._connections.setdefault(holder, _OwnerConnection())
        unsent = ranges.GrantReply(
            result=ranges.GrantResult.UNKNOWN, is_sent=False
        )
        ends_at = asyncio.get_running_loop().time() + (
            ranges.GRANT_TIMEOUT_MS / base.MS_PER_S
        )
        try:
            async with asyncio.timeout(
                ranges.CONNECTION_WAIT_MS / base.MS_PER_S
            ):
                await connection.lock.acquire()
        except TimeoutError:
            return dataclasses.replace(unsent, connection_id=connection_id)
        try:
            if connection_id is not None and not (
                connection.is_open() and connection.current_id == connection_id
            ):
                # The server may have restarted since it received the fencing
                # token.
                return unsent
            status = await self._send(connection, holder, body, ends_at)
            open_id = connection.current_id if connection.is_open() else None
        finally:
            connection.lock.release()
        result = _RESULTS_BY_STATUS.get(status, ranges.GrantResult.UNKNOWN)
        return ranges.GrantReply(result=result, connection_id=open_id)

    def _close_ended(self) -> None:
        """Close the connections to owners that have ended theirs.

        An owner that is gone gets no further grant on its connection, which
        would keep its descriptor.
        """
        now = self._clock.now()
        if now - self._checked_at < END_CHECK_MS:
            return
        self._checked_at = now
        for connection in self._connections.values():
            if not (connection.lock.locked() or connection.is_open()):
                connection.close()

    async def _send(
        self,
        connection: _OwnerConnection,
        holder: ranges.Holder,
        body: dict,
        ends_at: float,
    ) -> int:
        """Send a grant; return the status, or 0 without a response.

        Parameters
        ----------
        connection : _OwnerConnection
            Connection to the holder, opened if it is closed.
        holder : Holder
            The holder.
        body : dict
            Content of the call.
        ends_at : float
            Time of the event loop by which the response must arrive.
        """
        keep_open = False
        began_at = self._clock.now()
        silence = asyncio.get_running_loop().call_later(
            SILENCE_MS / base.MS_PER_S,
            self._report_silence,
            holder.server,
            began_at,
        )
        try:
            async with asyncio.timeout_at(ends_at):
                if not connection.is_open():
                    connection.close()
                    stream = await http1.connect(
                        holder.address, timeout_ms=CONNECT_TIMEOUT_MS
                    )
                    connection.open(
                        http1.ServerConnection(
                            stream=stream, clock=self._clock
                        )
                    )
                response = await connection.http_connection.exchange(
                    _make_request(holder, "/tarragonhinge/grant", body),
                    recognize=lambda _: True,
                )
            keep_open = not response.closes
            return response.status
        except (TimeoutError, OSError, http1.ExchangeError):
            self._report_silence(holder.server, began_at)
            return 0
        finally:
            silence.cancel()
            if not keep_open:
                connection.close()

    async def release(
        self,
        holder: ranges.Holder,
        release: ranges.Release,
        *,
        timeout_ms: int,
    ) -> str | None:
        """Ask a server to give up a key range.

        Returns
        -------
        str or None
            Handover token for the next owner, or empty if there is none or
            the owner's process has ended. The server responds only after
            the running requests for the keys have ended. None if the release
            was not confirmed.
        """
        body = {
            "from": release.first,
            "to": release.last,
            "fence": release.fence,
        }
        try:
            async with asyncio.timeout(timeout_ms / base.MS_PER_S):
                response = await self._exchange_on_new_connection(
                    holder, "/tarragonhinge/release", body
                )
        except (TimeoutError, OSError, http1.ExchangeError):
            return None
        if response.status == 421:
            # Another server uses the address, so the owner's process has
            # ended.
            return ""
        if response.status != 200:
            return None
        return _find_handover(response)

    async def _exchange_on_new_connection(
        self, holder: ranges.Holder, target: str, body: dict
    ) -> http1.HttpResponse:
        """Send a call over a connection of its own.

        A reply has no id. On a connection that was used before, a late second
        copy of its last reply would confirm a release.
        """
        stream = await http1.connect(
            holder.address, timeout_ms=CONNECT_TIMEOUT_MS
        )
        connection = http1.ServerConnection(stream=stream, clock=self._clock)
        try:
            return await connection.exchange(
                _make_request(holder, target, body), recognize=lambda _: True
            )
        finally:
            connection.close()

    async def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()


def _make_request(
    holder: ranges.Holder, target: str, body: dict
) -> http1.HttpRequest:
    return http1.HttpRequest(
        method="POST",
        target=target,
        fields=[
            ("host", holder.address),
            ("content-type", "application/json"),
            (_EXPECTED_SERVER_HEADER, holder.server),
        ],
        body=msgspec.json.encode(body),
    )


def _find_handover(response: http1.HttpResponse) -> str:
    """Return the handover token of a release, or an empty text."""
    values = (v for name, v in response.fields if name == _HANDOVER_FIELD)
    return next(values, "")
