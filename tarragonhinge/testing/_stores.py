"""Fault-injecting table client and instance list."""

import asyncio

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge import stores
from tarragonhinge.testing import _clock
from tarragonhinge.testing import _probe


class FaultyTable(stores.TableClient):
    """Connection of one process to a shared in-memory table.

    Parameters
    ----------
    table : MemoryTable
        The shared table.
    clock : ManualClock
        Clock of the process.
    delay_ms : int
        One-way delay.
    node : str
        Address of the process.
    probe : Probe or None
        Receives each step of a read or a transaction.

    Attributes
    ----------
    down : bool
        True if no call reaches the table.
    mute : bool
        True if calls reach the table but all answers are lost.
    lose_answers : int
        Number of further transactions whose answer is lost.
    """

    def __init__(
        self,
        *,
        table: stores.MemoryTable,
        clock: _clock.ManualClock,
        delay_ms: int = 5,
        node: str = "",
        probe: _probe.Probe | None = None,
    ) -> None:
        self.table = table
        self.clock = clock
        self.delay_ms = delay_ms
        self.down = False
        self.mute = False
        self.lose_answers = 0
        self._node = node
        self._probe = probe or _probe.Probe()

    async def _wait_delay(self) -> None:
        await asyncio.sleep(self.delay_ms / base.MS_PER_S)
        await self.clock.wait_running()

    async def read(self, keys: list[str]) -> stores.ReadResult:
        """Return the rows of `keys`, or Unavailable while down or mute."""
        await self._wait_delay()
        if self.down:
            return stores.Unavailable()
        rows = await self.table.read(keys)
        await self._wait_delay()
        if self.mute:
            return stores.Unavailable()
        self._probe.report(_probe.Stage.TABLE_READ, self._node, content=rows)
        await self.clock.wait_running()
        return rows

    async def transact(
        self, transaction: stores.Transaction
    ) -> stores.TransactResult:
        """Apply a transaction, whose answer may be lost."""
        await self._wait_delay()
        self._report(_probe.Stage.TABLE_ASKED, transaction)
        await self.clock.wait_running()
        if self.down:
            return stores.Unavailable()
        result = await self.table.transact(transaction)
        self._report(_probe.Stage.TABLE_WRITTEN, transaction)
        await self._wait_delay()
        if self.mute:
            return stores.Unavailable(maybe_written=True)
        if self.lose_answers:
            self.lose_answers -= 1
            return stores.Unavailable(maybe_written=True)
        self._report(_probe.Stage.TABLE_ANSWERED, transaction)
        await self.clock.wait_running()
        return result

    def _report(
        self, stage: _probe.Stage, transaction: stores.Transaction
    ) -> None:
        self._probe.report(stage, self._node, content=transaction)


class MemoryInstanceList(membership.InstanceList):
    """Platform's instance list, shared by all processes of a test.

    Attributes
    ----------
    entries : dict
        Current entries by instance.
    stale : list of InstanceEntry or None
        Entries to return in place of the current ones; None if the list
        does not lag.
    """

    def __init__(self) -> None:
        self.entries: dict[base.InstanceId, membership.InstanceEntry] = {}
        self.stale: list[membership.InstanceEntry] | None = None

    async def fetch(self) -> list[membership.InstanceEntry] | None:
        """Return the current entries, or the stale ones if set."""
        if self.stale is not None:
            return list(self.stale)
        return list(self.entries.values())
