"""Takes a caller's request to the leader of its key's shard."""

import asyncio
import dataclasses
import itertools
import random

import msgspec

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import dispatch
from tarragonhinge import peers
from tarragonhinge.routing import _directory
from tarragonhinge.routing import _links
from tarragonhinge.routing import _retry

#: Bound on telling a leader that a caller has gone.
CANCEL_TIMEOUT_MS = 1000

#: Time that an answer needs on its way back, taken off the deadline.
RETURN_MS = 50


@dataclasses.dataclass(kw_only=True, slots=True)
class RouteCounts:
    """Counters of an entry."""

    redirects: int = 0
    retries: int = 0
    cancelled: int = 0
    lost: int = 0


class Entry:
    """Forwards requests to leaders, following their redirects.

    Proven refusals are sent on to another instance.  What a lost leader
    did with a request is not known, so it goes to its successor only if
    it is idempotent or has an idempotency key.

    All retries are made here and none at the leader: only the entry can
    choose another leader and knows the caller, and two layers that each
    retry would multiply.

    Parameters
    ----------
    directory : LeaderDirectory
        Where leaders are.
    transport : PeerTransport
        Reaches them.
    dispatcher : Dispatcher
        Runs requests of shards that this instance leads.
    clock : Clock
        This process's clock.
    view : TableView or None
        Gives the ratio of retries of each service; no service earns any
        without it.
    origin : IncarnationId
        This run of the process; names requests towards leaders.
    rng : random.Random or None
        Source of jitter.
    cross_region_budgets : CrossRegionBudgets or None
        Budgets of bytes to other regions; none are kept if None.
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
        cross_region_budgets: _links.CrossRegionBudgets | None = None,
    ) -> None:
        self.counts = RouteCounts()
        self._view = view
        self._origin = origin or base.IncarnationId("")
        self._rng = rng or random.Random()
        self._sequence = itertools.count(1)
        self._budgets: dict[base.ServiceName, _retry.RetryBudget] = {}
        self._tasks: set[asyncio.Task] = set()
        self._directory = directory
        self._transport = transport
        self._dispatcher = dispatcher
        self._clock = clock
        self._cross_region_budgets = cross_region_budgets

    async def route(
        self, request: dispatch.ForwardRequest, *, idempotent: bool
    ) -> base.Outcome:
        """Return the outcome of a request, within its deadline."""
        deadline_at = self._clock.now() + request.time_left_ms
        attempts = _retry.Attempts(
            idempotent=idempotent,
            keyed=bool(request.idempotency_key),
            budget=self._fund_budget(request.shard),
        )
        while True:
            outcome = await self._attempt(request, attempts.count, deadline_at)
            if not attempts.may_repeat(outcome):
                return attempts.conclude(outcome)
            pause_ms = attempts.draw_pause_ms(self._rng)
            if self._clock.now() + pause_ms >= deadline_at:
                return attempts.conclude(outcome)
            self._count_repeat(outcome)
            await self._clock.sleep(pause_ms)

    def _fund_budget(self, shard: base.ShardId) -> _retry.RetryBudget:
        """Return the budget of a service, with this request's share."""
        service, _ = base.split_shard_id(shard)
        budget = self._budgets.setdefault(service, _retry.RetryBudget())
        row = self._view.current.find_row(service) if self._view else None
        budget.earn(row.retry_ratio if row else 0.0)
        return budget

    def _count_repeat(self, outcome: base.Outcome) -> None:
        if (
            isinstance(outcome, base.NotRun)
            and outcome.reason in _retry.REDIRECTS
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
        left_ms = deadline_at - self._clock.now()
        if left_ms <= 0:
            return base.NotRun(reason=base.NotRunReason.DEADLINE)
        address = self._directory.guess(request.shard, attempt)
        if not address:
            return base.NotRun(
                reason=base.NotRunReason.NO_LEADER, retry_after_ms=1000
            )
        aged = _replace_time_left(request, left_ms)
        if address == self._transport.address:
            outcome = await self._dispatcher.dispatch(aged)
        else:
            outcome = await self._forward(address, aged)
        self._learn(request.shard, address, outcome)
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
        named = msgspec.structs.replace(
            request, origin=self._origin, sequence=next(self._sequence)
        )
        try:
            reply = await self._transport.call(
                address, named, timeout_ms=request.time_left_ms + RETURN_MS
            )
        except asyncio.CancelledError:
            self._cancel(address, named.sequence)
            raise
        if not isinstance(reply, peers.PeerFailure):
            outcome = dispatch.decode_outcome(reply)
            if self._cross_region_budgets:
                self._cross_region_budgets.charge_answer(request, outcome)
            return outcome
        self.counts.lost += 1
        self._directory.suspect(address)
        proven = (
            peers.FailureReason.NOT_SENT,
            peers.FailureReason.REFUSED,
        )
        if reply.reason in proven:
            return base.NotRun(reason=base.NotRunReason.NO_LEADER)
        return base.Unknown(reason=base.UnknownReason.LEADER_LOST)

    def _cancel(self, address: base.Address, sequence: int) -> None:
        """Tell a leader, without waiting, that a caller has gone."""
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

    def _learn(
        self,
        shard: base.ShardId,
        address: base.Address,
        outcome: base.Outcome,
    ) -> None:
        if isinstance(outcome, base.Answered):
            self._directory.learn(shard, address)
        elif outcome.reason in _retry.REDIRECTS:
            if outcome.hint and outcome.hint != address:
                self._directory.learn(shard, outcome.hint)
            else:
                self._directory.forget(shard)
        elif outcome.reason is not base.UnknownReason.LEADER_LOST:
            # Only a leader refuses for another reason.
            self._directory.learn(shard, address)


def _replace_time_left(
    request: dispatch.ForwardRequest, left_ms: int
) -> dispatch.ForwardRequest:
    if left_ms == request.time_left_ms:
        return request
    return msgspec.structs.replace(request, time_left_ms=left_ms)
