"""Runs requests of the shards that this instance leads."""

import asyncio
from collections.abc import Coroutine

from tarragonhinge import base
from tarragonhinge.dispatch import _arrivals
from tarragonhinge.dispatch import _fingerprint
from tarragonhinge.dispatch import _history
from tarragonhinge.dispatch import _memories
from tarragonhinge.dispatch import _messages
from tarragonhinge.dispatch import _sender
from tarragonhinge import peers
from tarragonhinge import shards
from tarragonhinge import stores

#: When to come back to an instance that does not lead.
REDIRECT_MS = 10


class Dispatcher:
    """Takes forwarded requests and sends each to its owner.

    It sends each request at most once; all retries are the entry's.

    Parameters
    ----------
    coordinator : ShardCoordinator
        Knows the shards led here.
    transport : PeerTransport
        Brings requests of other instances.
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
        self._memories = _memories.ShardMemories(
            coordinator=coordinator,
            transport=transport,
            table=table,
            clock=clock,
        )
        self._arrivals = _arrivals.Arrivals(dispatch=self.dispatch)
        transport.handle(_messages.ForwardRequest, self._arrivals.take_request)
        transport.handle(_messages.CancelRequest, self._arrivals.cancel)

    async def dispatch(
        self, request: _messages.ForwardRequest
    ) -> base.Outcome:
        """Run a request on the owner of its key."""
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
            retry_after_ms=REDIRECT_MS,
            hint=self._coordinator.find_leader_address(shard),
        )

    async def _run_detached(
        self, run: Coroutine[None, None, base.Outcome]
    ) -> base.Outcome:
        """Await a run that goes on, and keeps its slot, if cancelled."""
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
        memory = self._memories.get(leader)
        refusal = await self._wait_ready(memory, deadline_at)
        if refusal is not None:
            return refusal
        if memory.history.sealed:
            return self._redirect(leader.shard)
        key = request.idempotency_key
        fingerprint = _fingerprint.compute_fingerprint(request)
        known = memory.history.find(key, fingerprint)
        if isinstance(known, _history.HistoryEntry):
            return await self._join(known, deadline_at)
        if known is not None:
            return known
        begun = memory.history.begin(key, fingerprint)
        if isinstance(begun, base.NotRun):
            return begun
        # A caller that goes away can ask for the outcome later, so the
        # run is not cancelled with it.
        return await self._run_detached(
            self._run_begun(memory, request, deadline_at)
        )

    async def _wait_ready(
        self, memory: _memories.ShardMemory, deadline_at: int
    ) -> base.NotRun | None:
        left_ms = deadline_at - self._clock.now()
        try:
            await asyncio.wait_for(
                memory.ready.wait(), left_ms / base.MS_PER_S
            )
        except TimeoutError:
            return base.NotRun(
                reason=base.NotRunReason.NO_AUTHORITY, retry_after_ms=1000
            )
        return None

    async def _run_begun(
        self,
        memory: _memories.ShardMemory,
        request: _messages.ForwardRequest,
        deadline_at: int,
    ) -> base.Outcome:
        key = request.idempotency_key
        number = _fingerprint.parse_key(key)
        outcome: base.Outcome = base.Unknown(
            reason=base.UnknownReason.ANSWER_LOST
        )
        try:
            left_ms = deadline_at - self._clock.now()
            refusal = await memory.policy.hold(number, left_ms)
            outcome = refusal or await self._sender.send(
                memory.leader, request, deadline_at=deadline_at
            )
        finally:
            memory.history.finish(key, outcome)
            self._memories.settle(memory, number)
        return outcome

    async def _join(
        self, entry: _history.HistoryEntry, deadline_at: int
    ) -> base.Outcome:
        """Wait for the first run of a request that was sent again."""
        if entry.outcome is not None:
            return entry.outcome
        if entry.done is None:
            entry.done = asyncio.get_running_loop().create_future()
        left_ms = deadline_at - self._clock.now()
        try:
            return await asyncio.wait_for(
                asyncio.shield(entry.done), left_ms / base.MS_PER_S
            )
        except TimeoutError:
            return base.Unknown(reason=base.UnknownReason.TIMEOUT)

    def save_history(self, shard: base.ShardId) -> bytes:
        """Return the history of a shard for its next leader."""
        return self._memories.save(shard)

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        return {
            "limits": self._sender.dump(),
            "histories": self._memories.dump(),
            "arrivals": self._arrivals.dump(),
        }
