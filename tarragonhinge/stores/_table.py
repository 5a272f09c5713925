"""Interface of the platform's transactional table service."""

import abc

from tarragonhinge.stores import _rows


class TableClient(abc.ABC):
    """Client for reads and conditional transactions on rows.

    Methods do not raise during an outage; they return `Unavailable`.
    """

    @abc.abstractmethod
    async def read(self, keys: list[str]) -> _rows.ReadResult:
        """Return the rows of `keys` in order, as of one point in time."""

    @abc.abstractmethod
    async def transact(
        self, transaction: _rows.Transaction
    ) -> _rows.TransactResult:
        """Apply a transaction if all its checks hold."""

    async def close(self) -> None:  # noqa: B027
        """Release connections."""
