"""Table service and instance list that fail on demand."""

import asyncio

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge import stores
from tarragonhinge.testing import _clock


class FaultyTable(stores.TableClient):
    """One process's connection to a shared table in memory.

    Parameters
    ----------
    table : MemoryTable
        The shared table.
    clock : ManualClock
        Clock of the process.
    delay_ms : int
        Time each way.
    """

    def __init__(
        self,
        *,
        table: stores.MemoryTable,
        clock: _clock.ManualClock,
        delay_ms: int = 5,
    ) -> None:
        self.table = table
        self.clock = clock
        self.delay_ms = delay_ms
        self.down = False
        self.lose_answers = 0

    async def _travel(self) -> None:
        await asyncio.sleep(self.delay_ms / base.MS_PER_S)
        await self.clock.wait_running()

    async def read(self, keys: list[str]) -> stores.ReadResult:
        """Return the rows of `keys`, or Unavailable while down."""
        await self._travel()
        if self.down:
            return stores.Unavailable()
        rows = await self.table.read(keys)
        await self._travel()
        return rows

    async def transact(
        self, transaction: stores.Transaction
    ) -> stores.TransactResult:
        """Apply a transaction; its answer may be lost."""
        await self._travel()
        if self.down:
            return stores.Unavailable()
        result = await self.table.transact(transaction)
        await self._travel()
        if self.lose_answers:
            self.lose_answers -= 1
            return stores.Unavailable(maybe_written=True)
        return result


class MemoryInstanceList(membership.InstanceList):
    """The platform's list, shared by all processes of a test."""

    def __init__(self) -> None:
        self.entries: dict[base.InstanceId, membership.InstanceEntry] = {}

    async def fetch(self) -> list[membership.InstanceEntry] | None:
        """Return the list."""
        return list(self.entries.values())
