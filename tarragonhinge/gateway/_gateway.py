"""Routing of a request from its caller to a backend server."""

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
from tarragonhinge.gateway import _retry_budget
from tarragonhinge.gateway import _sender
from tarragonhinge.gateway import _shutdown
from tarragonhinge.gateway import _splitter
from tarragonhinge.gateway import _view_waiter
from tarragonhinge import http1
from tarragonhinge import servers

#: An idempotent request is sent to another server after the larger of these
#: multiples of its expected latency and of its latency objective has passed
#: without a response.
FAILOVER_LATENCY_FACTOR = 4.0
FAILOVER_OBJECTIVE_FACTOR = 1.6

#: Number of servers that may refuse a request before the caller gets a
#: refusal.
MAX_REFUSING_SERVERS = 3

#: Longest wait of a request for the first routing table of the process,
#: which comes from the coordinator or the store.
FIRST_TABLE_TIMEOUT_MS = 400

#: Retry-After of a refusal by a process without a routing table.
NO_TABLE_RETRY_AFTER_MS = 600

#: Maximum number of times that a request is sent, including refused sends, as
#: a multiple of the attempts that its route allows.
MAX_SENDS_PER_ATTEMPT = 2

_NotRunCause = _outcomes.NotRunCause


class _ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a response that the instance generates itself."""

    error: str
    ran: str
    remedy: str


class Gateway:
    """Routes the requests of callers to backend servers.

    Parameters
    ----------
    options : InstanceOptions
        Settings of the instance.
    view : View
        Routes, servers and owners of keys.
    dialect : Dialect
        Codec for the header fields of the platform.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    rng : random.Random or None
        Source of jitter for the delays before retries; a new one if None.

    Attributes
    ----------
    fleet_size : FleetSize
        Number of instances that share the retry budget.
    links : ServerLinks
        Links to the backend servers.
    owners : OwnerFinder
        Finds the owners of keys.
    metrics : RequestMetrics
        Metrics of the requests.
    shutdown : Shutdown
        Graceful stop of the instance.
    in_flight : int
        Number of requests without a final response so far.
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
        self.shutdown = _shutdown.Shutdown(
            kill_after_ms=options.stop_ms, clock=clock
        )
        self.in_flight = 0
        self._sender = _sender.Sender(
            dialect=dialect, links=self.links, clock=clock
        )
        self._retry_budgets: dict[
            base.ServiceName, _retry_budget.RetryBudget
        ] = {}
        self._splitters: dict[str, _splitter.TargetSplitter] = (
            collections.defaultdict(_splitter.TargetSplitter)
        )
        self._retry_detectors: dict[str, _admission.RetryDetector] = (
            collections.defaultdict(_admission.RetryDetector)
        )

    def is_concurrent(self, request: http1.HttpRequest) -> bool:
        """Return whether a request may run concurrently with earlier ones.

        This concerns requests on the same connection of a caller.
        """
        route = self._match(request)
        if route is None:
            return True
        return route.kind is catalog.RequestKind.IDEMPOTENT

    def get_limits(self) -> catalog.CallerLimits:
        """Return the limits on callers' connections in force."""
        if self._view.table is None:
            return catalog.CallerLimits()
        return self._view.table.limits

    def _match(self, request: http1.HttpRequest) -> catalog.Route | None:
        if self._view.table is None:
            return None
        host, path = _split_target(request)
        return self._view.table.match(host=host, path=path)

    async def handle(self, request: http1.HttpRequest) -> http1.HttpResponse:
        """Return the final response to a caller's request."""
        metadata = self._dialect.read_request(dict(request.fields))
        trace = events.Trace(log=self._log, clock=self._clock)
        self.in_flight += 1
        try:
            response, ended, is_ordinary = await self._serve(
                request, metadata, trace
            )
        except asyncio.CancelledError as error:
            cause = error.args[0] if error.args else ""
            outcome = "cut_off"
            if cause == http1.DISCONNECTED:
                outcome = "caller_left"
            self._record_end(trace, metadata, outcome, reason=cause)
            raise
        except Exception as error:
            self._log.write(
                events.TaskFailed(task="request", problem=repr(error))
            )
            self._record_end(trace, metadata, "failed", status=502)
            refused = _refusals.Refused(status=502, reason="internal")
            return _make_response(refused)
        finally:
            self.in_flight -= 1
        trace.add(ended)
        self.metrics.record(
            outcome=ended.outcome,
            reason=ended.reason,
            elapsed_ms=ended.elapsed_ms,
        )
        trace.finish(is_ordinary=is_ordinary)
        return response

    def _record_end(
        self,
        trace: events.Trace,
        metadata: _dialect.RequestMetadata,
        outcome: str,
        *,
        status: int = 0,
        reason: str = "",
    ) -> None:
        elapsed_ms = trace.compute_elapsed_ms()
        trace.add(
            events.Ended(
                request=metadata.attempt,
                outcome=outcome,
                status=status,
                reason=reason,
                elapsed_ms=elapsed_ms,
            )
        )
        self.metrics.record(
            outcome=outcome, reason=reason, elapsed_ms=elapsed_ms
        )
        trace.finish(is_ordinary=False)

    async def _serve(
        self,
        request: http1.HttpRequest,
        metadata: _dialect.RequestMetadata,
        trace: events.Trace,
    ) -> tuple[http1.HttpResponse, events.Ended, bool]:
        await self._wait_for_first_table()
        route = self._match(request)
        if route is None:
            return self._finish(trace, metadata, self._reject_unrouted())
        job = self._make_job(request, metadata, route, trace)
        if not self.shutdown.admits(job.deadline_at):
            refused = _refusals.Refused.for_stopping_instance()
            return self._finish(trace, metadata, refused, job=job)
        self._get_retry_budget(job).record_request()
        self.owners.record_key(job)
        result = await self._try_servers(job)
        return self._finish(trace, metadata, result, job=job)

    async def _wait_for_first_table(self) -> None:
        """Wait until a process that has just started has a routing table."""
        ends_at = self._clock.now() + FIRST_TABLE_TIMEOUT_MS
        while self._view.table is None:
            left_ms = ends_at - self._clock.now()
            if left_ms <= 0:
                return
            await self._waiter.wait(timeout_ms=left_ms)

    def _reject_unrouted(self) -> _refusals.Refused:
        if self._view.table is None:
            return _refusals.Refused(
                status=503,
                reason="no_table",
                retry_after_ms=NO_TABLE_RETRY_AFTER_MS,
            )
        return _refusals.Refused(status=404, reason="no_route")

    def _make_job(
        self,
        request: http1.HttpRequest,
        metadata: _dialect.RequestMetadata,
        route: catalog.Route,
        trace: events.Trace,
    ) -> _job.Job:
        """Choose the target service and set the deadline of a request."""
        name = self._splitters[route.name].pick(route.targets)
        service = self._view.table.find_service(name)
        if service is None:
            service = catalog.Service(name=name, max_connections=1)
        began_at = self._clock.now() - trace.compute_elapsed_ms()
        deadline_ms = route.timeout_ms
        if metadata.deadline_ms is not None:
            deadline_ms = metadata.deadline_ms
        job = _job.Job(
            request=request,
            metadata=metadata,
            route=route,
            service=service,
            deadline_at=began_at + min(deadline_ms, route.timeout_ms),
            is_caller_retry=self._retry_detectors[route.name].is_retry(
                deadline_ms
            ),
            trace=trace,
        )
        trace.add(
            events.Received(
                request=metadata.attempt,
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

    def _get_retry_budget(self, job: _job.Job) -> _retry_budget.RetryBudget:
        name = job.service.name
        if name not in self._retry_budgets:
            self._retry_budgets[name] = _retry_budget.RetryBudget(
                ratio=self._options.retry_ratio,
                slack=self._options.retry_slack,
                window_ms=self._options.retry_window_ms,
                clock=self._clock,
            )
        return self._retry_budgets[name]

    async def _try_servers(
        self, job: _job.Job
    ) -> http1.HttpResponse | _refusals.Refused:
        """Send the request to servers until there is a final response."""
        failure: _outcomes.AttemptOutcome | None = None
        while True:
            placement = await self._placer.place(job)
            if isinstance(placement, _refusals.Refused):
                return _refusals.make_final_response(job, failure, placement)
            if job.sent_count and not self._take_retry(job):
                return _refusals.make_final_response(
                    job, failure, _refusals.Refused.for_exhausted_budget()
                )
            link = placement.link
            began_at = self._clock.now()
            outcome = await self._sender.send(
                job, link, failover=self._make_failover_policy(job, placement)
            )
            self._record_owner_outcome(job, placement, outcome)
            if isinstance(outcome, _outcomes.Answered) and not outcome.failed:
                return outcome.response
            failure = outcome
            will_retry = self._may_retry(job, outcome)
            self._record_failed_attempt(
                job, link, outcome, began_at, will_retry
            )
            if not will_retry:
                return _refusals.make_final_response(job, outcome, None)

    def _take_retry(self, job: _job.Job) -> bool:
        """Charge the retry budget, unless the retry is already paid."""
        if job.is_retry_paid:
            job.is_retry_paid = False
            return True
        return self._get_retry_budget(job).take(
            instances=self.fleet_size.get()
        )

    def _make_failover_policy(
        self, job: _job.Job, placement: _placer.Placement
    ) -> _sender.FailoverPolicy:
        """Return the policy for failing a request over to another server."""

        def try_fail_over() -> bool:
            left_ms = job.deadline_at - self._clock.now()
            if (
                left_ms < placement.expected_ms
                or job.sent_count >= job.route.max_attempts
                or not self._placer.has_alternative(job, placement.link)
            ):
                return False
            job.is_retry_paid = self._take_retry(job)
            return job.is_retry_paid

        silence_timeout_ms = float(job.route.timeout_ms)
        # A keyed request has no failover, since only the owner of its key may
        # run it.
        if job.is_idempotent and job.key is None:
            silence_timeout_ms = max(
                FAILOVER_LATENCY_FACTOR * placement.expected_ms,
                FAILOVER_OBJECTIVE_FACTOR * job.route.objective_ms,
            )
        return _sender.FailoverPolicy(
            silence_timeout_ms=silence_timeout_ms, try_fail_over=try_fail_over
        )

    def _may_retry(
        self, job: _job.Job, outcome: _outcomes.AttemptOutcome
    ) -> bool:
        """Return whether another attempt is allowed and may succeed."""
        if self._clock.now() >= job.deadline_at:
            return False
        if isinstance(outcome, _outcomes.NotRun):
            if (
                job.sent_count
                >= MAX_SENDS_PER_ATTEMPT * job.route.max_attempts
            ):
                return False
            if outcome.cause is _NotRunCause.MISDIRECTED:
                return True
            if outcome.cause is _NotRunCause.REPLACED and job.key is not None:
                return True
            # Only the owner of its key may run a keyed request.
            return (
                job.key is None
                and len(job.failed_servers) < MAX_REFUSING_SERVERS
            )
        if not job.is_idempotent:
            return False
        return job.sent_count < job.route.max_attempts

    def _record_owner_outcome(
        self,
        job: _job.Job,
        placement: _placer.Placement,
        outcome: _outcomes.AttemptOutcome,
    ) -> None:
        """Record whether the owner of a key accepts its requests."""
        if placement.segment is None:
            return
        if isinstance(outcome, _outcomes.Answered):
            self.owners.record_answered(placement.segment)
        elif isinstance(outcome, _outcomes.NotRun) and outcome.cause in (
            _NotRunCause.MISDIRECTED,
            _NotRunCause.REPLACED,
        ):
            self.owners.record_misdirected(job, placement.segment)

    def _record_failed_attempt(
        self,
        job: _job.Job,
        link: _links.ServerLink,
        outcome: _outcomes.AttemptOutcome,
        began_at: int,
        will_retry: bool,
    ) -> None:
        server = link.entry.server
        job.failed_servers.add(server)
        if not isinstance(outcome, _outcomes.NotRun):
            job.may_have_run = True
        elif outcome.cause in (_NotRunCause.UNSENT, _NotRunCause.REPLACED):
            self._log.write(
                events.ServerAvoided(
                    server=server,
                    reason=outcome.detail or outcome.cause.value,
                    for_ms=link.load.get_cooldown_ms(),
                )
            )
        name = _refusals.get_outcome_name(outcome)
        self.metrics.record_attempt(name)
        job.trace.add(
            events.Tried(
                request=job.metadata.attempt,
                server=server,
                outcome=name,
                elapsed_ms=self._clock.now() - began_at,
                repeats=will_retry,
            )
        )

    def _finish(
        self,
        trace: events.Trace,
        metadata: _dialect.RequestMetadata,
        result: http1.HttpResponse | _refusals.Refused,
        job: _job.Job | None = None,
    ) -> tuple[http1.HttpResponse, events.Ended, bool]:
        """Return the caller's response, its event and whether it is ordinary.

        The trace of an ordinary request is not written to the log.
        """
        elapsed_ms = trace.compute_elapsed_ms()
        if isinstance(result, _refusals.Refused):
            ended = events.Ended(
                request=metadata.attempt,
                outcome="refused" if result.is_not_run else "failed",
                status=result.status,
                reason=result.reason,
                elapsed_ms=elapsed_ms,
                retry_after_ms=result.retry_after_ms,
            )
            return _make_response(result), ended, result.status == 404
        is_late = job is not None and elapsed_ms > job.route.objective_ms
        is_ordinary = (
            result.status < 500
            and not is_late
            and len(job.failed_servers) == 0
        )
        ended = events.Ended(
            request=metadata.attempt,
            outcome="late" if is_late else "answered",
            status=result.status,
            reason="",
            elapsed_ms=elapsed_ms,
        )
        response = http1.HttpResponse(
            status=result.status,
            fields=servers.drop_hop_by_hop_fields(result.fields),
            body=result.body,
        )
        return response, ended, is_ordinary


def _split_target(request: http1.HttpRequest) -> tuple[str, str]:
    """Return host and path of a request's target.

    The target may be in origin form or in absolute form.
    """
    target = request.target
    host = request.find("host") or ""
    if not target.startswith("/"):
        _, separator, authority_and_path = target.partition("://")
        if separator:
            host, slash, path = authority_and_path.partition("/")
            target = slash + path
    return host, target.partition("?")[0]


def _make_response(refused: _refusals.Refused) -> http1.HttpResponse:
    fields = [("content-type", "application/json")]
    if refused.retry_after_ms:
        seconds = refused.retry_after_ms / base.MS_PER_S
        fields.append(("retry-after", f"{seconds:.3f}"))
    report = _ErrorBody(
        error=refused.reason,
        ran="no" if refused.is_not_run else "unknown",
        remedy=refused.get_remedy(),
    )
    return http1.HttpResponse(
        status=refused.status, fields=fields, body=msgspec.json.encode(report)
    )
