"""Interface of the platform's object store."""

import abc

from tarragonhinge.stores import _rows


class ObjectClient(abc.ABC):
    """Immutable objects by name."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | None | _rows.Unavailable:
        """Return an object, or None if there is none."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> bool:
        """Store an object; True once it is stored."""

    async def close(self) -> None:  # noqa: B027
        """Release connections."""
