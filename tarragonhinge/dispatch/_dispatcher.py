"""Dispatch of requests of the shards that this instance leads."""

import asyncio
from collections.abc import Coroutine

from tarragonhinge import base
from tarragonhinge.dispatch import _fingerprint
from tarragonhinge.dispatch import _history
from tarragonhinge.dispatch import _messages
from tarragonhinge.dispatch import _request_receiver
from tarragonhinge.dispatch import _sender
from tarragonhinge.dispatch import _shard_histories
from tarragonhinge import peers
from tarragonhinge import shards
from tarragonhinge import stores

#: Retry delay in a refusal of an instance that does not lead the shard.
REDIRECT_RETRY_AFTER_MS = 10


class Dispatcher:
    """Sends forwarded requests to the owners of their keys.

    Each request is sent at most once; only entries retry.

    Parameters
    ----------
    coordinator : ShardCoordinator
        Coordinator of the shards led by this instance.
    transport : PeerTransport
        Receives requests of other instances.
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
        self._clock = clock
        self._sender = _sender.Sender(view=coordinator.view, clock=clock)
        self._detached: set[asyncio.Task] = set()
        self._histories = _shard_histories.ShardHistories(
            coordinator=coordinator,
            transport=transport,
            table=table,
            clock=clock,
        )
        self._receiver = _request_receiver.RequestReceiver(
            dispatch=self.dispatch
        )
        transport.handle(
            _messages.ForwardRequest, self._receiver.handle_request
        )
        transport.handle(_messages.CancelRequest, self._receiver.handle_cancel)

    async def dispatch(
        self, request: _messages.ForwardRequest
    ) -> base.Outcome:
        """Run a request on the owner of its key and return its outcome."""
        leader = self._coordinator.leaders.get(request.shard)
        if leader is None or leader.state is not shards.LeaderState.LEADING:
            return self._redirect(request.shard)
        deadline_at = self._clock.now() + request.time_left_ms
        idempotent = request.method in leader.row.idempotent_methods
        if request.idempotency_key and not idempotent:
            return await self._run_once(leader, request, deadline_at)
        run = self._sender.send(leader, request, deadline_at=deadline_at)
        if leader.row.cancels:
            return await run
        return await self._run_detached(run)

    def _redirect(self, shard: base.ShardId) -> base.NotRun:
        return base.NotRun(
            reason=base.NotRunReason.NOT_LEADER,
            retry_after_ms=REDIRECT_RETRY_AFTER_MS,
            hint=self._coordinator.find_leader_address(shard),
        )

    async def _run_detached(
        self, run: Coroutine[None, None, base.Outcome]
    ) -> base.Outcome:
        """Await a run that continues, and keeps its slot, if cancelled."""
        task = asyncio.create_task(run)
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return await asyncio.shield(task)

    # At most once --------------------------------------------------------

    async def _run_once(
        self,
        leader: shards.ShardLeader,
        request: _messages.ForwardRequest,
        deadline_at: int,
    ) -> base.Outcome:
        """Run a request that has an idempotency key at most once."""
        shard_history = self._histories.get(leader)
        refusal = await self._wait_until_ready(shard_history, deadline_at)
        if refusal is not None:
            return refusal
        if shard_history.history.sealed:
            return self._redirect(leader.shard)
        key = request.idempotency_key
        fingerprint = _fingerprint.compute_fingerprint(request)
        recorded = shard_history.history.find(key, fingerprint)
        if isinstance(recorded, _history.HistoryEntry):
            return await self._wait_for_outcome(recorded, deadline_at)
        if recorded is not None:
            return recorded
        new_entry = shard_history.history.begin(key, fingerprint)
        if isinstance(new_entry, base.NotRun):
            return new_entry
        # A caller that disconnects can ask for the outcome later, so the
        # run continues without it.
        return await self._run_detached(
            self._run_recorded(shard_history, request, deadline_at)
        )

    async def _wait_until_ready(
        self, shard_history: _shard_histories.ShardHistory, deadline_at: int
    ) -> base.NotRun | None:
        remaining_ms = deadline_at - self._clock.now()
        try:
            await asyncio.wait_for(
                shard_history.ready.wait(), remaining_ms / base.MS_PER_S
            )
        except TimeoutError:
            return base.NotRun(
                reason=base.NotRunReason.NO_AUTHORITY, retry_after_ms=1000
            )
        return None

    async def _run_recorded(
        self,
        shard_history: _shard_histories.ShardHistory,
        request: _messages.ForwardRequest,
        deadline_at: int,
    ) -> base.Outcome:
        key = request.idempotency_key
        key_id = _fingerprint.parse_key(key)
        outcome: base.Outcome = base.Unknown(
            reason=base.UnknownReason.ANSWER_LOST
        )
        try:
            remaining_ms = deadline_at - self._clock.now()
            refusal = await shard_history.policy.prepare_dispatch(
                key_id, remaining_ms
            )
            outcome = refusal or await self._sender.send(
                shard_history.leader, request, deadline_at=deadline_at
            )
        finally:
            shard_history.history.finish(key, outcome)
            self._histories.publish_outcome(shard_history, key_id)
        return outcome

    async def _wait_for_outcome(
        self, entry: _history.HistoryEntry, deadline_at: int
    ) -> base.Outcome:
        """Return the outcome of the first run of a duplicate request.

        If the run has not finished by the deadline, the outcome is unknown.
        """
        if entry.outcome is not None:
            return entry.outcome
        if entry.done is None:
            entry.done = asyncio.get_running_loop().create_future()
        remaining_ms = deadline_at - self._clock.now()
        try:
            return await asyncio.wait_for(
                asyncio.shield(entry.done), remaining_ms / base.MS_PER_S
            )
        except TimeoutError:
            return base.Unknown(reason=base.UnknownReason.TIMEOUT)

    def save_history(self, shard: base.ShardId) -> bytes:
        """Seal the history of a shard and return it for the next leader."""
        return self._histories.seal(shard)

    def dump(self) -> dict:
        """Return the current state, for operators."""
        return {
            "limits": self._sender.dump(),
            "histories": self._histories.dump(),
            "arrivals": self._receiver.dump(),
        }
