"""Forwarding of requests from the entry to the leaders of shards."""

import asyncio
import dataclasses
import itertools
import random

import msgspec

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import dispatch
from tarragonhinge import peers
from tarragonhinge.routing import _cross_region_budgets
from tarragonhinge.routing import _directory
from tarragonhinge.routing import _retry

#: Timeout of a message that cancels a request at its leader.
CANCEL_TIMEOUT_MS = 1000

#: Added to a request's remaining time as the timeout of a forward, for the
#: transmission of the reply.
FORWARD_TIMEOUT_MARGIN_MS = 50


@dataclasses.dataclass(kw_only=True, slots=True)
class RouteCounts:
    """Counters of an entry.

    Parameters
    ----------
    redirects : int
        Retries after a refusal by an instance that does not lead the
        shard, or without a reachable instance.
    retries : int
        All other retries.
    cancelled : int
        Forwarded requests that were cancelled at their leader.
    lost : int
        Forwarded requests without a reply of the leader.
    """

    redirects: int = 0
    retries: int = 0
    cancelled: int = 0
    lost: int = 0


class Entry:
    """Forwards requests to leaders and follows their redirects.

    A request that certainly did not run is retried at another instance.
    Whether a lost leader ran a request is unknown, so the request is resent
    to the successor only if it is idempotent or has an idempotency key.

    All retries are made by the entry and none by the leader: only the entry
    can choose another leader and is connected to the caller, and retries in
    two layers would multiply.

    Parameters
    ----------
    directory : LeaderDirectory
        Addresses of the leaders.
    transport : PeerTransport
        Connection to the leaders.
    dispatcher : Dispatcher
        Runs requests of the shards that this instance leads.
    clock : Clock
        This process's clock.
    view : TableView or None
        Operators' table with the retry ratio of each service.  If None,
        retry budgets are not refilled.
    origin : IncarnationId
        Incarnation of this process, by which leaders identify requests.
    rng : random.Random or None
        Source of jitter.
    cross_region_budgets : CrossRegionBudgets or None
        Byte budgets for traffic to other regions; unlimited if None.
    """

    def __init__(
        self,
        *,
        directory: _directory.LeaderDirectory,
        transport: peers.PeerTransport,
        dispatcher: dispatch.Dispatcher,
        clock: base.Clock,
        view: configuration.TableView | None = None,
        origin: base.IncarnationId | None = None,
        rng: random.Random | None = None,
        cross_region_budgets: _cross_region_budgets.CrossRegionBudgets
        | None = None,
    ) -> None:
        self.counts = RouteCounts()
        self._view = view
        self._origin = origin or base.IncarnationId("")
        self._rng = rng or random.Random()
        self._sequence = itertools.count(1)
        self._retry_budgets: dict[base.ServiceName, _retry.RetryBudget] = {}
        self._tasks: set[asyncio.Task] = set()
        self._directory = directory
        self._transport = transport
        self._dispatcher = dispatcher
        self._clock = clock
        self._cross_region_budgets = cross_region_budgets

    async def route(
        self, request: dispatch.ForwardRequest, *, idempotent: bool
    ) -> base.Outcome:
        """Forward a request and return its outcome within its deadline."""
        deadline_at = self._clock.now() + request.time_left_ms
        attempts = _retry.Attempts(
            idempotent=idempotent,
            has_idempotency_key=bool(request.idempotency_key),
            budget=self._credit_budget(request.shard),
        )
        while True:
            outcome = await self._attempt(request, attempts.count, deadline_at)
            if not attempts.should_retry(outcome):
                return attempts.combine_outcomes(outcome)
            backoff_ms = attempts.draw_backoff_ms(self._rng)
            if self._clock.now() + backoff_ms >= deadline_at:
                return attempts.combine_outcomes(outcome)
            self._count_retry(outcome)
            await self._clock.sleep(backoff_ms)

    def _credit_budget(self, shard: base.ShardId) -> _retry.RetryBudget:
        """Return a service's retry budget, credited for this request."""
        service, _ = base.split_shard_id(shard)
        budget = self._retry_budgets.setdefault(service, _retry.RetryBudget())
        row = self._view.current.find_row(service) if self._view else None
        budget.earn(row.retry_ratio if row else 0.0)
        return budget

    def _count_retry(self, outcome: base.Outcome) -> None:
        if (
            isinstance(outcome, base.NotRun)
            and outcome.reason in _retry.REDIRECT_REASONS
        ):
            self.counts.redirects += 1
        else:
            self.counts.retries += 1

    async def _attempt(
        self,
        request: dispatch.ForwardRequest,
        attempt: int,
        deadline_at: int,
    ) -> base.Outcome:
        remaining_ms = deadline_at - self._clock.now()
        if remaining_ms <= 0:
            return base.NotRun(reason=base.NotRunReason.DEADLINE)
        address = self._directory.choose_address(request.shard, attempt)
        if not address:
            return base.NotRun(
                reason=base.NotRunReason.NO_LEADER, retry_after_ms=1000
            )
        updated = _replace_time_left(request, remaining_ms)
        if address == self._transport.address:
            outcome = await self._dispatcher.dispatch(updated)
        else:
            outcome = await self._forward(address, updated)
        self._update_directory(request.shard, address, outcome)
        return outcome

    async def _forward(
        self, address: base.Address, request: dispatch.ForwardRequest
    ) -> base.Outcome:
        refusal = (
            self._cross_region_budgets.admit(request)
            if self._cross_region_budgets
            else None
        )
        if refusal is not None:
            return refusal
        identified = msgspec.structs.replace(
            request, origin=self._origin, sequence=next(self._sequence)
        )
        try:
            reply = await self._transport.call(
                address,
                identified,
                timeout_ms=request.time_left_ms + FORWARD_TIMEOUT_MARGIN_MS,
            )
        except asyncio.CancelledError:
            self._cancel(address, identified.sequence)
            raise
        if not isinstance(reply, peers.PeerFailure):
            outcome = dispatch.decode_outcome(reply)
            if self._cross_region_budgets:
                self._cross_region_budgets.charge_answer(request, outcome)
            return outcome
        self.counts.lost += 1
        self._directory.mark_suspect(address)
        undelivered_reasons = (
            peers.FailureReason.NOT_SENT,
            peers.FailureReason.REFUSED,
        )
        if reply.reason in undelivered_reasons:
            return base.NotRun(reason=base.NotRunReason.NO_LEADER)
        return base.Unknown(reason=base.UnknownReason.LEADER_LOST)

    def _cancel(self, address: base.Address, sequence: int) -> None:
        """Cancel a request at its leader, without waiting for the reply."""
        self.counts.cancelled += 1
        message = dispatch.CancelRequest(
            origin=self._origin, sequence=sequence
        )
        call = self._transport.call(
            address, message, timeout_ms=CANCEL_TIMEOUT_MS
        )
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _update_directory(
        self,
        shard: base.ShardId,
        address: base.Address,
        outcome: base.Outcome,
    ) -> None:
        if isinstance(outcome, base.Answered):
            self._directory.record_leader(shard, address)
        elif outcome.reason in _retry.REDIRECT_REASONS:
            if outcome.hint and outcome.hint != address:
                self._directory.record_leader(shard, outcome.hint)
            else:
                self._directory.forget_leader(shard)
        elif outcome.reason is not base.UnknownReason.LEADER_LOST:
            # Only a leader gives any of the other reasons.
            self._directory.record_leader(shard, address)


def _replace_time_left(
    request: dispatch.ForwardRequest, remaining_ms: int
) -> dispatch.ForwardRequest:
    if remaining_ms == request.time_left_ms:
        return request
    return msgspec.structs.replace(request, time_left_ms=remaining_ms)
