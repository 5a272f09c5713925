"""Path of a request through an instance."""

import asyncio
import collections
import random

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.gateway import _admission
from tarragonhinge.gateway import _dialect
from tarragonhinge.gateway import _fleet_size
from tarragonhinge.gateway import _job
from tarragonhinge.gateway import _links
from tarragonhinge.gateway import _metrics
from tarragonhinge.gateway import _options
from tarragonhinge.gateway import _outcomes
from tarragonhinge.gateway import _owner_finder
from tarragonhinge.gateway import _placer
from tarragonhinge.gateway import _refusals
from tarragonhinge.gateway import _repeats
from tarragonhinge.gateway import _sender
from tarragonhinge.gateway import _splitter
from tarragonhinge.gateway import _view_waiter
from tarragonhinge import http1
from tarragonhinge import servers

#: Silence, in multiples of the expected time and of the objective, after
#: which an idempotent request is sent to another server.
SILENCE_FACTOR = 4.0
SILENCE_OBJECTIVES = 1.6

#: Servers that may refuse a request before it is refused itself.
REFUSED_LIMIT = 3

#: Longest wait for the first routing table of a process: it comes with
#: the first answer of the coordinator or the store.
TABLE_WAIT_MS = 400

#: When to come back to a process that has got none by then.
TABLE_RETRY_MS = 600

#: Sends of a request, refused ones too, in multiples of its attempts.
SENT_FACTOR = 2

_NotRunCause = _outcomes.NotRunCause


class _Report(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an answer of the instance's own."""

    error: str
    ran: str
    remedy: str


class Gateway:
    """Routes, places, sends and answers the requests of callers.

    Parameters
    ----------
    options : InstanceOptions
        Settings.
    view : View
        Routes, servers and owners of keys.
    dialect : Dialect
        Header fields of the platform.
    log : EventLog
        Where events are written.
    clock : Clock
        This process's clock.
    rng : random.Random
        Spreads the times to come back.

    Attributes
    ----------
    fleet_size : FleetSize
        Number of instances that share the budget of repeats.
    """

    def __init__(
        self,
        *,
        options: _options.InstanceOptions,
        view: catalog.View,
        dialect: _dialect.Dialect,
        log: events.EventLog,
        clock: base.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._options = options
        self._view = view
        self._dialect = dialect
        self._log = log
        self._clock = clock
        self.fleet_size = _fleet_size.FleetSize(clock=clock)
        self.links = _links.ServerLinks(
            view=view,
            zone=options.zone,
            zones=dict(options.zones),
            fleet_size=self.fleet_size,
            clock=clock,
        )
        self._waiter = _view_waiter.ViewWaiter(view=view)
        self.owners = _owner_finder.OwnerFinder(view=view, clock=clock)
        self._placer = _placer.Placer(
            links=self.links,
            owners=self.owners,
            clock=clock,
            rng=rng or random.Random(),
        )
        self.metrics = _metrics.RequestMetrics()
        self.in_flight = 0
        self._sender = _sender.Sender(
            dialect=dialect, links=self.links, clock=clock
        )
        self._budgets: dict[base.ServiceName, _repeats.RepeatBudget] = {}
        self._splitters: dict[str, _splitter.TargetSplitter] = (
            collections.defaultdict(_splitter.TargetSplitter)
        )
        self._deadlines: dict[str, _admission.UsualDeadline] = (
            collections.defaultdict(_admission.UsualDeadline)
        )

    def is_concurrent(self, request: http1.HttpRequest) -> bool:
        """Return whether a request may run beside those sent before it."""
        route = self._match(request)
        if route is None:
            return True
        return route.kind is catalog.RequestKind.IDEMPOTENT

    def get_limits(self) -> catalog.CallerLimits:
        """Return the limits on callers in force."""
        if self._view.table is None:
            return catalog.CallerLimits()
        return self._view.table.limits

    def _match(self, request: http1.HttpRequest) -> catalog.Route | None:
        if self._view.table is None:
            return None
        host, path = _split_target(request)
        return self._view.table.match(host=host, path=path)

    async def handle(self, request: http1.HttpRequest) -> http1.HttpResponse:
        """Return the final answer to a request of a caller."""
        facts = self._dialect.read_request(dict(request.fields))
        trace = events.Trace(log=self._log, clock=self._clock)
        self.in_flight += 1
        try:
            answer, end, is_ordinary = await self._serve(request, facts, trace)
        except asyncio.CancelledError:
            self._end(trace, facts, "caller_left", status=0)
            raise
        except Exception as error:
            self._log.write(
                events.TaskFailed(task="request", problem=repr(error))
            )
            self._end(trace, facts, "failed", status=502)
            refused = _refusals.Refused(status=502, reason="internal")
            return _make_answer(refused)
        finally:
            self.in_flight -= 1
        trace.add(end)
        self.metrics.record(
            outcome=end.outcome, reason=end.reason, elapsed_ms=end.elapsed_ms
        )
        trace.finish(is_ordinary=is_ordinary)
        return answer

    def _end(
        self,
        trace: events.Trace,
        facts: _dialect.RequestMetadata,
        outcome: str,
        *,
        status: int,
    ) -> None:
        elapsed_ms = trace.compute_elapsed_ms()
        trace.add(
            events.Ended(
                request=facts.attempt,
                outcome=outcome,
                status=status,
                reason="",
                elapsed_ms=elapsed_ms,
            )
        )
        self.metrics.record(outcome=outcome, reason="", elapsed_ms=elapsed_ms)
        trace.finish(is_ordinary=False)

    async def _serve(
        self,
        request: http1.HttpRequest,
        facts: _dialect.RequestMetadata,
        trace: events.Trace,
    ) -> tuple[http1.HttpResponse, events.Ended, bool]:
        await self._wait_table()
        route = self._match(request)
        if route is None:
            return self._finish(trace, facts, self._reject_unrouted())
        job = self._make_job(request, facts, route, trace)
        self._budget(job).record_request()
        self.owners.record(job)
        result = await self._try_servers(job)
        return self._finish(trace, facts, result, job=job)

    async def _wait_table(self) -> None:
        """Let a process that has just started learn its routes."""
        ends_at = self._clock.now() + TABLE_WAIT_MS
        while self._view.table is None:
            left_ms = ends_at - self._clock.now()
            if left_ms <= 0:
                return
            await self._waiter.wait(timeout_ms=left_ms)

    def _reject_unrouted(self) -> _refusals.Refused:
        if self._view.table is None:
            return _refusals.Refused(
                status=503, reason="no_table", retry_ms=TABLE_RETRY_MS
            )
        return _refusals.Refused(status=404, reason="no_route")

    def _make_job(
        self,
        request: http1.HttpRequest,
        facts: _dialect.RequestMetadata,
        route: catalog.Route,
        trace: events.Trace,
    ) -> _job.Job:
        """Divide by weight, and fix the time of the final answer."""
        name = self._splitters[route.name].pick(route.targets)
        service = self._view.table.find_service(name)
        if service is None:
            service = catalog.Service(name=name, max_connections=1)
        began_at = self._clock.now() - trace.compute_elapsed_ms()
        deadline_ms = route.timeout_ms
        if facts.deadline_ms is not None:
            deadline_ms = facts.deadline_ms
        job = _job.Job(
            request=request,
            facts=facts,
            route=route,
            service=service,
            ends_at=began_at + min(deadline_ms, route.timeout_ms),
            is_return=self._deadlines[route.name].is_return(deadline_ms),
            trace=trace,
        )
        trace.add(
            events.Received(
                request=facts.attempt,
                method=request.method,
                path=request.target,
                route=route.name,
                service=name,
                deadline_ms=deadline_ms,
                key=job.key,
                table_version=self._view.table.version,
            )
        )
        return job

    def _budget(self, job: _job.Job) -> _repeats.RepeatBudget:
        name = job.service.name
        if name not in self._budgets:
            self._budgets[name] = _repeats.RepeatBudget(
                ratio=self._options.retry_ratio,
                slack=self._options.retry_slack,
                window_ms=self._options.retry_window_ms,
                clock=self._clock,
            )
        return self._budgets[name]

    async def _try_servers(
        self, job: _job.Job
    ) -> http1.HttpResponse | _refusals.Refused:
        """Send the request until there is a final answer."""
        failure: _outcomes.AttemptOutcome | None = None
        while True:
            placed = await self._placer.place(job)
            if isinstance(placed, _refusals.Refused):
                return _refusals.conclude(job, failure, placed)
            if job.sent and not self._take_repeat(job):
                return _refusals.conclude(
                    job, failure, _refusals.Refused.after_budget()
                )
            link = placed.link
            began_at = self._clock.now()
            outcome = await self._sender.send(
                job, link, patience=self._make_patience(job, placed)
            )
            self._note_owner(job, placed, outcome)
            if isinstance(outcome, _outcomes.Whole) and not outcome.failed:
                return outcome.answer
            failure = outcome
            repeats = self._may_repeat(job, outcome)
            self._note_failure(job, link, outcome, began_at, repeats)
            if not repeats:
                return _refusals.conclude(job, outcome, None)

    def _take_repeat(self, job: _job.Job) -> bool:
        """Pay for a repeat from the budget, unless that was done."""
        if job.is_repeat_paid:
            job.is_repeat_paid = False
            return True
        return self._budget(job).take(instances=self.fleet_size.get())

    def _make_patience(
        self, job: _job.Job, placed: _placer.Placed
    ) -> _sender.Patience:
        """Return when to send a request to another server."""

        def may_give_up() -> bool:
            left_ms = job.ends_at - self._clock.now()
            if (
                left_ms < placed.expected_ms
                or job.sent >= job.route.max_attempts
                or not self._placer.has_other(job, placed.link)
            ):
                return False
            job.is_repeat_paid = self._take_repeat(job)
            return job.is_repeat_paid

        silence_ms = float(job.route.timeout_ms)
        # Only its owner can answer for a key, so waiting on is best.
        if job.is_idempotent and job.key is None:
            silence_ms = max(
                SILENCE_FACTOR * placed.expected_ms,
                SILENCE_OBJECTIVES * job.route.objective_ms,
            )
        return _sender.Patience(silence_ms=silence_ms, may_give_up=may_give_up)

    def _may_repeat(
        self, job: _job.Job, outcome: _outcomes.AttemptOutcome
    ) -> bool:
        """Return whether another attempt is allowed and can help."""
        if self._clock.now() >= job.ends_at:
            return False
        if isinstance(outcome, _outcomes.NotRun):
            if job.sent >= SENT_FACTOR * job.route.max_attempts:
                return False
            if outcome.cause is _NotRunCause.MISDIRECTED:
                return True
            if outcome.cause is _NotRunCause.REPLACED and job.key is not None:
                return True
            # Only its owner may run a keyed request.
            return job.key is None and len(job.tried) < REFUSED_LIMIT
        if not job.is_idempotent:
            return False
        return job.sent < job.route.max_attempts

    def _note_owner(
        self,
        job: _job.Job,
        placed: _placer.Placed,
        outcome: _outcomes.AttemptOutcome,
    ) -> None:
        """Learn whether the holder of a key takes its requests."""
        if placed.segment is None:
            return
        if isinstance(outcome, _outcomes.Whole):
            self.owners.note_answered(placed.segment)
        elif isinstance(outcome, _outcomes.NotRun) and outcome.cause in (
            _NotRunCause.MISDIRECTED,
            _NotRunCause.REPLACED,
        ):
            self.owners.note_misdirected(job, placed.segment)

    def _note_failure(
        self,
        job: _job.Job,
        link: _links.ServerLink,
        outcome: _outcomes.AttemptOutcome,
        began_at: int,
        repeats: bool,
    ) -> None:
        server = link.entry.server
        job.tried.add(server)
        if not isinstance(outcome, _outcomes.NotRun):
            job.may_have_run = True
        elif outcome.cause in (_NotRunCause.UNSENT, _NotRunCause.REPLACED):
            self._log.write(
                events.ServerAvoided(
                    server=server,
                    reason=outcome.detail or outcome.cause.value,
                    for_ms=link.load.get_pause_ms(),
                )
            )
        name = _refusals.describe(outcome)
        self.metrics.record_attempt(name)
        job.trace.add(
            events.Tried(
                request=job.facts.attempt,
                server=server,
                outcome=name,
                elapsed_ms=self._clock.now() - began_at,
                repeats=repeats,
            )
        )

    def _finish(
        self,
        trace: events.Trace,
        facts: _dialect.RequestMetadata,
        result: http1.HttpResponse | _refusals.Refused,
        job: _job.Job | None = None,
    ) -> tuple[http1.HttpResponse, events.Ended, bool]:
        """Return the caller's answer and the event that tells of it."""
        elapsed_ms = trace.compute_elapsed_ms()
        if isinstance(result, _refusals.Refused):
            end = events.Ended(
                request=facts.attempt,
                outcome="refused" if result.is_not_run else "failed",
                status=result.status,
                reason=result.reason,
                elapsed_ms=elapsed_ms,
                retry_after_ms=result.retry_ms,
            )
            return _make_answer(result), end, result.status == 404
        is_late = job is not None and elapsed_ms > job.route.objective_ms
        is_fine = result.status < 500 and not is_late and len(job.tried) == 0
        end = events.Ended(
            request=facts.attempt,
            outcome="late" if is_late else "answered",
            status=result.status,
            reason="",
            elapsed_ms=elapsed_ms,
        )
        answer = http1.HttpResponse(
            status=result.status,
            fields=servers.drop_hop_by_hop_fields(result.fields),
            body=result.body,
        )
        return answer, end, is_fine


def _split_target(request: http1.HttpRequest) -> tuple[str, str]:
    """Return host and path, also of a target in absolute form."""
    target = request.target
    host = request.find("host") or ""
    if not target.startswith("/"):
        _, separator, rest = target.partition("://")
        if separator:
            host, slash, path = rest.partition("/")
            target = slash + path
    return host, target.partition("?")[0]


def _make_answer(refused: _refusals.Refused) -> http1.HttpResponse:
    fields = [("content-type", "application/json")]
    if refused.retry_ms:
        seconds = refused.retry_ms / base.MS_PER_S
        fields.append(("retry-after", f"{seconds:.3f}"))
    report = _Report(
        error=refused.reason,
        ran="no" if refused.is_not_run else "unknown",
        remedy=refused.get_remedy(),
    )
    return http1.HttpResponse(
        status=refused.status, fields=fields, body=msgspec.json.encode(report)
    )
