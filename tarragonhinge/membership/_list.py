"""The platform's instance list, which is eventually consistent."""

import abc

import aiohttp
import msgspec

from tarragonhinge import base
from tarragonhinge.membership import _instance


class InstanceList(abc.ABC):
    """Client of the platform's list of ready and leaving instances.

    The list is eventually consistent: use it as a hint, not as proof that
    an instance is running or has stopped.
    """

    @abc.abstractmethod
    async def fetch(self) -> list[_instance.InstanceEntry] | None:
        """Return the list; None if it is unavailable."""

    async def close(self) -> None:  # noqa: B027
        """Release connections."""


class HttpInstanceList(InstanceList):
    """HTTP client of the platform's instance list.

    An unchanged list is not transferred again if the platform sends
    entity tags (RFC 9110, section 8.8.3).

    Parameters
    ----------
    address : Address
        Address of the platform's HTTP server.
    timeout_ms : int
        Timeout of one request, in milliseconds.
    """

    def __init__(self, *, address: base.Address, timeout_ms: int) -> None:
        self._url = f"http://{address}/instances"
        self._timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None
        self._etag = ""
        self._entries: list[_instance.InstanceEntry] = []
        self._decoder = msgspec.json.Decoder(list[_instance.InstanceEntry])

    async def fetch(self) -> list[_instance.InstanceEntry] | None:
        """Return the list; None if it is unavailable."""
        if self._session is None:
            seconds = self._timeout_ms / base.MS_PER_S
            timeout = aiohttp.ClientTimeout(total=seconds)
            self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            headers = {"If-None-Match": self._etag} if self._etag else {}
            async with self._session.get(
                self._url, headers=headers
            ) as response:
                if response.status == 304:
                    return self._entries
                if response.status != 200:
                    return None
                self._entries = self._decoder.decode(await response.read())
                self._etag = response.headers.get("ETag", "")
                return self._entries
        except (TimeoutError, aiohttp.ClientError, OSError):
            return None
        except msgspec.DecodeError:
            return None

    async def close(self) -> None:
        """Release connections."""
        if self._session is not None:
            await self._session.close()


class InstanceView:
    """Instance list in use on this instance.

    Attributes
    ----------
    revision : int
        Number of times that the list was replaced.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._entries: dict[base.InstanceId, _instance.InstanceEntry] = {}

    def replace(self, entries: list[_instance.InstanceEntry]) -> None:
        """Replace the list."""
        self.revision += 1
        self._entries = {entry.instance: entry for entry in entries}

    def list_all(self) -> list[_instance.InstanceEntry]:
        """Return all instances, whatever their state."""
        return list(self._entries.values())

    def list_ready(
        self, region: base.RegionName | None = None
    ) -> list[_instance.InstanceEntry]:
        """Return the ready instances of a region, or of all regions."""
        return [
            entry
            for entry in self._entries.values()
            if entry.state is _instance.InstanceState.READY
            and region in (None, entry.region)
        ]
