"""Policies that copy the request history for the next leader."""

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
    """Copies a leader's history so that a successor can recover it.

    The shard's record names the policy whose copy is complete.  While it
    names one, no request is dispatched before the copy contains its key.
    A leader that stops copying removes the name from the record before it
    dispatches any further request.  A claim that is based on another
    version of the record fails, so a successor can rely on the record.

    Parameters
    ----------
    leader : ShardLeader
        The leadership.
    history : RequestHistory
        History to copy.
    transport : PeerTransport
        Connection to the standby.
    table : TableClient
        The table service.
    clock : Clock
        This process's clock.
    """

    #: Name stored in the record while the copy is complete.
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

    async def prepare_dispatch(
        self, key_id: int, timeout_ms: int
    ) -> base.NotRun | None:
        """Copy a key and wait until its request may be dispatched.

        Parameters
        ----------
        key_id : int
            The idempotency key.
        timeout_ms : int
            Longest time to wait.

        Returns
        -------
        NotRun or None
            A refusal, or None if the request may be dispatched.
        """
        done = self._batcher.add(key_id)
        try:
            return await asyncio.wait_for(
                asyncio.shield(done), timeout_ms / base.MS_PER_S
            )
        except TimeoutError:
            return base.NotRun(
                reason=base.NotRunReason.DEADLINE, retry_after_ms=1000
            )

    def update_copy(self, key_id: int) -> None:
        """Schedule an update of the copy of a key."""
        self._batcher.add(key_id)

    async def maintain_copy(self) -> None:
        """Maintain the copy in the background while the leadership lasts."""
        return

    def stop(self) -> None:
        """Stop writing to the copy."""
        self._batcher.stop()

    @abc.abstractmethod
    async def _write(self, batch: list[int]) -> base.NotRun | None:
        """Write a batch of keys to the copy; return a refusal on failure."""

    async def _record_complete_copy(self, name: str) -> bool:
        """Store in the shard's record which copy is complete.

        Parameters
        ----------
        name : str
            Name of the policy; empty if no copy is complete.

        Returns
        -------
        bool
            True if the record names the policy.
        """
        if self._leader.record.history == name:
            return True

        def change(record: shards.ShardRecord) -> shards.ShardRecord:
            return msgspec.structs.replace(record, history=name)

        return await self._leader.recorder.write(change)

    def _make_refusal(self) -> base.NotRun:
        return base.NotRun(
            reason=base.NotRunReason.NO_AUTHORITY, retry_after_ms=500
        )


#: Policies by their name in the operators' table.
HISTORY_POLICIES: base.Registry[HistoryPolicy] = base.Registry(
    kind="history policy"
)


@HISTORY_POLICIES.register("forget")
class ForgetPolicy(HistoryPolicy):
    """Keeps no copy; a successor accepts or refuses keys by age alone."""

    name = "forget"

    async def prepare_dispatch(
        self, key_id: int, timeout_ms: int
    ) -> base.NotRun | None:
        """Return at once unless the record still names a complete copy."""
        if not self._leader.record.history:
            return None
        return await super().prepare_dispatch(key_id, timeout_ms)

    def update_copy(self, key_id: int) -> None:
        """Do nothing, since there is no copy."""

    async def _write(self, batch: list[int]) -> base.NotRun | None:
        return (
            None
            if await self._record_complete_copy("")
            else self._make_refusal()
        )
