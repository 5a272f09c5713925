"""HTTP client of the platform's row store."""

import asyncio
import base64
from collections.abc import Sequence
import dataclasses

import aiohttp
import msgspec

from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge import stores

_BASE_PATH = "/tarragonhinge"

#: Timeout of a call, in addition to the wait time that a watch requests.
CALL_TIMEOUT_MS = 900

_TRANSPORT_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)

_ERA_HEADER = "Store-Era"

#: Largest number of digits of an era; `int` raises if there are thousands.
_MAX_ERA_DIGITS = 18

#: Statuses with which the store rejects a call without applying it.
_NOT_APPLIED_STATUSES = frozenset({429, 503})

#: Statuses of a write that the store never accepts, since a part of it is
#: missing or too long.
_REJECTED_STATUSES = frozenset({400, 413, 422})

#: Largest part of the store's explanation that is logged, in characters.
_MAX_PROBLEM_CHARS = 200


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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Page:
    """Rows of a response, and the era that its header states."""

    rows: _Rows
    era: int


class PlatformStore(stores.RowStore):
    """HTTP client of the row store.

    Every call has a timeout. A connection on which a call timed out is not
    reused.

    Parameters
    ----------
    address : Address
        Address on which the store listens.
    row_bytes : int
        Longest value of a row, in bytes of base64.
    log : EventLog or None
        Destination of log events; None for none.

    Attributes
    ----------
    call_count : int
        Number of calls.
    rejected_count : int
        Number of writes that the store rejected for their content.
    """

    def __init__(
        self,
        *,
        address: base.Address,
        row_bytes: int = 65_536,
        log: events.EventLog | None = None,
    ) -> None:
        super().__init__()
        self._row_bytes = row_bytes
        self._log = log
        self._rejected_rows: set[tuple[str, str]] = set()
        self.rejected_count = 0
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
    ) -> _Page | int | None:
        """Call the store.

        Returns
        -------
        _Page or int or None
            Decoded response; the status if it is not 200; None if there is no
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
                era = self._read_era(response)
                if not self._record_era(era):
                    return None
                if response.status != 200:
                    return response.status
                rows = self._decoder.decode(await response.read())
                return _Page(rows=rows, era=era)
        except (*_TRANSPORT_ERRORS, *base.DECODE_ERRORS):
            return None

    def _read_era(self, response: aiohttp.ClientResponse) -> int:
        """Return the era that a response states, or else the current one."""
        text = response.headers.get(_ERA_HEADER, "")
        if text.isascii() and text.isdigit() and len(text) <= _MAX_ERA_DIGITS:
            return int(text)
        return self.era

    async def _read_page(
        self, table: str, start: str
    ) -> stores.Page | stores.Unavailable:
        query = {"table": table, "part": ""}
        if start:
            query["from"] = start
        page = await self._get("rows-get", query)
        if not isinstance(page, _Page):
            return stores.Unavailable()
        return stores.Page(
            rows=tuple(_make_row(table, row) for row in page.rows.rows),
            version=page.rows.ver,
            era=page.era,
            has_more=page.rows.has_more,
        )

    async def watch(
        self, table: str, *, after: int, era: int, wait_ms: int
    ) -> stores.WatchResult:
        """Wait for the changes of a table after a version of an era."""
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(wait_ms),
        }
        call = asyncio.create_task(
            self._get("rows-feed", query, wait_ms=wait_ms)
        )
        era_change = asyncio.create_task(self.wait_for_era_after(era))
        try:
            await asyncio.wait(
                [call, era_change], return_when=asyncio.FIRST_COMPLETED
            )
            if self.era != era:
                return stores.HistoryLost()
            page = call.result()
        finally:
            call.cancel()
            era_change.cancel()
        if page == 410:
            return stores.HistoryLost()
        if not isinstance(page, _Page):
            return stores.Unavailable()
        rows = tuple(_make_row(table, row) for row in page.rows.rows)
        return stores.Snapshot(
            rows=rows, version=max(page.rows.ver, after), era=era
        )

    async def write(
        self,
        *,
        checks: Sequence[stores.RowCheck],
        puts: Sequence[stores.RowPut],
        era: int,
    ) -> stores.TransactResult:
        """Write rows in one transaction if all checks hold."""
        if self.era != era:
            return stores.Unavailable()
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
                self._record_era(self._read_era(response))
                content = await response.read()
                if self.era != era:
                    return stores.Unavailable(
                        maybe_written=response.status
                        not in (412, *_NOT_APPLIED_STATUSES)
                    )
                if response.status == 200:
                    self._rejected_rows.difference_update(
                        (put.table, put.key) for put in puts
                    )
                    return stores.Committed(version=_parse_version(content))
                if response.status in _REJECTED_STATUSES:
                    return self._record_rejection(puts, content)
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

    def _record_rejection(
        self, puts: Sequence[stores.RowPut], content: bytes
    ) -> stores.Rejected:
        """Count a rejected write, and log it once until the row is written."""
        self.rejected_count += 1
        problem = content.decode(errors="replace")[:_MAX_PROBLEM_CHARS]
        largest = max(puts, key=lambda put: len(put.value), default=None)
        if largest is not None and self._log is not None:
            row = largest.table, largest.key
            if row not in self._rejected_rows:
                self._rejected_rows.add(row)
                self._log.write(
                    events.WriteRejected(
                        table=largest.table,
                        key=largest.key,
                        bytes=stores.compute_encoded_bytes(largest.value),
                        limit_bytes=self._row_bytes,
                        problem=problem,
                    )
                )
        return stores.Rejected(problem=problem)


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
    except base.DECODE_ERRORS:
        return 0
