"""HTTP clients of the table service and of the object store.

Reads and transactions are POST requests with JSON bodies; objects are
transferred by plain GET and PUT.  ``docs/PLATFORM.md`` specifies the
messages.
"""

import asyncio

import aiohttp
import msgspec

from tarragonhinge import base
from tarragonhinge.stores import _objects
from tarragonhinge.stores import _rows
from tarragonhinge.stores import _table

_REQUEST_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a read request."""

    keys: list[str]


class _LazySession:
    """Client session that is opened on first use, in the running loop."""

    def __init__(self, *, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None

    def open(self) -> aiohttp.ClientSession:
        if self._session is None:
            seconds = self._timeout_ms / base.MS_PER_S
            timeout = aiohttp.ClientTimeout(total=seconds)
            self._session = aiohttp.ClientSession(timeout=timeout)
        return self._session

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()


class HttpTableClient(_table.TableClient):
    """HTTP client of the table service.

    Parameters
    ----------
    address : Address
        Address of the service.
    timeout_ms : int
        Timeout of one request, in milliseconds.
    """

    def __init__(self, *, address: base.Address, timeout_ms: int) -> None:
        self._url = f"http://{address}"
        self._session = _LazySession(timeout_ms=timeout_ms)
        self._rows_decoder = msgspec.json.Decoder(list[_rows.Row])

    async def read(self, keys: list[str]) -> _rows.ReadResult:
        """Return the rows of `keys`, in the order of the keys."""
        body = msgspec.json.encode(ReadRequest(keys=keys))
        try:
            async with self._session.open().post(
                f"{self._url}/table/read", data=body
            ) as response:
                if response.status != 200:
                    return _rows.Unavailable()
                return self._rows_decoder.decode(await response.read())
        except (*_REQUEST_ERRORS, msgspec.DecodeError):
            return _rows.Unavailable()

    async def transact(
        self, transaction: _rows.Transaction
    ) -> _rows.TransactResult:
        """Apply a transaction if all its checks hold."""
        body = msgspec.json.encode(transaction)
        try:
            async with self._session.open().post(
                f"{self._url}/table/transact", data=body
            ) as response:
                if response.status == 200:
                    return _rows.Committed()
                if response.status == 412:
                    return _rows.Conflict()
                return _rows.Unavailable(maybe_written=True)
        except aiohttp.ClientConnectorError:
            return _rows.Unavailable()
        except _REQUEST_ERRORS:
            return _rows.Unavailable(maybe_written=True)

    async def close(self) -> None:
        """Release connections."""
        await self._session.close()


class HttpObjectClient(_objects.ObjectClient):
    """HTTP client of the object store.

    Parameters
    ----------
    address : Address
        Address of the store.
    timeout_ms : int
        Timeout of one request, in milliseconds.
    """

    def __init__(self, *, address: base.Address, timeout_ms: int) -> None:
        self._url = f"http://{address}/objects"
        self._session = _LazySession(timeout_ms=timeout_ms)

    async def get(self, name: str) -> bytes | None | _rows.Unavailable:
        """Return the content of an object, or None if it does not exist."""
        try:
            async with self._session.open().get(
                f"{self._url}/{name}"
            ) as response:
                if response.status == 404:
                    return None
                if response.status != 200:
                    return _rows.Unavailable()
                return await response.read()
        except _REQUEST_ERRORS:
            return _rows.Unavailable()

    async def put(self, name: str, body: bytes) -> bool:
        """Store an object; return whether the store confirmed it."""
        try:
            async with self._session.open().put(
                f"{self._url}/{name}", data=body
            ) as response:
                return response.status in (200, 201, 204)
        except _REQUEST_ERRORS:
            return False

    async def close(self) -> None:
        """Release connections."""
        await self._session.close()
