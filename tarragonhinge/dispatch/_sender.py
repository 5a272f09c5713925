"""Sends a request to the owner of its key, within the server's limits."""

import asyncio

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge.dispatch import _messages
from tarragonhinge.dispatch import _priority
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
        """Send a request once and return its outcome.

        A request whose partition moves while it waits for a slot waits
        again, at the new owner.
        """
        while True:
            keeper = await self._wait_owner(leader, request, deadline_at)
            if isinstance(keeper, base.NotRun):
                return keeper
            slots = self._find_slots(leader, keeper)
            refusal = await slots.acquire(
                deadline_at=deadline_at,
                priority=_priority.read_priority(leader.row, request.headers),
            )
            if refusal is not None:
                return refusal
            if leader.owners.find_owner(request.partition) is keeper:
                return await self._run(
                    leader, keeper, slots, request, deadline_at
                )
            slots.release(service_ms=None)

    async def _run(
        self,
        leader: shards.ShardLeader,
        keeper: shards.GrantKeeper,
        slots: admission.ServerSlots,
        request: _messages.ForwardRequest,
        deadline_at: int,
    ) -> base.Outcome:
        """Send a request that has a slot."""
        started_at = self._clock.now()
        try:
            outcome = await self._dispatch(
                leader, keeper, request, deadline_at
            )
        except (asyncio.CancelledError, Exception):
            self._settle(slots, None, started_at)
            raise
        self._settle(slots, outcome, started_at)
        return outcome

    def _settle(
        self,
        slots: admission.ServerSlots,
        outcome: base.Outcome | None,
        started_at: int,
    ) -> None:
        """Give the slot back and learn from how the request ended."""
        service_ms = self._clock.now() - started_at
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
            keeper = leader.owners.find_owner(request.partition)
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
            await self._clock.sleep(OWNER_POLL_MS)

    def _find_slots(
        self, leader: shards.ShardLeader, keeper: shards.GrantKeeper
    ) -> admission.ServerSlots:
        """Return the slots of a server, within the limits in force."""
        row = leader.row
        name = f"{leader.shard}/{keeper.entry.address}"
        slots = self._slots.get(name)
        if slots is None:
            slots = admission.ServerSlots(
                slots=row.slots,
                queue=row.queue,
                clock=self._clock,
                discipline=row.discipline,
            )
            self._slots[name] = slots
        slots.set_limits(slots=row.slots, queue=row.queue)
        if keeper.on_report is None:
            _follow_reports(keeper, slots)
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
        fence = leader.authorize(request.partition)
        if isinstance(fence, base.NotRun):
            return fence
        if leader.owners.find_owner(request.partition) is not keeper:
            return base.NotRun(
                reason=base.NotRunReason.MOVING, retry_after_ms=OWNER_POLL_MS
            )
        leader.owners.enter(request.partition)
        try:
            return await keeper.client.dispatch(
                _make_server_request(request, fence, left_ms),
                timeout_ms=left_ms,
            )
        finally:
            leader.owners.leave(request.partition)

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        return {name: slots.dump() for name, slots in self._slots.items()}


def _follow_reports(
    keeper: shards.GrantKeeper, slots: admission.ServerSlots
) -> None:
    """Count what an earlier leader's requests occupy, until they end."""

    def take(report: shards.ServerReport) -> None:
        slots.take_report(
            report.in_flight,
            sent_at=report.sent_at,
            incarnation=report.incarnation,
        )

    keeper.on_report = take
    if keeper.report is not None:
        slots.count_inherited(keeper.report.in_flight)


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
