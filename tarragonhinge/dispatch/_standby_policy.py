"""Copy of the history at the shard's standby."""

import asyncio

from tarragonhinge import base
from tarragonhinge.dispatch import _messages
from tarragonhinge.dispatch import _policy
from tarragonhinge import shards

#: Bound on one batch; a standby that takes longer is done without.
BATCH_TIMEOUT_MS = 100

#: Bound on a copy of everything.
FULL_TIMEOUT_MS = 2000

#: Period at which a missing copy is made.
SYNC_PERIOD_MS = 250


@_policy.HISTORY_POLICIES.register("standby")
class StandbyPolicy(_policy.HistoryPolicy):
    """Holds a dispatch until the standby has acknowledged its key.

    A silent standby holds nobody up for long: the leader writes into
    the record that the copy is not complete, and goes on without it
    until the copy has been made anew.
    """

    name = "standby"

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._lock = asyncio.Lock()
        self._sequence = 0
        self._synced_with: base.Address | None = None
        self._missed: dict[int, None] = {}

    async def _write(self, batch: list[int]) -> base.NotRun | None:
        async with self._lock:
            if self._is_covered() and await self._send(batch):
                return None
            self._synced_with = None
            self._missed.update(dict.fromkeys(batch))
            if await self._name_in_record(""):
                return None
            return self._refuse()

    def _is_covered(self) -> bool:
        standby = self._leader.record.standby
        return (
            standby is not None
            and self._leader.record.history == self.name
            and self._synced_with == standby.address
        )

    async def _send(self, numbers: list[int], *, full: bool = False) -> bool:
        standby = self._leader.record.standby
        self._sequence += 1
        reply = await self._transport.call(
            standby.address,
            _messages.HistoryBatch(
                shard=self._leader.shard,
                term=self._leader.record.term,
                sequence=self._sequence,
                full=full,
                horizon=self._history.horizon,
                entries=self._history.export(numbers),
            ),
            timeout_ms=FULL_TIMEOUT_MS if full else BATCH_TIMEOUT_MS,
        )
        return isinstance(reply, _messages.HistoryBatchAck) and reply.accepted

    # Making the copy -----------------------------------------------------

    async def keep(self) -> None:
        """Make the copy anew whenever it is not complete."""
        while self._leader.state is shards.LeaderState.LEADING:
            if self._leader.record.standby and not self._is_covered():
                await self._sync()
            await self._clock.sleep(SYNC_PERIOD_MS)

    async def _sync(self) -> None:
        standby = self._leader.record.standby
        self._missed.clear()
        if not await self._send(self._history.list_keys(), full=True):
            return
        async with self._lock:
            if self._leader.record.standby != standby:
                return
            missed = list(self._missed)
            if missed and not await self._send(missed):
                return
            if await self._name_in_record(self.name):
                self._synced_with = standby.address
