"""Sends a request to the owner of its key, within the server's limits."""

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge.dispatch import _messages
from tarragonhinge import servers
from tarragonhinge import shards

#: Period at which a request that waits for an owner looks again.
OWNER_POLL_MS = 10


class Sender:
    """Waits for the owner and for a slot, then sends.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._slots: dict[str, admission.ServerSlots] = {}

    async def send(
        self,
        leader: shards.ShardLeader,
        request: _messages.ForwardRequest,
        *,
        deadline_at: int,
    ) -> base.Outcome:
        """Send a request once and return its outcome."""
        keeper = await self._wait_owner(leader, request, deadline_at)
        if isinstance(keeper, base.NotRun):
            return keeper
        slots = self._find_slots(leader, keeper.entry.server)
        refusal = await slots.acquire(deadline_at=deadline_at)
        if refusal is not None:
            return refusal
        started_at = self._clock.now()
        try:
            return await self._dispatch(leader, keeper, request, deadline_at)
        finally:
            slots.release(service_ms=self._clock.now() - started_at)

    async def _wait_owner(
        self,
        leader: shards.ShardLeader,
        request: _messages.ForwardRequest,
        deadline_at: int,
    ) -> shards.GrantKeeper | base.NotRun:
        while True:
            partition = _resolve(leader, request)
            keeper = leader.owners.find_owner(partition)
            if keeper is not None:
                return keeper
            if leader.state is not shards.LeaderState.LEADING:
                return base.NotRun(
                    reason=base.NotRunReason.NOT_LEADER,
                    retry_after_ms=OWNER_POLL_MS,
                )
            if self._clock.now() + OWNER_POLL_MS >= deadline_at:
                return base.NotRun(
                    reason=base.NotRunReason.NO_OWNER, retry_after_ms=1000
                )
            await leader.owners.wait_change(OWNER_POLL_MS)

    def _find_slots(
        self, leader: shards.ShardLeader, server: base.ServerId
    ) -> admission.ServerSlots:
        name = f"{leader.shard}/{server}"
        slots = self._slots.get(name)
        if slots is None:
            slots = admission.ServerSlots(
                slots=leader.row.slots,
                queue=leader.row.queue,
                clock=self._clock,
            )
            self._slots[name] = slots
        return slots

    async def _dispatch(
        self,
        leader: shards.ShardLeader,
        keeper: shards.GrantKeeper,
        request: _messages.ForwardRequest,
        deadline_at: int,
    ) -> base.Outcome:
        left_ms = deadline_at - self._clock.now()
        if left_ms <= 0:
            return base.NotRun(reason=base.NotRunReason.DEADLINE)
        partition = _resolve(leader, request)
        fence = leader.authorize(partition)
        if isinstance(fence, base.NotRun):
            return fence
        if leader.owners.find_owner(partition) is not keeper:
            return base.NotRun(
                reason=base.NotRunReason.MOVING, retry_after_ms=OWNER_POLL_MS
            )
        leader.owners.enter(partition, request.key_hash)
        sent_at = self._clock.now()
        try:
            return await keeper.client.dispatch(
                _make_server_request(request, fence, left_ms),
                timeout_ms=left_ms,
            )
        finally:
            leader.owners.leave(
                partition,
                request.key_hash,
                service_ms=self._clock.now() - sent_at,
            )

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        return {
            name: {"running": s.running, "waiting": s.count_waiting()}
            for name, s in self._slots.items()
        }


def _resolve(
    leader: shards.ShardLeader, request: _messages.ForwardRequest
) -> base.PartitionId | None:
    """Return the partition that holds the request's key now."""
    return leader.owners.resolve(request.partition, request.key_hash)


def _make_server_request(
    request: _messages.ForwardRequest, fence: servers.Fence, left_ms: int
) -> servers.ServerRequest:
    return servers.ServerRequest(
        fence=fence,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        deadline_ms=left_ms,
        idempotency_key=request.idempotency_key,
    )
