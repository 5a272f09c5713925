"""Load of callers that retry their requests during faults."""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools

from tarragonhinge import base
from tarragonhinge import testing

#: Intervals between new GET requests, new POST requests, and new requests
#: of either method in a burst.
GET_PERIOD_MS = 80
POST_PERIOD_MS = 110
BURST_PERIOD_MS = 25

#: Deadline of requests, and the time after it at which callers hang up.
DEADLINE_MS = 500
CALLER_GRACE_MS = 200

#: Minimum delay before a retry.
RETRY_DELAY_MS = 60

#: Maximum number of unknown outcomes before a caller stops retrying. More
#: retries would yield nothing new, since the recorded outcome of a request
#: does not change.
MAX_UNKNOWN_OUTCOMES = 6

#: Reasons after which no retry can determine whether a request ran.
FINAL_UNKNOWN_REASONS = frozenset(
    {base.UnknownReason.HISTORY_LOST, base.UnknownReason.EARLIER_UNKNOWN}
)


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """One request of a caller, which is retried until it is answered.

    Parameters
    ----------
    number : int
        Unique number, which is part of the request's query.
    key : str
        Key within the service.
    method : str
        GET, or POST for a non-idempotent request.
    idempotency_key : str
        Idempotency key of a POST request; empty for a GET request.
    """

    number: int
    key: str
    method: str
    idempotency_key: str

    @property
    def query(self) -> str:
        """Return the query component of the request's path."""
        return f"?n={self.number}"


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt of a request.

    Parameters
    ----------
    name : str
        Unique name, which a server records when it runs the attempt.
    request : Request
        Request of the attempt.
    entry : str
        Address of the instance that received the attempt.
    started_at, ended_at : int
        True times in milliseconds; `ended_at` is 0 while the attempt is
        in flight.
    outcome : Outcome or None
        Outcome that the caller received; None if it hung up before.
    """

    name: str
    request: Request
    entry: str
    started_at: int
    ended_at: int = 0
    outcome: base.Outcome | None = None


class CallerLoad:
    """GET requests, and POST requests with idempotency keys.

    Attempts go to the ready instances in rotation.

    Parameters
    ----------
    deployment : Deployment
        Deployment under load.
    keys : list of str
        Keys of the requests, used in rotation.

    Attributes
    ----------
    attempts : list of Attempt
        All attempts in order of their start.
    requests : list of Request
        All requests in order of their creation.
    answered : set of int
        Numbers of the requests that were answered.
    """

    def __init__(
        self, *, deployment: testing.Deployment, keys: list[str]
    ) -> None:
        self.deployment = deployment
        self.attempts: list[Attempt] = []
        self.requests: list[Request] = []
        self.answered: set[int] = set()
        self.keys = keys
        self._request_numbers = itertools.count()
        self._entry_turns = itertools.count()
        self._stopped = False
        self._callers: set[asyncio.Task] = set()

    def start(self) -> None:
        """Start the periodic requests."""
        self._spawn(self._send_periodically("GET", GET_PERIOD_MS))
        self._spawn(self._send_periodically("POST", POST_PERIOD_MS))

    def start_burst(self, duration_ms: int) -> None:
        """Send additional requests at a high rate for a duration."""
        for method in ("GET", "POST"):
            self._spawn(self._send_burst(method, duration_ms))

    async def _send_burst(self, method: str, duration_ms: int) -> None:
        sending = self._send_periodically(method, BURST_PERIOD_MS)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(sending, duration_ms / base.MS_PER_S)

    async def stop(self) -> None:
        """Stop new requests and wait for the attempts in flight."""
        self._stopped = True
        await asyncio.gather(*self._callers)

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._callers.add(task)
        task.add_done_callback(self._callers.discard)

    async def _send_periodically(self, method: str, period_ms: int) -> None:
        keys: Iterator[str] = itertools.cycle(self.keys)
        while not self._stopped:
            request = self.make_request(method, next(keys))
            self._spawn(self._call(request))
            await self.deployment.wait(period_ms)

    def make_request(self, method: str, key: str) -> Request:
        """Return a new request, with an idempotency key if it is a POST."""
        number = next(self._request_numbers)
        idempotency_key = (
            testing.make_idempotency_key(number) if method == "POST" else ""
        )
        request = Request(
            number=number,
            key=key,
            method=method,
            idempotency_key=idempotency_key,
        )
        self.requests.append(request)
        return request

    def repeat_answered(self) -> None:
        """Resend each answered POST among the 20 latest requests."""
        for request in self.requests[-20:]:
            if request.idempotency_key and request.number in self.answered:
                self._spawn(self._call(request))

    async def _call(self, request: Request) -> None:
        """Retry a request until its outcome is final."""
        unknown_count = 0
        while not self._stopped and unknown_count < MAX_UNKNOWN_OUTCOMES:
            entries = self.list_entries()
            outcome = None
            if entries:
                node = entries[next(self._entry_turns) % len(entries)]
                outcome = await self.attempt(node, request)
                if _is_final(outcome):
                    return
                unknown_count += isinstance(outcome, base.Unknown)
            await self.deployment.wait(get_retry_delay_ms(outcome))

    def list_unknown(self, limit_at: int) -> set[int]:
        """Return the requests with an unknown outcome before `limit_at`.

        A retry of such a request receives the recorded outcome.

        Parameters
        ----------
        limit_at : int
            True time in milliseconds.

        Returns
        -------
        set of int
            Numbers of the requests.
        """
        return {
            attempt.request.number
            for attempt in self.attempts
            if 0 < attempt.ended_at < limit_at and is_unknown(attempt.outcome)
        }

    def list_entries(self) -> list[testing.Node]:
        """Return the instances to which a load balancer sends requests."""
        return [
            node
            for node in self.deployment.nodes
            if node.address in self.deployment.network.transports
            and node.instance.is_ready()
        ]

    async def attempt(
        self, node: testing.Node, request: Request
    ) -> base.Outcome | None:
        """Send one attempt of a request and record its outcome.

        Returns None if the caller hangs up before there is an outcome.
        """
        attempt = Attempt(
            name=f"{request.number}/{len(self.attempts)}",
            request=request,
            entry=node.address,
            started_at=base.Clock().now(),
        )
        self.attempts.append(attempt)
        # Requests bypass the HTTP frontend, which counts those in flight.
        node.instance.frontend.in_flight += 1
        limit_ms = DEADLINE_MS + CALLER_GRACE_MS
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
        return outcome.reason in FINAL_UNKNOWN_REASONS
    return isinstance(outcome, base.Answered)


def get_retry_delay_ms(outcome: base.Outcome | None) -> int:
    """Return the delay before a retry, which honours Retry-After."""
    if not isinstance(outcome, base.NotRun):
        return RETRY_DELAY_MS
    if outcome.reason is not base.NotRunReason.OVERLOADED:
        return RETRY_DELAY_MS
    return max(RETRY_DELAY_MS, min(outcome.retry_after_ms or 0, DEADLINE_MS))


def is_unknown(outcome: base.Outcome | None) -> bool:
    """Return whether a caller can't determine if its request ran."""
    return outcome is None or isinstance(outcome, base.Unknown)
