"""Sends a request to one server and classifies what comes back."""

import asyncio
from collections.abc import Callable
import dataclasses

from tarragonhinge import base
from tarragonhinge.gateway import _dialect
from tarragonhinge.gateway import _job
from tarragonhinge.gateway import _links
from tarragonhinge.gateway import _outcomes
from tarragonhinge import http1
from tarragonhinge import servers

#: Statuses that promise a caller that its request has not run.
PROMISES = frozenset({408, 421, 429, 503})

#: Least time that is worth sending a request for.
LEAST_LEFT_MS = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Patience:
    """When a request is given up at one server for another.

    Parameters
    ----------
    silence_ms : float
        Time without an answer.
    may_give_up : callable
        Called then; whether it is sent to another server.  If not, the
        answer is waited for to the end.
    """

    silence_ms: float
    may_give_up: Callable[[], bool]


class Sender:
    """Sends requests and learns from the answers.

    Parameters
    ----------
    dialect : Dialect
        Header fields of the platform.
    links : ServerLinks
        Which servers take work.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        dialect: _dialect.Dialect,
        links: _links.ServerLinks,
        clock: base.Clock,
    ) -> None:
        self._dialect = dialect
        self._links = links
        self._clock = clock

    async def send(
        self, job: _job.Job, link: _links.ServerLink, *, patience: Patience
    ) -> _outcomes.AttemptOutcome:
        """Send a request once.

        The connection is closed if the caller leaves meanwhile, so that
        the server drops the work.

        Parameters
        ----------
        job : Job
            The request.
        link : ServerLink
            The server.
        patience : Patience
            When to send the request elsewhere.
        """
        link.load.in_flight += 1
        sent_at = self._clock.now()
        try:
            result = await self._exchange(job, link, patience)
        finally:
            link.load.in_flight -= 1
        if isinstance(result, http1.HttpResponse):
            return self._classify(job, link, result, sent_at)
        return result

    async def _exchange(
        self, job: _job.Job, link: _links.ServerLink, patience: Patience
    ) -> http1.HttpResponse | _outcomes.NotRun | _outcomes.Lost:
        """Return the answer, or why there is none."""
        try:
            connection = await link.pool.acquire(fresh=not job.is_idempotent)
        except http1.ExchangeError as error:
            link.load.record_unreachable()
            return _make_unsent(error.problem)
        left_ms = job.ends_at - self._clock.now()
        if left_ms < LEAST_LEFT_MS:
            link.pool.release(connection)
            return _make_unsent("no time left")
        if not self._links.takes_work(link, keyed=job.key is not None):
            # It began to leave while the connection was opened.
            link.pool.release(connection)
            return _make_unsent("the server leaves")
        job.sent += 1
        keeps = False
        exchange = asyncio.create_task(
            connection.exchange(
                self._make_request(job, link, left_ms),
                recognize=lambda fields: self._is_own(job, fields),
            )
        )
        try:
            cause = await self._wait(exchange, left_ms, patience)
            if cause is not None:
                link.load.record_silence()
                return _outcomes.Lost(cause=cause)
            answer = exchange.result()
            keeps = not answer.closes
            return answer
        except http1.ExchangeError as error:
            link.load.record_silence()
            return _outcomes.Lost(
                cause=_outcomes.LostCause.BROKEN, detail=error.problem
            )
        finally:
            exchange.cancel()
            if keeps:
                link.pool.release(connection)
            else:
                link.pool.discard(connection)

    async def _wait(
        self, exchange: asyncio.Task, left_ms: int, patience: Patience
    ) -> _outcomes.LostCause | None:
        """Return None once an exchange has ended, or why it is given up."""
        if patience.silence_ms < left_ms:
            await asyncio.wait(
                [exchange], timeout=patience.silence_ms / base.MS_PER_S
            )
            if not exchange.done() and patience.may_give_up():
                return _outcomes.LostCause.SILENT
            left_ms -= patience.silence_ms
        await asyncio.wait([exchange], timeout=left_ms / base.MS_PER_S)
        return None if exchange.done() else _outcomes.LostCause.TIMEOUT

    def _is_own(self, job: _job.Job, fields: http1.FieldList) -> bool:
        """Return whether an answer may belong to a request."""
        attempt = self._dialect.read_answer(dict(fields)).attempt
        return attempt in ("", job.facts.attempt)

    def _make_request(
        self, job: _job.Job, link: _links.ServerLink, left_ms: int
    ) -> http1.HttpRequest:
        fields = servers.drop_hop_by_hop_fields(job.request.fields)
        kept = [(n, v) for n, v in fields if not self._dialect.is_replaced(n)]
        return http1.HttpRequest(
            method=job.request.method,
            target=job.request.target,
            fields=[
                ("host", job.request.find("host") or job.route.host),
                *kept,
                *self._dialect.make_fields(
                    deadline_ms=left_ms, server=link.entry.server
                ),
            ],
            body=job.request.body,
        )

    def _classify(
        self,
        job: _job.Job,
        link: _links.ServerLink,
        answer: http1.HttpResponse,
        sent_at: int,
    ) -> _outcomes.AttemptOutcome:
        facts = self._dialect.read_answer(dict(answer.fields))
        if facts.not_run or answer.status == 421:
            if facts.server not in (None, link.entry.server):
                cause = _outcomes.NotRunCause.REPLACED
                link.load.record_unreachable()
            elif answer.status == 421:
                cause = _outcomes.NotRunCause.MISDIRECTED
            else:
                cause = _outcomes.NotRunCause.SHED
                link.load.record_shed(facts.load)
            return _outcomes.NotRun(cause=cause)
        failed = answer.status >= 500 or answer.status in PROMISES
        is_valid = facts.sealed and facts.attempt == job.facts.attempt
        if not is_valid and not failed:
            link.load.record_silence()
            return _outcomes.Lost(cause=_outcomes.LostCause.GARBLED)
        elapsed_ms = self._clock.now() - sent_at
        link.load.record_answer(
            latency_ms=max(1.0, elapsed_ms - link.get_travel_ms()),
            load=facts.load,
            failed=failed,
        )
        return _outcomes.Whole(answer=answer, failed=failed)


def _make_unsent(detail: str) -> _outcomes.NotRun:
    return _outcomes.NotRun(cause=_outcomes.NotRunCause.UNSENT, detail=detail)
