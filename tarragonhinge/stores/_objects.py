"""Interface of the platform's object store."""

import abc

from tarragonhinge.stores import _rows


class ObjectClient(abc.ABC):
    """Client of a store of immutable, named objects."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | None | _rows.Unavailable:
        """Return the content of an object, or None if it does not exist."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> bool:
        """Store an object; return whether the store confirmed it."""

    async def close(self) -> None:  # noqa: B027
        """Release connections."""
