"""Histories of the shards led here, and copies of those stood by for."""

import asyncio
import dataclasses

from tarragonhinge import base
from tarragonhinge.dispatch import _history
from tarragonhinge.dispatch import _messages
from tarragonhinge.dispatch import _policy
from tarragonhinge.dispatch import _standby_policy
from tarragonhinge.dispatch import _table_policy
from tarragonhinge import peers
from tarragonhinge import shards
from tarragonhinge import stores

#: How long a successor waits for outcomes of a leader that handed over.
FOLLOW_UP_LIMIT_MS = 30_000

FOLLOW_UP_TIMEOUT_MS = 1000

#: How often, and after what pause, a refused outcome is sent again.
FOLLOW_UP_TRIES = 30
FOLLOW_UP_RETRY_MS = 100

RECOVERY_RETRY_MS = 200


@dataclasses.dataclass(kw_only=True)
class ShardMemory:
    """History of a shard led here.

    Parameters
    ----------
    leader : ShardLeader
        The leadership.
    history : RequestHistory
        What is remembered.
    policy : HistoryPolicy
        Keeps it for a successor.
    ready : Event
        Set once what a former leader knew has been recovered.
    """

    leader: shards.ShardLeader
    history: _history.RequestHistory
    policy: _policy.HistoryPolicy
    ready: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(kw_only=True)
class HistoryCopy:
    """A standby's copy of a leader's history."""

    term: base.Term
    sequence: int
    history: _history.RequestHistory


class ShardMemories:
    """Opens, recovers, copies and hands over histories.

    Parameters
    ----------
    coordinator : ShardCoordinator
        Knows the shards led here.
    transport : PeerTransport
        Reaches standbys and leaders.
    table : TableClient
        The table service.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        coordinator: shards.ShardCoordinator,
        transport: peers.PeerTransport,
        table: stores.TableClient,
        clock: base.Clock,
    ) -> None:
        self._coordinator = coordinator
        self._transport = transport
        self._table = table
        self._clock = clock
        self._memories: dict[base.ShardId, ShardMemory] = {}
        self._copies: dict[base.ShardId, HistoryCopy] = {}
        self._tasks: set[asyncio.Task] = set()
        transport.handle(_messages.HistoryBatch, self._on_batch)
        transport.handle(_messages.HistoryFollowUp, self._on_follow_up)
        coordinator.leaderships.subscribe(self._open)
        coordinator.on_history = self._load

    def get(self, leader: shards.ShardLeader) -> ShardMemory:
        """Return the memory of a shard under the policy of its row."""
        memory = self._memories[leader.shard]
        if memory.policy.name != leader.row.history:
            memory.policy.stop()
            memory.policy = self._make_policy(leader, memory.history)
            self._spawn(_keep(memory))
        return memory

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Opening -------------------------------------------------------------

    def _open(self, leader: shards.ShardLeader) -> None:
        """Begin a history with what is known of earlier leaders."""
        previous = self._memories.pop(leader.shard, None)
        if previous is not None:
            previous.policy.stop()
        copy = self._copies.pop(leader.shard, None)
        history = _history.RequestHistory(clock=self._clock)
        record = leader.previous_record
        ready = True
        if record is None:
            pass
        elif previous is not None and _goes_on(previous, leader):
            history = previous.history
        elif self._is_complete(record, copy):
            history = copy.history
            history.abandon(history.list_running())
        elif record.history == _table_policy.TablePolicy.name:
            ready = False
        else:
            # Until then an earlier leader may run keys unseen.
            wait_ms = max(0, leader.previous_leaders_until - self._clock.now())
            horizon = self._clock.read_wall() + wait_ms
            history.horizon = horizon + _history.SKEW_MS
        memory = ShardMemory(
            leader=leader,
            history=history,
            policy=self._make_policy(leader, history),
        )
        self._memories[leader.shard] = memory
        self._spawn(_keep(memory))
        if ready:
            memory.ready.set()
        else:
            self._spawn(self._recover(memory))

    def _is_complete(
        self, record: shards.ShardRecord, copy: HistoryCopy | None
    ) -> bool:
        """Return whether the copy here is the one that a record names."""
        return (
            copy is not None
            and record.history == _standby_policy.StandbyPolicy.name
            and record.term == copy.term
            and record.standby is not None
            and record.standby.address == self._transport.address
        )

    def _make_policy(
        self, leader: shards.ShardLeader, history: _history.RequestHistory
    ) -> _policy.HistoryPolicy:
        return _policy.HISTORY_POLICIES.find(leader.row.history)(
            leader=leader,
            history=history,
            transport=self._transport,
            table=self._table,
            clock=self._clock,
        )

    async def _recover(self, memory: ShardMemory) -> None:
        """Read the copy in the table, which no earlier leader changes."""
        keys = _table_policy.make_segment_keys(memory.leader.shard)
        while True:
            rows = await self._table.read(keys)
            if not isinstance(rows, stores.Unavailable):
                break
            await self._clock.sleep(RECOVERY_RETRY_MS)
        if memory.ready.is_set():
            # The former leader has handed its history over.
            return
        saved = _table_policy.decode_segments(rows)
        if saved is not None:
            memory.history.horizon = saved.horizon
            memory.history.apply(saved.entries)
            memory.history.abandon(memory.history.list_running())
        memory.ready.set()

    # Copies --------------------------------------------------------------

    async def _on_batch(
        self, batch: _messages.HistoryBatch
    ) -> _messages.HistoryBatchAck:
        """Bring the copy of a shard up to date, unless it is in use."""
        own = self._coordinator.leaders.get(batch.shard)
        if own is not None and own.record.term >= batch.term:
            return _messages.HistoryBatchAck(accepted=False)
        copy = self._copies.get(batch.shard)
        if batch.full and (copy is None or _is_later(batch, copy)):
            copy = HistoryCopy(
                term=batch.term,
                sequence=batch.sequence,
                history=_history.RequestHistory(clock=self._clock),
            )
            self._copies[batch.shard] = copy
        elif copy is None or not _is_next(batch, copy):
            return _messages.HistoryBatchAck(accepted=False)
        copy.sequence = batch.sequence
        copy.history.horizon = batch.horizon
        copy.history.apply(batch.entries)
        return _messages.HistoryBatchAck(accepted=True)

    # Handover ------------------------------------------------------------

    def save(self, shard: base.ShardId) -> bytes:
        """Return a history for the next leader; no key begins after it."""
        history = self._memories[shard].history
        history.sealed = True
        return history.save()

    def _load(self, shard: base.ShardId, content: bytes) -> None:
        """Take over the history of a leader that hands over."""
        memory = self._memories[shard]
        memory.history.load(content)
        memory.ready.set()
        self._spawn(self._abandon_late(memory.history))

    async def _abandon_late(self, history: _history.RequestHistory) -> None:
        inherited = history.list_running()
        await self._clock.sleep(FOLLOW_UP_LIMIT_MS)
        history.abandon(inherited)

    def settle(self, memory: ShardMemory, number: int) -> None:
        """Make an outcome known to the copy, or to the next leader."""
        if not memory.history.sealed:
            memory.policy.settle(number)
            return
        standby = memory.leader.record.standby
        if standby is not None:
            message = _messages.HistoryFollowUp(
                shard=memory.leader.shard,
                entries=memory.history.export([number]),
            )
            self._spawn(self._follow_up(standby.address, message))

    async def _follow_up(
        self, address: base.Address, message: _messages.HistoryFollowUp
    ) -> None:
        """Tell the next leader an outcome until it has taken it.

        A refusal can be quicker than the handover that it follows.
        """
        for _ in range(FOLLOW_UP_TRIES):
            reply = await self._transport.call(
                address, message, timeout_ms=FOLLOW_UP_TIMEOUT_MS
            )
            if isinstance(reply, _messages.HistoryBatchAck) and reply.accepted:
                return
            await self._clock.sleep(FOLLOW_UP_RETRY_MS)

    async def _on_follow_up(
        self, message: _messages.HistoryFollowUp
    ) -> _messages.HistoryBatchAck:
        memory = self._memories.get(message.shard)
        if memory is None or memory.history.sealed:
            return _messages.HistoryBatchAck(accepted=False)
        memory.history.apply(message.entries)
        for entry in message.entries:
            memory.policy.settle(int.from_bytes(entry.key, "big"))
        return _messages.HistoryBatchAck(accepted=True)

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        return {
            shard: {
                "keys": len(memory.history),
                "answer_bytes": memory.history.answer_bytes,
                "horizon": memory.history.horizon,
                "policy": memory.policy.name,
                "copy": memory.leader.record.history,
            }
            for shard, memory in self._memories.items()
        }


async def _keep(memory: ShardMemory) -> None:
    """Let the policy work once there is something to be kept.

    A copy made of a history that is not recovered yet would pass for a
    complete one.
    """
    policy = memory.policy
    await memory.ready.wait()
    await policy.keep()


def _goes_on(previous: ShardMemory, leader: shards.ShardLeader) -> bool:
    """Return whether this process only raised its own term."""
    record = leader.previous_record
    return (
        previous.ready.is_set()
        and not previous.history.sealed
        and previous.leader.record.term == record.term
        and record.leader == leader.record.leader
    )


def _is_later(batch: _messages.HistoryBatch, copy: HistoryCopy) -> bool:
    return (batch.term, batch.sequence) > (copy.term, copy.sequence)


def _is_next(batch: _messages.HistoryBatch, copy: HistoryCopy) -> bool:
    return batch.term == copy.term and batch.sequence in (
        copy.sequence,
        copy.sequence + 1,
    )
