"""Runs requests of the shards that this instance leads."""

import asyncio

from tarragonhinge import base
from tarragonhinge.dispatch import _history
from tarragonhinge.dispatch import _messages
from tarragonhinge.dispatch import _sender
from tarragonhinge import peers
from tarragonhinge import shards

#: When to come back to an instance that does not lead.
REDIRECT_MS = 10


class Dispatcher:
    """Takes forwarded requests and sends each to its owner.

    Parameters
    ----------
    coordinator : ShardCoordinator
        Knows the shards led here.
    transport : PeerTransport
        Brings requests of other instances.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        coordinator: shards.ShardCoordinator,
        transport: peers.PeerTransport,
        clock: base.Clock,
    ) -> None:
        self._coordinator = coordinator
        self._clock = clock
        self._sender = _sender.Sender(view=coordinator.view, clock=clock)
        self._histories: dict[base.ShardId, _history.RequestHistory] = {}
        transport.handle(_messages.ForwardRequest, self._on_request)
        coordinator.leaderships.subscribe(self._open_history)
        coordinator.on_history = self._load_history

    async def _on_request(
        self, request: _messages.ForwardRequest
    ) -> _messages.ForwardReply:
        return _messages.encode_outcome(await self.dispatch(request))

    async def dispatch(
        self, request: _messages.ForwardRequest
    ) -> base.Outcome:
        """Run a request on the owner of its key."""
        leader = self._coordinator.leaders.get(request.shard)
        if leader is None or leader.state is not shards.LeaderState.LEADING:
            return base.NotRun(
                reason=base.NotRunReason.NOT_LEADER,
                retry_after_ms=REDIRECT_MS,
                hint=self._coordinator.find_leader_address(request.shard),
            )
        deadline_at = self._clock.now() + request.time_left_ms
        if request.method in leader.row.idempotent_methods:
            return await self._sender.send(
                leader, request, deadline_at=deadline_at
            )
        if not request.idempotency_key:
            return await self._sender.send(
                leader, request, deadline_at=deadline_at
            )
        return await self._run_once(leader, request, deadline_at)

    async def _run_once(
        self,
        leader: shards.ShardLeader,
        request: _messages.ForwardRequest,
        deadline_at: int,
    ) -> base.Outcome:
        """Run a request that has an idempotency key at most once."""
        history = self._histories[leader.shard]
        key = request.idempotency_key
        fingerprint = _history.compute_fingerprint(request)
        known = history.find(key, fingerprint)
        if isinstance(known, _history.HistoryEntry):
            return await self._join(known, deadline_at)
        if known is not None:
            return known
        begun = history.begin(key, fingerprint)
        if isinstance(begun, base.NotRun):
            return begun
        outcome: base.Outcome = base.Unknown(
            reason=base.UnknownReason.ANSWER_LOST
        )
        try:
            outcome = await self._sender.send(
                leader, request, deadline_at=deadline_at
            )
        finally:
            history.finish(key, outcome)
        return outcome

    async def _join(
        self, entry: _history.HistoryEntry, deadline_at: int
    ) -> base.Outcome:
        """Wait for the first run of a request that was sent again."""
        if entry.outcome is not None:
            return entry.outcome
        left_ms = deadline_at - self._clock.now()
        try:
            return await asyncio.wait_for(
                asyncio.shield(entry.done), left_ms / base.MS_PER_S
            )
        except TimeoutError:
            return base.Unknown(reason=base.UnknownReason.TIMEOUT)

    # History -------------------------------------------------------------

    def _open_history(self, leader: shards.ShardLeader) -> None:
        """Begin a history; a new leader knows nothing of earlier runs."""
        horizon = 0
        if leader.record.term > 1:
            horizon = self._clock.read_wall() + _history.SKEW_MS
        self._histories[leader.shard] = _history.RequestHistory(
            clock=self._clock, horizon=horizon
        )

    def _load_history(self, shard: base.ShardId, content: bytes) -> None:
        self._histories[shard].load(content)

    def save_history(self, shard: base.ShardId) -> bytes:
        """Return the history of a shard for its next leader."""
        return self._histories[shard].save()

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        return {
            "slots": self._sender.dump(),
            "remembered": {n: len(h) for n, h in self._histories.items()},
        }
