"""Copy of the request history at the shard's standby."""

import asyncio

from tarragonhinge import base
from tarragonhinge.dispatch import _history_policy
from tarragonhinge.dispatch import _messages
from tarragonhinge import shards

#: Timeout of a batch.  If it expires, the leader stops using the copy.
BATCH_TIMEOUT_MS = 100

#: Timeout of sending the complete history.
FULL_COPY_TIMEOUT_MS = 2000

#: Interval between attempts to restore an incomplete copy.
SYNC_PERIOD_MS = 250


@_history_policy.HISTORY_POLICIES.register("standby")
class StandbyPolicy(_history_policy.HistoryPolicy):
    """Dispatches a request once the standby has acknowledged its key.

    If the standby does not respond, the leader stores in the record that
    the copy is incomplete, and dispatches without it until the copy has
    been restored.
    """

    name = "standby"

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._lock = asyncio.Lock()
        self._sequence = 0
        self._synced_standby: base.Address | None = None
        self._missed_keys: dict[int, None] = {}

    async def _write(self, batch: list[int]) -> base.NotRun | None:
        async with self._lock:
            if self._is_copy_complete() and await self._send(batch):
                return None
            self._synced_standby = None
            self._missed_keys.update(dict.fromkeys(batch))
            if await self._record_complete_copy(""):
                return None
            return self._make_refusal()

    def _is_copy_complete(self) -> bool:
        standby = self._leader.record.standby
        return (
            standby is not None
            and self._leader.record.history == self.name
            and self._synced_standby == standby.address
        )

    async def _send(self, key_ids: list[int], *, full: bool = False) -> bool:
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
                entries=self._history.export(key_ids),
            ),
            timeout_ms=FULL_COPY_TIMEOUT_MS if full else BATCH_TIMEOUT_MS,
        )
        return isinstance(reply, _messages.HistoryBatchAck) and reply.accepted

    # Restoring the copy --------------------------------------------------

    async def maintain_copy(self) -> None:
        """Restore the copy whenever it is incomplete."""
        while self._leader.state is shards.LeaderState.LEADING:
            if self._leader.record.standby and not self._is_copy_complete():
                await self._sync()
            await self._clock.sleep(SYNC_PERIOD_MS)

    async def _sync(self) -> None:
        standby = self._leader.record.standby
        self._missed_keys.clear()
        if not await self._send(self._history.list_keys(), full=True):
            return
        async with self._lock:
            if self._leader.record.standby != standby:
                return
            missed_keys = list(self._missed_keys)
            if missed_keys and not await self._send(missed_keys):
                return
            if await self._record_complete_copy(self.name):
                self._synced_standby = standby.address
