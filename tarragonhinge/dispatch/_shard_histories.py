"""Request histories of led shards, and copies held as a standby."""

import asyncio
import dataclasses

from tarragonhinge import base
from tarragonhinge.dispatch import _history
from tarragonhinge.dispatch import _history_policy
from tarragonhinge.dispatch import _messages
from tarragonhinge.dispatch import _standby_policy
from tarragonhinge.dispatch import _table_policy
from tarragonhinge import peers
from tarragonhinge import shards
from tarragonhinge import stores

#: Time for which a successor waits for the outcomes of requests that were
#: in flight at the previous leader during a handover.
FOLLOW_UP_WAIT_MS = 30_000

#: Timeout of one attempt to send an outcome to the next leader.
FOLLOW_UP_TIMEOUT_MS = 1000

#: Attempts to send an outcome to the next leader, and the pause between
#: two attempts.
FOLLOW_UP_ATTEMPTS = 30
FOLLOW_UP_RETRY_MS = 100

#: Pause after a failed read of the copy in the table.
RECOVERY_RETRY_MS = 200


@dataclasses.dataclass(kw_only=True)
class ShardHistory:
    """Request history of a shard led by this instance.

    Parameters
    ----------
    leader : ShardLeader
        The leadership.
    history : RequestHistory
        Recorded idempotency keys.
    policy : HistoryPolicy
        Copies the history for a successor.
    ready : Event
        Set once the history of the previous leader has been recovered.
    """

    leader: shards.ShardLeader
    history: _history.RequestHistory
    policy: _history_policy.HistoryPolicy
    ready: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(kw_only=True)
class HistoryCopy:
    """Copy of a leader's history at its standby.

    Parameters
    ----------
    term : Term
        Term of the leader.
    sequence : int
        Sequence number of the last applied batch.
    history : RequestHistory
        Recorded idempotency keys.
    """

    term: base.Term
    sequence: int
    history: _history.RequestHistory


class ShardHistories:
    """Opens, recovers, copies and hands over request histories.

    Parameters
    ----------
    coordinator : ShardCoordinator
        Coordinator of the shards led by this instance.
    transport : PeerTransport
        Connection to standbys and leaders.
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
        self._histories: dict[base.ShardId, ShardHistory] = {}
        self._copies: dict[base.ShardId, HistoryCopy] = {}
        self._tasks: set[asyncio.Task] = set()
        transport.handle(_messages.HistoryBatch, self._on_batch)
        transport.handle(_messages.HistoryFollowUp, self._on_follow_up)
        coordinator.leaderships.subscribe(self._open)
        coordinator.on_history = self._load_handover

    def get(self, leader: shards.ShardLeader) -> ShardHistory:
        """Return the history of a shard, after applying a changed policy."""
        shard_history = self._histories[leader.shard]
        if shard_history.policy.name != leader.row.history:
            shard_history.policy.stop()
            shard_history.policy = self._make_policy(
                leader, shard_history.history
            )
            self._spawn(_run_policy(shard_history))
        return shard_history

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Opening -------------------------------------------------------------

    def _open(self, leader: shards.ShardLeader) -> None:
        """Open the history of a new leadership.

        It contains the recorded keys of previous leaders if a complete copy
        is available.
        """
        previous = self._histories.pop(leader.shard, None)
        if previous is not None:
            previous.policy.stop()
        copy = self._copies.pop(leader.shard, None)
        history = _history.RequestHistory(clock=self._clock)
        record = leader.previous_record
        ready = True
        if record is None:
            pass
        elif previous is not None and _is_own_new_term(previous, leader):
            history = previous.history
        elif self._is_copy_complete(record, copy):
            history = copy.history
            history.mark_leader_lost(history.list_running())
        elif record.history == _table_policy.TablePolicy.name:
            ready = False
        else:
            # Until `previous_leaders_until` a previous leader may run keys
            # that are not recorded here.
            wait_ms = max(0, leader.previous_leaders_until - self._clock.now())
            horizon = self._clock.read_wall_time() + wait_ms
            history.horizon = horizon + _history.CLOCK_SKEW_LIMIT_MS
        shard_history = ShardHistory(
            leader=leader,
            history=history,
            policy=self._make_policy(leader, history),
        )
        self._histories[leader.shard] = shard_history
        self._spawn(_run_policy(shard_history))
        if ready:
            shard_history.ready.set()
        else:
            self._spawn(self._recover(shard_history))

    def _is_copy_complete(
        self, record: shards.ShardRecord, copy: HistoryCopy | None
    ) -> bool:
        """Return whether the local copy is the one that a record names."""
        return (
            copy is not None
            and record.history == _standby_policy.StandbyPolicy.name
            and record.term == copy.term
            and record.standby is not None
            and record.standby.address == self._transport.address
        )

    def _make_policy(
        self, leader: shards.ShardLeader, history: _history.RequestHistory
    ) -> _history_policy.HistoryPolicy:
        return _history_policy.HISTORY_POLICIES.find(leader.row.history)(
            leader=leader,
            history=history,
            transport=self._transport,
            table=self._table,
            clock=self._clock,
        )

    async def _recover(self, shard_history: ShardHistory) -> None:
        """Recover the history from the copy in the table.

        No previous leader can change that copy any more, since its writes
        check that the record is still that of its own term.
        """
        keys = _table_policy.make_segment_keys(shard_history.leader.shard)
        while True:
            rows = await self._table.read(keys)
            if not isinstance(rows, stores.Unavailable):
                break
            await self._clock.sleep(RECOVERY_RETRY_MS)
        if shard_history.ready.is_set():
            # The previous leader handed over its history in the meantime.
            return
        saved = _table_policy.decode_segments(rows)
        if saved is not None:
            shard_history.history.horizon = saved.horizon
            shard_history.history.apply(saved.entries)
            shard_history.history.mark_leader_lost(
                shard_history.history.list_running()
            )
        shard_history.ready.set()

    # Copies --------------------------------------------------------------

    async def _on_batch(
        self, batch: _messages.HistoryBatch
    ) -> _messages.HistoryBatchAck:
        """Update the copy of a shard, unless this instance leads it.

        A batch of a later term than that of this instance is accepted.
        """
        leadership = self._coordinator.leaders.get(batch.shard)
        if leadership is not None and leadership.record.term >= batch.term:
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

    def seal(self, shard: base.ShardId) -> bytes:
        """Seal a history and return it encoded, for the next leader.

        A sealed history accepts no new key.
        """
        history = self._histories[shard].history
        history.sealed = True
        return history.serialize()

    def _load_handover(self, shard: base.ShardId, content: bytes) -> None:
        """Load the history that the previous leader has handed over."""
        shard_history = self._histories[shard]
        shard_history.history.load(content)
        shard_history.ready.set()
        self._spawn(self._expire_inherited(shard_history.history))

    async def _expire_inherited(
        self, history: _history.RequestHistory
    ) -> None:
        """Record outcomes as lost that the previous leader does not send."""
        inherited_keys = history.list_running()
        await self._clock.sleep(FOLLOW_UP_WAIT_MS)
        history.mark_leader_lost(inherited_keys)

    def publish_outcome(
        self, shard_history: ShardHistory, key_id: int
    ) -> None:
        """Publish an outcome to the copy, or to the next leader.

        The next leader gets the outcomes of a history that has been sealed.
        """
        if not shard_history.history.sealed:
            shard_history.policy.update_copy(key_id)
            return
        standby = shard_history.leader.record.standby
        if standby is not None:
            message = _messages.HistoryFollowUp(
                shard=shard_history.leader.shard,
                entries=shard_history.history.export([key_id]),
            )
            self._spawn(self._send_follow_up(standby.address, message))

    async def _send_follow_up(
        self, address: base.Address, message: _messages.HistoryFollowUp
    ) -> None:
        """Send an outcome to the next leader until it accepts it.

        An outcome that arrives before the handover, such as that of a quick
        refusal, is not accepted and is sent again.
        """
        for _ in range(FOLLOW_UP_ATTEMPTS):
            reply = await self._transport.call(
                address, message, timeout_ms=FOLLOW_UP_TIMEOUT_MS
            )
            if isinstance(reply, _messages.HistoryBatchAck) and reply.accepted:
                return
            await self._clock.sleep(FOLLOW_UP_RETRY_MS)

    async def _on_follow_up(
        self, message: _messages.HistoryFollowUp
    ) -> _messages.HistoryBatchAck:
        shard_history = self._histories.get(message.shard)
        if shard_history is None or shard_history.history.sealed:
            return _messages.HistoryBatchAck(accepted=False)
        shard_history.history.apply(message.entries)
        for entry in message.entries:
            shard_history.policy.update_copy(int.from_bytes(entry.key, "big"))
        return _messages.HistoryBatchAck(accepted=True)

    def dump(self) -> dict:
        """Return the current state, for operators."""
        return {
            shard: {
                "keys": len(shard_history.history),
                "answer_bytes": shard_history.history.answer_bytes,
                "horizon": shard_history.history.horizon,
                "policy": shard_history.policy.name,
                "copy": shard_history.leader.record.history,
            }
            for shard, shard_history in self._histories.items()
        }


async def _run_policy(shard_history: ShardHistory) -> None:
    """Run the policy once the history has been recovered.

    A copy of a history that has not been recovered would be recorded as
    complete.
    """
    policy = shard_history.policy
    await shard_history.ready.wait()
    await policy.maintain_copy()


def _is_own_new_term(
    previous: ShardHistory, leader: shards.ShardLeader
) -> bool:
    """Return whether this process has claimed a shard again that it leads.

    Its history under the previous term can then be used further.
    """
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
    """Return whether a batch follows the last one or repeats it."""
    return batch.term == copy.term and batch.sequence in (
        copy.sequence,
        copy.sequence + 1,
    )
