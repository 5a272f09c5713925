"""The platform's lagging list of instances."""

import abc

import aiohttp
import msgspec

from tarragonhinge import base
from tarragonhinge.membership import _instance


class InstanceList(abc.ABC):
    """Lists live and leaving instances; it lags and only suggests."""

    @abc.abstractmethod
    async def fetch(self) -> list[_instance.InstanceEntry] | None:
        """Return the list; None if it cannot be had."""

    async def close(self) -> None:  # noqa: B027
        """Release connections."""


class HttpInstanceList(InstanceList):
    """The list over HTTP.

    A list that has not changed is not sent again where the platform
    gives entity tags (RFC 9110, section 8.8.3).

    Parameters
    ----------
    address : Address
        Where the platform serves it.
    timeout_ms : int
        Bound on one call.
    """

    def __init__(self, *, address: base.Address, timeout_ms: int) -> None:
        self._url = f"http://{address}/instances"
        self._timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None
        self._tag = ""
        self._entries: list[_instance.InstanceEntry] = []
        self._decoder = msgspec.json.Decoder(list[_instance.InstanceEntry])

    async def fetch(self) -> list[_instance.InstanceEntry] | None:
        """Return the list; None if it cannot be had."""
        if self._session is None:
            seconds = self._timeout_ms / base.MS_PER_S
            timeout = aiohttp.ClientTimeout(total=seconds)
            self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            headers = {"If-None-Match": self._tag} if self._tag else {}
            async with self._session.get(self._url, headers=headers) as answer:
                if answer.status == 304:
                    return self._entries
                if answer.status != 200:
                    return None
                self._entries = self._decoder.decode(await answer.read())
                self._tag = answer.headers.get("ETag", "")
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
    """The latest list that this instance has seen.

    Attributes
    ----------
    revision : int
        Grows with each new list.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._entries: dict[base.InstanceId, _instance.InstanceEntry] = {}

    def replace(self, entries: list[_instance.InstanceEntry]) -> None:
        """Take over a newly fetched list."""
        self.revision += 1
        self._entries = {entry.instance: entry for entry in entries}

    def list_all(self) -> list[_instance.InstanceEntry]:
        """Return all instances, leaving ones too."""
        return list(self._entries.values())

    def list_ready(
        self, region: base.RegionName | None = None
    ) -> list[_instance.InstanceEntry]:
        """Return instances not leaving, of one region or of all."""
        return [
            entry
            for entry in self._entries.values()
            if entry.state is _instance.InstanceState.READY
            and region in (None, entry.region)
        ]
