"""How the memory of requests outlives a shard's leader."""

import abc
import asyncio

import msgspec

from tarragonhinge import base
from tarragonhinge.dispatch import _batcher
from tarragonhinge.dispatch import _history
from tarragonhinge import peers
from tarragonhinge import shards
from tarragonhinge import stores


class HistoryPolicy(abc.ABC):
    """Keeps a leader's history so that a successor knows it.

    The shard's record names the policy whose copy is complete: while it
    does, nothing is dispatched before the copy holds its key.  A leader
    changes that in the record before it dispatches anything else, and
    a claim of another version of the record fails, so a successor can
    rely on what the record says.

    Parameters
    ----------
    leader : ShardLeader
        The leadership.
    history : RequestHistory
        What is to be kept.
    transport : PeerTransport
        Reaches the standby.
    table : TableClient
        The table service.
    clock : Clock
        This process's clock.
    """

    #: Name in the record while the copy is complete.
    name: str

    def __init__(
        self,
        *,
        leader: shards.ShardLeader,
        history: _history.RequestHistory,
        transport: peers.PeerTransport,
        table: stores.TableClient,
        clock: base.Clock,
    ) -> None:
        self._leader = leader
        self._history = history
        self._transport = transport
        self._table = table
        self._clock = clock
        self._batcher = _batcher.KeyBatcher(write=self._write)

    async def hold(self, number: int, left_ms: int) -> base.NotRun | None:
        """Return once a key may be dispatched; a refusal if it may not."""
        done = self._batcher.add(number)
        try:
            return await asyncio.wait_for(
                asyncio.shield(done), left_ms / base.MS_PER_S
            )
        except TimeoutError:
            return base.NotRun(
                reason=base.NotRunReason.DEADLINE, retry_after_ms=1000
            )

    def settle(self, number: int) -> None:
        """Bring the copy of a key up to date without waiting."""
        self._batcher.add(number)

    async def keep(self) -> None:
        """Run in the background while the leadership lasts."""
        return

    def stop(self) -> None:
        """End all work."""
        self._batcher.stop()

    @abc.abstractmethod
    async def _write(self, batch: list[int]) -> base.NotRun | None:
        """Write a batch of keys to the copy."""

    async def _name_in_record(self, name: str) -> bool:
        """Write into the record which copy is complete."""
        if self._leader.record.history == name:
            return True

        def change(record: shards.ShardRecord) -> shards.ShardRecord:
            return msgspec.structs.replace(record, history=name)

        return await self._leader.recorder.write(change)

    def _refuse(self) -> base.NotRun:
        return base.NotRun(
            reason=base.NotRunReason.NO_AUTHORITY, retry_after_ms=500
        )


#: Policies by the name that a row of the operators' table gives.
HISTORY_POLICIES: base.Registry[HistoryPolicy] = base.Registry(
    kind="history policy"
)


@HISTORY_POLICIES.register("forget")
class ForgetPolicy(HistoryPolicy):
    """Keeps no copy: a successor answers by the age of a key alone."""

    name = "forget"

    async def hold(self, number: int, left_ms: int) -> base.NotRun | None:
        """Return at once unless the record still names a copy."""
        if not self._leader.record.history:
            return None
        return await super().hold(number, left_ms)

    def settle(self, number: int) -> None:
        """Do nothing."""

    async def _write(self, batch: list[int]) -> base.NotRun | None:
        return None if await self._name_in_record("") else self._refuse()
