"""Callers that go on sending while faults strike."""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools

from tarragonhinge import base
from tarragonhinge import testing

#: Periods between two new reads and between two new orders.
READ_PERIOD_MS = 80
ORDER_PERIOD_MS = 110
BURST_PERIOD_MS = 25

#: Deadline that callers give, and how much longer they wait.
DEADLINE_MS = 500
PATIENCE_MS = 200

#: Pause before a request is repeated.
REPEAT_MS = 60

#: How often a caller repeats a request whose outcome is unknown: what is
#: remembered of an order does not change.
UNKNOWN_LIMIT = 6

#: Answers after which the same order can't be learned of any more.
FINAL = frozenset(
    {base.UnknownReason.HISTORY_LOST, base.UnknownReason.EARLIER_UNKNOWN}
)


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """One request of a caller, repeated until it is answered.

    Parameters
    ----------
    number : int
        Tells requests apart; it stands in their paths.
    key : str
        The key of the service.
    method : str
        Orders are POSTs.
    idempotency_key : str
        The name of an order; empty for reads.
    """

    number: int
    key: str
    method: str
    idempotency_key: str

    @property
    def query(self) -> str:
        """Return the end of the path."""
        return f"?n={self.number}"


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One sending of a request.

    Parameters
    ----------
    name : str
        Unique name, which a server records when it runs the attempt.
    request : Request
        What was sent.
    entry : str
        Address of the instance that took it.
    started_at, ended_at : int
        True times.
    outcome : Outcome or None
        What the caller was told; None if it hung up before.
    """

    name: str
    request: Request
    entry: str
    started_at: int
    ended_at: int = 0
    outcome: base.Outcome | None = None


class CallerLoad:
    """Idempotent reads and keyed orders through all entries in turn.

    Parameters
    ----------
    deployment : Deployment
        What they call.
    keys : list of str
        Keys that requests use.
    """

    def __init__(
        self, *, deployment: testing.Deployment, keys: list[str]
    ) -> None:
        self.deployment = deployment
        self.attempts: list[Attempt] = []
        self.requests: list[Request] = []
        self.answered: set[int] = set()
        self.keys = keys
        self._numbers = itertools.count()
        self._turns = itertools.count()
        self._stopped = False
        self._callers: set[asyncio.Task] = set()

    def start(self) -> None:
        """Begin to send."""
        self._spawn(self._send_many("GET", READ_PERIOD_MS))
        self._spawn(self._send_many("POST", ORDER_PERIOD_MS))

    def start_burst(self, duration_ms: int) -> None:
        """Send many more requests for a while."""
        for method in ("GET", "POST"):
            self._spawn(self._send_burst(method, duration_ms))

    async def _send_burst(self, method: str, duration_ms: int) -> None:
        sending = self._send_many(method, BURST_PERIOD_MS)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(sending, duration_ms / base.MS_PER_S)

    async def stop(self) -> None:
        """Send nothing new and let pending attempts end."""
        self._stopped = True
        await asyncio.gather(*self._callers)

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._callers.add(task)
        task.add_done_callback(self._callers.discard)

    async def _send_many(self, method: str, period_ms: int) -> None:
        keys: Iterator[str] = itertools.cycle(self.keys)
        while not self._stopped:
            request = self.make_request(method, next(keys))
            self._spawn(self._call(request))
            await self.deployment.wait(period_ms)

    def make_request(self, method: str, key: str) -> Request:
        """Return a new request."""
        number = next(self._numbers)
        name = testing.make_idempotency_key(number) if method == "POST" else ""
        request = Request(
            number=number, key=key, method=method, idempotency_key=name
        )
        self.requests.append(request)
        return request

    def repeat_answered(self) -> None:
        """Send again each order that was answered in the last requests."""
        for request in self.requests[-20:]:
            if request.idempotency_key and request.number in self.answered:
                self._spawn(self._call(request))

    async def _call(self, request: Request) -> None:
        """Repeat a request until it is answered or can't be learned of."""
        told_unknown = 0
        while not self._stopped and told_unknown < UNKNOWN_LIMIT:
            entries = self.list_entries()
            outcome = None
            if entries:
                node = entries[next(self._turns) % len(entries)]
                outcome = await self.attempt(node, request)
                if _is_final(outcome):
                    return
                told_unknown += isinstance(outcome, base.Unknown)
            await self.deployment.wait(choose_pause_ms(outcome))

    def list_doubtful(self, now: int) -> set[int]:
        """Return the requests whose outcome was unknown before `now`.

        The repetition of an order is told what is remembered of it.
        """
        return {
            attempt.request.number
            for attempt in self.attempts
            if 0 < attempt.ended_at < now and is_doubtful(attempt.outcome)
        }

    def list_entries(self) -> list[testing.Node]:
        """Return the instances that a balancer sends callers to."""
        return [
            node
            for node in self.deployment.nodes
            if node.address in self.deployment.network.transports
            and node.instance.is_ready()
        ]

    async def attempt(
        self, node: testing.Node, request: Request
    ) -> base.Outcome | None:
        """Send a request once and note what the caller was told."""
        attempt = Attempt(
            name=f"{request.number}/{len(self.attempts)}",
            request=request,
            entry=node.address,
            started_at=base.Clock().now(),
        )
        self.attempts.append(attempt)
        # The HTTP side of an entry counts what it has in flight.
        node.instance.frontend.in_flight += 1
        limit_ms = DEADLINE_MS + PATIENCE_MS
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_ms / base.MS_PER_S):
                    attempt.outcome = await self._send(node, attempt)
        finally:
            node.instance.frontend.in_flight -= 1
        attempt.ended_at = base.Clock().now()
        if isinstance(attempt.outcome, base.Answered):
            self.answered.add(request.number)
        return attempt.outcome

    async def _send(
        self, node: testing.Node, attempt: Attempt
    ) -> base.Outcome:
        request = attempt.request
        return await self.deployment.send(
            node,
            request.key,
            method=request.method,
            deadline_ms=DEADLINE_MS,
            idempotency_key=request.idempotency_key,
            query=request.query,
            headers=[(testing.HEADER_ATTEMPT, attempt.name)],
        )


def _is_final(outcome: base.Outcome | None) -> bool:
    if isinstance(outcome, base.Unknown):
        return outcome.reason in FINAL
    return isinstance(outcome, base.Answered)


def choose_pause_ms(outcome: base.Outcome | None) -> int:
    """Return how long a caller waits, as a refusal for load asks it to."""
    if not isinstance(outcome, base.NotRun):
        return REPEAT_MS
    if outcome.reason is not base.NotRunReason.OVERLOADED:
        return REPEAT_MS
    return max(REPEAT_MS, min(outcome.retry_after_ms or 0, DEADLINE_MS))


def is_doubtful(outcome: base.Outcome | None) -> bool:
    """Return whether a caller can't tell whether its request ran."""
    return outcome is None or isinstance(outcome, base.Unknown)
