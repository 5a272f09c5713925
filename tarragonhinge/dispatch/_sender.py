"""Sending of requests to the owners of their keys, within their limits."""

import asyncio

import msgspec

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge.dispatch import _limits
from tarragonhinge.dispatch import _messages
from tarragonhinge.dispatch import _priority
from tarragonhinge import servers
from tarragonhinge import shards

#: Interval between checks whether a partition has an owner.
OWNER_POLL_MS = 10

#: Lowest HTTP status that counts as a failure of the server.
MIN_ERROR_STATUS = 500


class Sender:
    """Sends requests once they have an owner and a slot.

    Parameters
    ----------
    view : TableView
        Versions of the operators' table.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self, *, view: configuration.TableView, clock: base.Clock
    ) -> None:
        self._clock = clock
        self._tables = admission.RecentTables(view=view, clock=clock)
        self._limits: dict[base.ShardId, _limits.ShardLimits] = {}

    async def send(
        self,
        leader: shards.ShardLeader,
        request: _messages.ForwardRequest,
        *,
        deadline_at: int,
    ) -> base.Outcome:
        """Send a request once and return its outcome.

        If the partition moves while the request waits for a slot, the
        request waits again, for a slot of the new owner.
        """
        limits = self._find_limits(leader)
        refusal = limits.gate.admit()
        if refusal is not None:
            return refusal
        priority = _priority.read_priority(leader.row, request.headers)
        while True:
            request = _assign_partition(leader, limits, request, priority)
            keeper = await self._wait_owner(leader, request, deadline_at)
            if isinstance(keeper, base.NotRun):
                return keeper
            slots = limits.find_slots(keeper)
            refusal = await slots.acquire(
                deadline_at=deadline_at, priority=priority
            )
            if refusal is not None:
                return refusal
            refusal = await self._pass_gate(
                limits, slots, deadline_at, priority
            )
            if refusal is not None:
                return refusal
            partition = _resolve_partition(leader, request)
            if leader.owners.find_owner(partition) is keeper:
                return await self._send_with_slot(
                    leader, keeper, limits, request, deadline_at
                )
            slots.release(service_ms=None)
            limits.gate.leave(service_ms=None)

    def _find_limits(self, leader: shards.ShardLeader) -> _limits.ShardLimits:
        limits = self._limits.get(leader.shard)
        if limits is None:
            limits = _limits.ShardLimits(
                shard=leader.shard,
                row=leader.row,
                tables=self._tables,
                clock=self._clock,
            )
            self._limits[leader.shard] = limits
        limits.update(leader)
        return limits

    async def _pass_gate(
        self,
        limits: _limits.ShardLimits,
        slots: admission.ServerSlots,
        deadline_at: int,
        priority: int,
    ) -> base.NotRun | None:
        """Pass the gate of the service while holding a slot.

        The slot is released if the gate refuses the request.
        """
        try:
            refusal = await limits.gate.enter(
                deadline_at=deadline_at, priority=priority
            )
        except asyncio.CancelledError:
            slots.release(service_ms=None)
            raise
        if refusal is not None:
            slots.release(service_ms=None)
        return refusal

    async def _send_with_slot(
        self,
        leader: shards.ShardLeader,
        keeper: shards.GrantKeeper,
        limits: _limits.ShardLimits,
        request: _messages.ForwardRequest,
        deadline_at: int,
    ) -> base.Outcome:
        """Send a request that holds a slot, and release the slot."""
        slots = limits.find_slots(keeper)
        started_at = self._clock.now()
        try:
            outcome = await self._send_to_owner(
                leader, keeper, request, deadline_at
            )
        except (asyncio.CancelledError, Exception):
            self._release_slot(slots, None, started_at)
            limits.gate.leave(service_ms=None)
            raise
        self._release_slot(slots, outcome, started_at)
        limits.gate.leave(service_ms=self._clock.now() - started_at)
        return outcome

    def _release_slot(
        self,
        slots: admission.ServerSlots,
        outcome: base.Outcome | None,
        started_at: int,
    ) -> None:
        """Release a slot and record the outcome in the server's statistics.

        A request whose outcome is unknown is counted as lingering, since
        it may still occupy the server.
        """
        service_ms = self._clock.now() - started_at
        slots.health.record(failed=_is_server_failure(outcome))
        if isinstance(outcome, base.Answered):
            slots.window.record_success()
            slots.release(service_ms=service_ms)
        elif isinstance(outcome, base.NotRun):
            if outcome.reason is base.NotRunReason.SERVER_SHED:
                slots.window.record_shed(sent_at=started_at)
            slots.release(service_ms=None)
        else:
            slots.release(service_ms=service_ms, lingers=True)

    async def _wait_owner(
        self,
        leader: shards.ShardLeader,
        request: _messages.ForwardRequest,
        deadline_at: int,
    ) -> shards.GrantKeeper | base.NotRun:
        while True:
            partition = _resolve_partition(leader, request)
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

    async def _send_to_owner(
        self,
        leader: shards.ShardLeader,
        keeper: shards.GrantKeeper,
        request: _messages.ForwardRequest,
        deadline_at: int,
    ) -> base.Outcome:
        remaining_ms = deadline_at - self._clock.now()
        if remaining_ms <= 0:
            return base.NotRun(reason=base.NotRunReason.DEADLINE)
        partition = _resolve_partition(leader, request)
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
                _make_server_request(request, fence, remaining_ms),
                timeout_ms=remaining_ms,
            )
        finally:
            leader.owners.leave(
                partition,
                request.key_hash,
                service_ms=self._clock.now() - sent_at,
            )

    def dump(self) -> dict:
        """Return the current state, for operators."""
        return {name: limits.dump() for name, limits in self._limits.items()}


def _is_server_failure(outcome: base.Outcome | None) -> bool:
    """Return whether an outcome counts as a failure of the server.

    Load shedding does not: the server is overloaded, but works.
    """
    if isinstance(outcome, base.Answered):
        return outcome.status >= MIN_ERROR_STATUS
    if isinstance(outcome, base.NotRun):
        return outcome.reason is base.NotRunReason.SERVER_UNREACHABLE
    return True


def _assign_partition(
    leader: shards.ShardLeader,
    limits: _limits.ShardLimits,
    request: _messages.ForwardRequest,
    priority: int,
) -> _messages.ForwardRequest:
    """Assign a partition to a request of a service without keys."""
    if leader.row.key_source is not configuration.KeySource.NONE:
        return request
    partition = limits.pick_partition(leader, priority)
    if partition is None:
        return request
    return msgspec.structs.replace(request, partition=partition)


def _resolve_partition(
    leader: shards.ShardLeader, request: _messages.ForwardRequest
) -> base.PartitionId | None:
    """Return the partition that currently contains the request's key."""
    return leader.owners.resolve(request.partition, request.key_hash)


def _make_server_request(
    request: _messages.ForwardRequest, fence: servers.Fence, remaining_ms: int
) -> servers.ServerRequest:
    return servers.ServerRequest(
        fence=fence,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        deadline_ms=remaining_ms,
        idempotency_key=request.idempotency_key,
    )
