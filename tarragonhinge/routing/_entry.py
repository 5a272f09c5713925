"""Takes a caller's request to the leader of its key's shard."""

import dataclasses
import itertools

import msgspec

from tarragonhinge import base
from tarragonhinge import dispatch
from tarragonhinge import peers
from tarragonhinge.routing import _directory
from tarragonhinge.routing import _links

#: Pause before a leader is looked for again.
REDIRECT_PAUSE_MS = 20

#: Time that an answer needs on its way back, taken off the deadline.
RETURN_MS = 50

#: Refusals after which another instance may still take the request.
_REDIRECTS = frozenset(
    {
        base.NotRunReason.NOT_LEADER,
        base.NotRunReason.NO_LEADER,
        base.NotRunReason.STOPPING,
    }
)


@dataclasses.dataclass(kw_only=True, slots=True)
class RouteCounts:
    """Counters of an entry."""

    redirects: int = 0
    lost: int = 0


class Entry:
    """Forwards requests to leaders, following their redirects.

    Only proven refusals are sent on to another instance; what a lost
    leader did with a request is not known.

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
    links : LinkBudgets or None
        Budgets of bytes to other regions; none are kept if None.
    """

    def __init__(
        self,
        *,
        directory: _directory.LeaderDirectory,
        transport: peers.PeerTransport,
        dispatcher: dispatch.Dispatcher,
        clock: base.Clock,
        links: _links.LinkBudgets | None = None,
    ) -> None:
        self.counts = RouteCounts()
        self._directory = directory
        self._transport = transport
        self._dispatcher = dispatcher
        self._clock = clock
        self._links = links

    async def route(
        self, request: dispatch.ForwardRequest, *, idempotent: bool
    ) -> base.Outcome:
        """Return the outcome of a request, within its deadline."""
        deadline_at = self._clock.now() + request.time_left_ms
        for attempt in itertools.count():
            outcome = await self._attempt(request, attempt, deadline_at)
            if not self._may_redirect(outcome, idempotent):
                return outcome
            self.counts.redirects += 1
            if self._clock.now() + REDIRECT_PAUSE_MS >= deadline_at:
                return outcome
            await self._clock.sleep(REDIRECT_PAUSE_MS)
        raise AssertionError("unreachable")

    def _may_redirect(self, outcome: base.Outcome, idempotent: bool) -> bool:
        if isinstance(outcome, base.NotRun):
            return outcome.reason in _REDIRECTS
        if isinstance(outcome, base.Unknown):
            return (
                idempotent and outcome.reason is base.UnknownReason.LEADER_LOST
            )
        return False

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
        refusal = self._links.admit(request) if self._links else None
        if refusal is not None:
            return refusal
        reply = await self._transport.call(
            address, request, timeout_ms=request.time_left_ms + RETURN_MS
        )
        if not isinstance(reply, peers.PeerFailure):
            outcome = dispatch.decode_outcome(reply)
            if self._links:
                self._links.charge_answer(request, outcome)
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

    def _learn(
        self,
        shard: base.ShardId,
        address: base.Address,
        outcome: base.Outcome,
    ) -> None:
        if isinstance(outcome, base.Answered):
            self._directory.learn(shard, address)
        elif isinstance(outcome, base.NotRun) and outcome.reason in _REDIRECTS:
            if outcome.hint and outcome.hint != address:
                self._directory.learn(shard, outcome.hint)
            else:
                self._directory.forget(shard)


def _replace_time_left(
    request: dispatch.ForwardRequest, left_ms: int
) -> dispatch.ForwardRequest:
    if left_ms == request.time_left_ms:
        return request
    return msgspec.structs.replace(request, time_left_ms=left_ms)
