"""Orders to backend servers that hold keys, over HTTP."""

import asyncio

import aiohttp
import msgspec

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge import ranges

_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
_HANDOVER = "Tarragonhinge-Duty-Handover"
# Makes any other server at the address refuse the order.
_EXPECT = "Tarragonhinge-Expect-Instance"


#: Time to open a connection.
CONNECT_TIMEOUT_MS = 500


_RESULTS = {
    200: ranges.GrantResult.HELD,
    409: ranges.GrantResult.FENCED,
}


class _Line:
    """The kept connection to one holder, one grant at a time."""

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.connection: http1.ServerConnection | None = None
        self.number = ranges.ConnectionId(0)

    def open(self, connection: http1.ServerConnection) -> None:
        self.connection = connection
        self.number = ranges.ConnectionId(self.number + 1)

    def is_open(self) -> bool:
        return self.connection is not None and self.connection.is_reusable()

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class PlatformGrants(ranges.GrantClient):
    """Tells servers which keys they hold.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._lines: dict[ranges.Holder, _Line] = {}
        self._session: aiohttp.ClientSession | None = None

    def is_connected(
        self, holder: ranges.Holder, connection_id: ranges.ConnectionId
    ) -> bool:
        """Return whether a connection is still the one to a holder."""
        present = self._lines.get(holder)
        # A connection that is in use is not open for others.
        return (
            present is not None
            and (present.lock.locked() or present.is_open())
            and present.number == connection_id
        )

    async def grant(
        self,
        holder: ranges.Holder,
        grant: ranges.Grant,
        *,
        connection_id: ranges.ConnectionId | None,
    ) -> ranges.GrantReply:
        """Grant a range, or renew it."""
        body = {
            "from": grant.first,
            "to": grant.last,
            "fence": grant.fence,
            # Milliseconds from the arrival of the call.
            "hold_time": grant.hold_ms,
        }
        if grant.handover:
            body["handoff"] = grant.handover
        present = self._lines.setdefault(holder, _Line())
        async with present.lock:
            if connection_id is not None and not (
                present.is_open() and present.number == connection_id
            ):
                # The token may be of a process that has ended.
                return ranges.GrantReply(result=ranges.GrantResult.UNKNOWN)
            status = await self._send(present, holder, body)
            number = present.number if present.is_open() else None
        result = _RESULTS.get(status, ranges.GrantResult.UNKNOWN)
        return ranges.GrantReply(result=result, connection_id=number)

    async def _send(
        self, line: _Line, holder: ranges.Holder, body: dict
    ) -> int:
        """Return the status of a grant, 0 without an answer."""
        keeps = False
        try:
            async with asyncio.timeout(
                ranges.GRANT_TIMEOUT_MS / base.MS_PER_S
            ):
                if not line.is_open():
                    line.close()
                    stream = await http1.connect(
                        holder.address, timeout_ms=CONNECT_TIMEOUT_MS
                    )
                    line.open(
                        http1.ServerConnection(
                            stream=stream, clock=self._clock
                        )
                    )
                answer = await line.connection.exchange(
                    http1.HttpRequest(
                        method="POST",
                        target="/tarragonhinge/grant",
                        fields=[
                            ("host", holder.address),
                            ("content-type", "application/json"),
                            (_EXPECT, holder.server),
                        ],
                        body=msgspec.json.encode(body),
                    ),
                    recognize=lambda _: True,
                )
            keeps = not answer.closes
            return answer.status
        except (TimeoutError, OSError, http1.ExchangeError):
            return 0
        finally:
            if not keeps:
                line.close()

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=4),
                skip_auto_headers=["User-Agent", "Accept", "Accept-Encoding"],
            )
        return self._session

    async def release(
        self,
        holder: ranges.Holder,
        release: ranges.Release,
        *,
        timeout_ms: int,
    ) -> str | None:
        """Take a range back; return the handover once its work ended."""
        body = {
            "from": release.first,
            "to": release.last,
            "fence": release.fence,
        }
        timeout = aiohttp.ClientTimeout(total=timeout_ms / base.MS_PER_S)
        try:
            async with self._open().post(
                f"http://{holder.address}/tarragonhinge/release",
                data=msgspec.json.encode(body),
                headers={
                    "Content-Type": "application/json",
                    _EXPECT: holder.server,
                },
                timeout=timeout,
            ) as answer:
                await answer.read()
                if answer.status == 421:
                    # Another server has the address: the holder ended.
                    return ""
                if answer.status != 200:
                    return None
                return answer.headers.get(_HANDOVER, "")
        except _ERRORS:
            return None

    async def close(self) -> None:
        """Release connections."""
        for line in self._lines.values():
            line.close()
        if self._session is not None:
            await self._session.close()
