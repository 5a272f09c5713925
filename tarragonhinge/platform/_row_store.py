"""The platform's row store over HTTP."""

import asyncio
import base64
from collections.abc import Sequence

import aiohttp
import msgspec

from tarragonhinge import base
from tarragonhinge import stores

_PATH = "/tarragonhinge"

#: Time that an answer may take beyond the wait that was asked for.
CALL_TIMEOUT_MS = 900

_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)

#: Statuses of calls that the store did not carry out.
_REFUSED = frozenset({429, 503})


class _Row(msgspec.Struct):
    key: str
    table: str = ""
    value: str = ""
    # The number of the transaction that wrote the row.
    ver: int = 0
    # Set on rows that were removed.
    tombstone: bool = False


class _Rows(msgspec.Struct):
    rows: list[_Row] = []
    # The newest version in the whole store.
    ver: int = 0
    has_more: bool = msgspec.field(name="hasMore", default=False)


class PlatformStore(stores.RowStore):
    """Client of the row store.

    Every call is bounded in time, and a connection on which an answer
    is overdue is not used again.

    Parameters
    ----------
    address : Address
        Where the store listens.
    """

    def __init__(self, *, address: base.Address) -> None:
        self._url = f"http://{address}{_PATH}"
        self._session: aiohttp.ClientSession | None = None
        self._decoder = msgspec.json.Decoder(_Rows, strict=False)
        self.calls = 0

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
            )
        return self._session

    async def _get(
        self, call: str, query: dict[str, str], *, wait_ms: int = 0
    ) -> _Rows | int | None:
        """Return the body, the status of a failure, or None."""
        self.calls += 1
        seconds = (wait_ms + CALL_TIMEOUT_MS) / base.MS_PER_S
        try:
            async with self._open().get(
                f"{self._url}/{call}",
                params=query,
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as answer:
                if answer.status != 200:
                    return answer.status
                return self._decoder.decode(await answer.read())
        except (*_ERRORS, msgspec.DecodeError):
            return None

    async def read(self, table: str) -> stores.Snapshot | stores.Unavailable:
        """Return all rows of a table, page by page."""
        rows: list[stores.StoredRow] = []
        query = {"table": table, "part": ""}
        while True:
            page = await self._get("rows-get", query)
            if not isinstance(page, _Rows):
                return stores.Unavailable()
            rows.extend(_make_row(table, row) for row in page.rows)
            if not page.has_more or not page.rows:
                return stores.Snapshot(rows=tuple(rows), version=page.ver)
            # The least key above the last one of this page.
            query["from"] = page.rows[-1].key + "\x00"

    async def watch(
        self, table: str, *, after: int, wait_ms: int
    ) -> stores.WatchResult:
        """Return the changes of a table after a version."""
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
        """Write rows together if all checks hold."""
        body = {
            # Versions that rows must still have.
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
        self.calls += 1
        seconds = CALL_TIMEOUT_MS / base.MS_PER_S
        try:
            async with self._open().post(
                f"{self._url}/rows-tx",
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as answer:
                content = await answer.read()
                if answer.status == 200:
                    return stores.Committed(version=_read_version(content))
                if answer.status == 412:
                    return stores.Conflict()
                return stores.Unavailable(
                    maybe_written=answer.status not in _REFUSED
                )
        except aiohttp.ClientConnectorError:
            return stores.Unavailable()
        except _ERRORS:
            return stores.Unavailable(maybe_written=True)

    async def close(self) -> None:
        """Release connections."""
        if self._session is not None:
            await self._session.close()


def _make_row(table: str, row: _Row) -> stores.StoredRow:
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # An unreadable row names nothing; its decoder reports it.
        value = b""
    return stores.StoredRow(
        table=row.table or table,
        key=row.key,
        value=value,
        version=row.ver,
        dropped=row.tombstone,
    )


def _read_version(content: bytes) -> int:
    """Return the version of the rows just written; 0 if it isn't told."""
    try:
        return msgspec.json.decode(content, type=_Rows, strict=False).ver
    except msgspec.DecodeError:
        return 0
