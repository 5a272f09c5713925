"""HTTP client of the platform's row store."""

import asyncio
import base64
from collections.abc import Sequence

import aiohttp
import msgspec

from tarragonhinge import base
from tarragonhinge import stores

_BASE_PATH = "/tarragonhinge"

#: Timeout of a call, in addition to the wait time that a watch requests.
CALL_TIMEOUT_MS = 900

_TRANSPORT_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)

#: Statuses with which the store rejects a call without applying it.
_NOT_APPLIED_STATUSES = frozenset({429, 503})


class _Row(msgspec.Struct):
    key: str
    table: str = ""
    value: str = ""
    # Number of the transaction that wrote the row.
    ver: int = 0
    # Whether the row was deleted.
    tombstone: bool = False


class _Rows(msgspec.Struct):
    rows: list[_Row] = []
    # Latest version of the store, over all tables.
    ver: int = 0
    has_more: bool = msgspec.field(name="hasMore", default=False)


class PlatformStore(stores.RowStore):
    """HTTP client of the row store.

    Every call has a timeout. A connection on which a call timed out is not
    reused.

    Parameters
    ----------
    address : Address
        Address on which the store listens.
    """

    def __init__(self, *, address: base.Address) -> None:
        self._url = f"http://{address}{_BASE_PATH}"
        self._session: aiohttp.ClientSession | None = None
        self._decoder = msgspec.json.Decoder(_Rows, strict=False)
        self.call_count = 0

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
            )
        return self._session

    async def _get(
        self, call: str, query: dict[str, str], *, wait_ms: int = 0
    ) -> _Rows | int | None:
        """Call the store.

        Returns
        -------
        _Rows or int or None
            Decoded body; the status if it is not 200; None if there is no
            valid response.
        """
        self.call_count += 1
        timeout_s = (wait_ms + CALL_TIMEOUT_MS) / base.MS_PER_S
        try:
            async with self._get_session().get(
                f"{self._url}/{call}",
                params=query,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                if response.status != 200:
                    return response.status
                return self._decoder.decode(await response.read())
        except (*_TRANSPORT_ERRORS, msgspec.DecodeError):
            return None

    async def read(self, table: str) -> stores.Snapshot | stores.Unavailable:
        """Read all rows of a table, page by page."""
        rows: list[stores.StoredRow] = []
        query = {"table": table, "part": ""}
        while True:
            page = await self._get("rows-get", query)
            if not isinstance(page, _Rows):
                return stores.Unavailable()
            rows.extend(_make_row(table, row) for row in page.rows)
            if not page.has_more or not page.rows:
                return stores.Snapshot(rows=tuple(rows), version=page.ver)
            # Smallest possible key after the last key of this page.
            query["from"] = page.rows[-1].key + "\x00"

    async def watch(
        self, table: str, *, after: int, wait_ms: int
    ) -> stores.WatchResult:
        """Wait for the changes of a table after a version."""
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(wait_ms),
        }
        page = await self._get("rows-feed", query, wait_ms=wait_ms)
        if page == 410:
            return stores.HistoryLost()
        if not isinstance(page, _Rows):
            return stores.Unavailable()
        rows = tuple(_make_row(table, row) for row in page.rows)
        return stores.Snapshot(rows=rows, version=max(page.ver, after))

    async def write(
        self,
        *,
        checks: Sequence[stores.RowCheck],
        puts: Sequence[stores.RowPut],
    ) -> stores.Committed | stores.Conflict | stores.Unavailable:
        """Write rows in one transaction if all checks hold."""
        body = {
            # Versions that the rows must still have.
            "expectedRev": [
                {
                    "table": check.table,
                    "part": "",
                    "key": check.key,
                    "ver": check.version,
                }
                for check in checks
            ],
            "puts": [
                {
                    "table": put.table,
                    "part": "",
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                }
                for put in puts
            ],
            "remove": [],
        }
        self.call_count += 1
        timeout_s = CALL_TIMEOUT_MS / base.MS_PER_S
        try:
            async with self._get_session().post(
                f"{self._url}/rows-tx",
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                content = await response.read()
                if response.status == 200:
                    return stores.Committed(version=_parse_version(content))
                if response.status == 412:
                    return stores.Conflict()
                return stores.Unavailable(
                    maybe_written=response.status not in _NOT_APPLIED_STATUSES
                )
        except aiohttp.ClientConnectorError:
            return stores.Unavailable()
        except _TRANSPORT_ERRORS:
            return stores.Unavailable(maybe_written=True)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


def _make_row(table: str, row: _Row) -> stores.StoredRow:
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # The decoder of the table rejects the empty value and logs the row.
        value = b""
    return stores.StoredRow(
        table=row.table or table,
        key=row.key,
        value=value,
        version=row.ver,
        dropped=row.tombstone,
    )


def _parse_version(content: bytes) -> int:
    """Return the version of the written rows, or 0 if it is missing."""
    try:
        return msgspec.json.decode(content, type=_Rows, strict=False).ver
    except msgspec.DecodeError:
        return 0
