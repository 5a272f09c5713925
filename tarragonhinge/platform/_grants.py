"""Grants of key ranges to backend servers over HTTP."""

import asyncio

import aiohttp
import msgspec

from tarragonhinge import base
from tarragonhinge import ranges

_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
_HANDOVER = "Tarragonhinge-Duty-Handover"

#: Bound on a grant; renewals are three times as frequent as needed.
GRANT_TIMEOUT_MS = 700


class PlatformGrants(ranges.GrantClient):
    """Tells servers which keys they hold."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=4),
                skip_auto_headers=["User-Agent", "Accept", "Accept-Encoding"],
            )
        return self._session

    async def grant(
        self, address: base.Address, grant: ranges.Grant
    ) -> ranges.GrantResult:
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
        status, _ = await self._post(
            address, "grant", body, timeout_ms=GRANT_TIMEOUT_MS
        )
        if status == 200:
            return ranges.GrantResult.HELD
        if status == 409:
            return ranges.GrantResult.FENCED
        return ranges.GrantResult.UNKNOWN

    async def release(
        self, address: base.Address, release: ranges.Release, *, wait_ms: int
    ) -> str | None:
        """Take a range back; return the handover once its work ended."""
        body = {
            "from": release.first,
            "to": release.last,
            "fence": release.fence,
        }
        status, handover = await self._post(
            address, "release", body, timeout_ms=wait_ms
        )
        return handover if status == 200 else None

    async def _post(
        self, address: base.Address, call: str, body: dict, *, timeout_ms: int
    ) -> tuple[int, str]:
        """Return the status, 0 without an answer, and the handover."""
        timeout = aiohttp.ClientTimeout(total=timeout_ms / base.MS_PER_S)
        try:
            async with self._open().post(
                f"http://{address}/tarragonhinge/{call}",
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as answer:
                await answer.read()
                return answer.status, answer.headers.get(_HANDOVER, "")
        except _ERRORS:
            return 0, ""

    async def close(self) -> None:
        """Release connections."""
        if self._session is not None:
            await self._session.close()
