"""Routing of a request from its caller to a backend server."""

import asyncio
import collections
import random

import msgspec

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge import forwarding
from tarragonhinge.gateway import _ahead_gate
from tarragonhinge.gateway import _cold_watch
from tarragonhinge.gateway import _connection_limit
from tarragonhinge.gateway import _crash_guard
from tarragonhinge.gateway import _detour
from tarragonhinge.gateway import _health_checker
from tarragonhinge.gateway import _metrics
from tarragonhinge.gateway import _options
from tarragonhinge.gateway import _path_monitor
from tarragonhinge.gateway import _responses
from tarragonhinge.gateway import _retrier
from tarragonhinge.gateway import _sender
from tarragonhinge.gateway import _shutdown
from tarragonhinge import http1
from tarragonhinge import jobs
from tarragonhinge import limits
from tarragonhinge import memory
from tarragonhinge import quarantine
from tarragonhinge import servers

#: Longest wait of a request for the first routing table of the process,
#: which comes from the coordinator or the store.
FIRST_TABLE_TIMEOUT_MS = 400

#: Message with which requests are cancelled at the end of a stop.
STOP_ENDED = "stop_ended"

#: Retry-After of a refusal by a process without a routing table.
NO_TABLE_RETRY_AFTER_MS = 600


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
        Source of jitter and of random choices; a new one if None.

    Attributes
    ----------
    fleet_size : FleetSize
        Number of instances that share the retry budget.
    leaving : LeavingServers
        Servers that leave.
    links : ServerLinks
        Links to the backend servers.
    owners : OwnerFinder
        Finds the owners of keys.
    eligibility : Eligibility
        Decides which servers may get a request at all.
    server_limits : ServerLimits
        Limits that the servers name.
    permits : Permits
        Permits for requests to these servers.
    cold_watch : ColdWatch
        Recognizes servers that are cold.
    health_checker : HealthChecker
        Asks servers of a zone that is taken back.
    ledger : CrashLedger
        Crashes of servers, and the requests that are refused for them.
    guard : CrashGuard
        Recognizes crashes and refuses these requests.
    directory : PeerDirectory
        The other instances.
    monitor : PathMonitor
        Finds out which servers can be reached.
    metrics : RequestMetrics
        Metrics of the requests.
    memory : MemoryAccount
        Memory of all connections.
    connection_budget : ConnectionBudget
        Bound on the connections to servers and to other instances.
    closed_clients : Counter
        Number of clients whose connections were closed, by reason.
    subsets : NearSubsets
        Servers that this instance uses first.
    shutdown : Shutdown
        Graceful stop of the instance.
    """

    def __init__(
        self,
        *,
        options: _options.InstanceOptions,
        view: catalog.View,
        dialect: jobs.Dialect,
        log: events.EventLog,
        clock: base.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._options = options
        self._view = view
        self._dialect = dialect
        self._log = log
        self._clock = clock
        rng = rng or random.Random()
        self.fleet_size = balancing.FleetSize(clock=clock)
        self.leaving = balancing.LeavingServers(
            view=view, drain_ms=options.drain_ms, log=log, clock=clock
        )
        connection_limit = _connection_limit.compute_server_limit(
            options.max_descriptors
        )
        self.connection_budget = http1.ConnectionBudget(limit=connection_limit)
        self.links = balancing.ServerLinks(
            view=view,
            zone=options.zone,
            zones=dict(options.zones),
            fleet_size=self.fleet_size,
            leaving=self.leaving,
            clock=clock,
            rng=rng,
            budget=self.connection_budget,
        )
        self.eligibility = balancing.Eligibility(
            links=self.links,
            view=view,
            zones=dict(options.zones),
            evacuate_ms=options.evacuate_ms,
            clock=clock,
        )
        self.server_limits = limits.ServerLimits(
            log=log, cold=limits.ColdServers(log=log, clock=clock)
        )
        self.cold_watch = _cold_watch.ColdWatch(
            view=view, links=self.links, cold=self.server_limits.cold
        )
        self.health_checker = _health_checker.HealthChecker(
            dialect=dialect,
            links=self.links,
            cold_watch=self.cold_watch,
            log=log,
            clock=clock,
        )
        self.permits = limits.Permits(
            limits=self.server_limits,
            get_instances=self.fleet_size.get,
            clock=clock,
            get_rank=lambda: self.directory.get_rank(),
        )
        self.ledger = quarantine.CrashLedger(log=log, clock=clock)
        self.metrics = _metrics.RequestMetrics()
        self._resident_memory = memory.ResidentMemory()
        self.memory = memory.MemoryAccount(
            budget_bytes=memory.compute_budget(options.memory_bytes),
            read_resident=self._resident_memory.read_bytes,
        )
        self.closed_clients: collections.Counter[str] = collections.Counter()
        self.directory = forwarding.PeerDirectory(
            own=forwarding.PeerInstance(
                instance=options.instance,
                address=options.forwarding,
                zone=options.zone,
                heeds_regions=True,
            ),
            clock=clock,
        )
        self._forwarding_client = forwarding.ForwardingClient(
            clock=clock, budget=self.connection_budget
        )
        self.monitor = _path_monitor.PathMonitor(
            view=view,
            links=self.links,
            directory=self.directory,
            client=self._forwarding_client,
            log=log,
            clock=clock,
            rng=rng,
            cold_watch=self.cold_watch,
        )
        self.guard = _crash_guard.CrashGuard(
            view=view,
            ledger=self.ledger,
            monitor=self.monitor,
            log=log,
            clock=clock,
        )
        self.ledger.add_crash_handler(self.links.exclude_crashed)
        self._waiter = balancing.ViewWaiter(view=view)
        self.owners = balancing.OwnerFinder(view=view, clock=clock, rng=rng)
        self._placer = balancing.Placer(
            links=self.links,
            owners=self.owners,
            permits=self.permits,
            eligibility=self.eligibility,
            preference=self.guard,
            clock=clock,
            rng=rng,
            instance=options.instance,
        )
        self.subsets = self._placer.subsets
        self.shutdown = _shutdown.Shutdown(
            kill_after_ms=options.stop_ms, clock=clock
        )
        self._ahead_gate = _ahead_gate.AheadGate(
            links=self.links, budget=connection_limit, clock=clock
        )
        self._handlers: set[asyncio.Task] = set()
        self._retrier = _retrier.Retrier(
            options=options,
            placer=self._placer,
            sender=_sender.Sender(
                dialect=dialect,
                links=self.links,
                eligibility=self.eligibility,
                server_limits=self.server_limits,
                guard=self.guard,
                leaving=self.leaving,
                monitor=self.monitor,
                cold_watch=self.cold_watch,
                log=log,
                clock=clock,
            ),
            detour=_detour.Detour(
                dialect=dialect,
                leaving=self.leaving,
                directory=self.directory,
                client=self._forwarding_client,
                reports=self.monitor.reports,
                eligibility=self.eligibility,
                guard=self.guard,
                zones=dict(options.zones),
                metrics=self.metrics,
                clock=clock,
                rng=rng,
            ),
            owners=self.owners,
            guard=self.guard,
            fleet_size=self.fleet_size,
            metrics=self.metrics,
            log=log,
            clock=clock,
        )
        self._splitters: dict[str, balancing.TargetSplitter] = (
            collections.defaultdict(balancing.TargetSplitter)
        )
        self._retry_detectors: dict[str, balancing.RetryDetector] = (
            collections.defaultdict(balancing.RetryDetector)
        )

    @property
    def room_waits(self) -> int:
        """Number of waits of requests for room after a reset."""
        return self._retrier.room_waits

    @property
    def early_resets(self) -> int:
        """Number of new connections reset before a request was written."""
        return self._retrier.early_resets

    @property
    def in_flight(self) -> int:
        """Number of requests without a final response so far."""
        return len(self._handlers)

    def abort_requests(self) -> int:
        """End the requests in flight with a response of this instance.

        Returns
        -------
        int
            Number of requests.
        """
        handlers = list(self._handlers)
        for handler in handlers:
            handler.cancel(STOP_ENDED)
        return len(handlers)

    def close(self) -> None:
        """End the attempts to reach servers, and close idle connections."""
        self.monitor.close()
        self._forwarding_client.close()
        self._resident_memory.close()

    def compute_connection_limit(self, fraction: float) -> int:
        """Return the largest number of connections to a listener.

        Parameters
        ----------
        fraction : float
            Part of the descriptors for sockets.
        """
        return _connection_limit.compute_limit(
            max_descriptors=self._options.max_descriptors,
            budget_bytes=self.memory.budget_bytes,
            fraction=fraction,
        )

    def refuse_for_memory(self, retry_after_ms: int) -> http1.HttpResponse:
        """Return the response to a request for which there is no memory."""
        refused = jobs.Refused.for_full_memory(retry_after_ms)
        self.metrics.record(
            outcome="refused", reason=refused.reason, elapsed_ms=0
        )
        return _responses.make_response(refused)

    def record_closed_client(
        self, reason: str, peer: str, holding: memory.Holding | None = None
    ) -> None:
        """Record that a client's connection is closed.

        Parameters
        ----------
        reason : str
            ``memory`` or ``descriptors``.
        peer : str
            Address of the client.
        holding : Holding or None
            What it held.
        """
        self.closed_clients[reason] += 1
        if holding is None:
            self._log.write(events.ClientClosed(peer=peer, reason=reason))
            return
        self._log.write(
            events.ClientClosed(
                peer=peer,
                reason=reason,
                held_bytes=holding.held_bytes,
                moved_bytes=holding.moved_bytes,
                window_ms=round(holding.window_ms),
            )
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
        response, _ = await self.handle_forwarded(request, None)
        return response

    async def handle_forwarded(
        self,
        request: http1.HttpRequest,
        call: forwarding.ForwardedRequest | None,
    ) -> tuple[http1.HttpResponse, forwarding.ForwardedOutcome]:
        """Return the final response, and its outcome for another instance.

        Parameters
        ----------
        request : HttpRequest
            The caller's request.
        call : ForwardedRequest or None
            Call by which another instance has forwarded it.
        """
        metadata = self._dialect.read_request(dict(request.fields))
        trace = events.Trace(log=self._log, clock=self._clock)
        # A variable with the task would close a cycle by way of the traceback
        # of its cancellation, which would hold the request.
        self._handlers.add(asyncio.current_task())
        try:
            response, ended, is_ordinary, outcome = await self._serve(
                request, metadata, trace, call
            )
        except asyncio.CancelledError as error:
            cause = error.args[0] if error.args else ""
            outcome = "cut_off"
            if cause == http1.DISCONNECTED:
                outcome = "caller_left"
            ended = self._make_ended(trace, metadata, outcome, reason=cause)
            self._record_end(trace, ended, call)
            raise
        except Exception as error:
            self._log.write(
                events.TaskFailed(task="request", problem=repr(error))
            )
            ended = self._make_ended(trace, metadata, "failed", status=502)
            self._record_end(trace, ended, call)
            refused = jobs.Refused(status=502, reason="internal")
            return _responses.make_response(
                refused
            ), _responses.describe_outcome(refused, None)
        finally:
            self._handlers.discard(asyncio.current_task())
        self._record_end(trace, ended, call, is_ordinary=is_ordinary)
        return response, outcome

    @staticmethod
    def _make_ended(
        trace: events.Trace,
        metadata: jobs.RequestMetadata,
        outcome: str,
        *,
        status: int = 0,
        reason: str = "",
    ) -> events.Ended:
        return events.Ended(
            request=metadata.attempt,
            outcome=outcome,
            status=status,
            reason=reason,
            elapsed_ms=trace.compute_elapsed_ms(),
        )

    def _record_end(
        self,
        trace: events.Trace,
        ended: events.Ended,
        call: forwarding.ForwardedRequest | None,
        *,
        is_ordinary: bool = False,
    ) -> None:
        """Count a request, at the instance of its caller or here."""
        trace.add(ended)
        if call is not None:
            self.metrics.record_taken_over(call.origin, ended.outcome)
        else:
            self.metrics.record(
                outcome=ended.outcome,
                reason=ended.reason,
                elapsed_ms=ended.elapsed_ms,
            )
        trace.finish(is_ordinary=is_ordinary)

    async def _serve(
        self,
        request: http1.HttpRequest,
        metadata: jobs.RequestMetadata,
        trace: events.Trace,
        call: forwarding.ForwardedRequest | None,
    ) -> tuple[
        http1.HttpResponse, events.Ended, bool, forwarding.ForwardedOutcome
    ]:
        job: jobs.Job | None = None
        try:
            if call is not None:
                job = self._make_forwarded_job(request, metadata, call, trace)
            else:
                await self._wait_for_first_table()
                route = self._match(request)
                if route is None:
                    refused = self._reject_unrouted()
                    return self._finish(trace, metadata, refused)
                job = self._make_job(request, metadata, route, trace)
            if self._admits(job):
                if not job.is_forwarded:
                    self._record_key(job)
                async with self._ahead_gate.enter(job):
                    result = await self._retrier.run(job)
            else:
                result = jobs.Refused.for_stopping_instance()
        except asyncio.CancelledError as error:
            if STOP_ENDED not in error.args:
                raise
            asyncio.current_task().uncancel()
            result = await self._end_job(job)
        finally:
            if job is not None:
                await self._close_job(job)
        return self._finish(trace, metadata, result, job=job)

    def _record_key(self, job: jobs.Job) -> None:
        ratio = self.links.get_work_ratio(job.service.name, job.route.name)
        self.owners.record_key(job, work_ratio=ratio)

    def _admits(self, job: jobs.Job) -> bool:
        """Return whether a stop leaves enough time for a request.

        One that another instance has forwarded can go by way of a third one.
        """
        if job.is_forwarded and self.shutdown.has_begun:
            return False
        return self.shutdown.admits(job.deadline_at)

    async def _end_job(
        self, job: jobs.Job | None
    ) -> http1.HttpResponse | jobs.Refused:
        """Return the response to a request that the end of a stop cancels."""
        if job is None:
            return jobs.Refused.for_ended_stop(is_sent=False)
        if job.attempts:
            # They are cancelled, unless a response has just arrived.
            await asyncio.wait(job.attempts)
        if job.answer is not None:
            return job.answer
        return jobs.Refused.for_ended_stop(is_sent=job.may_have_run)

    async def _close_job(self, job: jobs.Job) -> None:
        """Drop a request once its cancelled attempts have ended.

        The end of a stop does not cancel a response that is ready.
        """
        try:
            if job.attempts:
                await asyncio.wait(job.attempts)
        except asyncio.CancelledError as error:
            if STOP_ENDED not in error.args:
                raise
            asyncio.current_task().uncancel()
        finally:
            self.guard.close(job)

    async def _wait_for_first_table(self) -> None:
        """Wait until a process that has just started has a routing table."""
        ends_at = self._clock.now() + FIRST_TABLE_TIMEOUT_MS
        while self._view.table is None:
            left_ms = ends_at - self._clock.now()
            if left_ms <= 0:
                return
            await self._waiter.wait(timeout_ms=left_ms)

    def _reject_unrouted(self) -> jobs.Refused:
        if self._view.table is None:
            return jobs.Refused(
                status=503,
                reason="no_table",
                retry_after_ms=NO_TABLE_RETRY_AFTER_MS,
            )
        return jobs.Refused(status=404, reason="no_route")

    def _make_job(
        self,
        request: http1.HttpRequest,
        metadata: jobs.RequestMetadata,
        route: catalog.Route,
        trace: events.Trace,
    ) -> jobs.Job:
        """Choose the target service and set the deadline of a request."""
        name = self._splitters[route.name].pick(route.targets)
        service = self._view.table.find_service(name)
        if service is None:
            service = catalog.Service(name=name, max_connections=1)
        began_at = self._clock.now() - trace.compute_elapsed_ms()
        deadline_ms = route.timeout_ms
        if metadata.deadline_ms is not None:
            deadline_ms = metadata.deadline_ms
        detector = self._retry_detectors[route.name]
        is_retry = detector.is_retry(deadline_ms)
        elapsed_ms = detector.compute_elapsed_ms(deadline_ms)
        job = jobs.Job(
            request=request,
            metadata=metadata,
            route=route,
            service=service,
            deadline_at=began_at + min(deadline_ms, route.timeout_ms),
            is_caller_retry=is_retry,
            first_at=began_at - (elapsed_ms if is_retry else 0),
            trace=trace,
        )
        self._trace_received(job, deadline_ms)
        return job

    def _make_forwarded_job(
        self,
        request: http1.HttpRequest,
        metadata: jobs.RequestMetadata,
        call: forwarding.ForwardedRequest,
        trace: events.Trace,
    ) -> jobs.Job:
        """Take over what the forwarding instance has decided."""
        job = jobs.Job(
            request=request,
            metadata=metadata,
            route=call.route,
            service=call.service,
            deadline_at=trace.started_at + call.deadline_ms,
            is_caller_retry=call.is_caller_retry,
            trace=trace,
            is_forwarded=True,
        )
        self._trace_received(job, call.deadline_ms, origin=call.origin)
        return job

    def _trace_received(
        self,
        job: jobs.Job,
        deadline_ms: int,
        *,
        origin: base.InstanceId | msgspec.UnsetType = msgspec.UNSET,
    ) -> None:
        table = self._view.table
        job.trace.add(
            events.Received(
                request=job.metadata.attempt,
                method=job.request.method,
                path=job.request.target,
                route=job.route.name,
                service=job.service.name,
                deadline_ms=deadline_ms,
                key=job.key,
                table_version=table.version if table else 0,
                origin=origin,
            )
        )

    def _finish(
        self,
        trace: events.Trace,
        metadata: jobs.RequestMetadata,
        result: http1.HttpResponse | jobs.Refused,
        job: jobs.Job | None = None,
    ) -> tuple[
        http1.HttpResponse, events.Ended, bool, forwarding.ForwardedOutcome
    ]:
        """Return the response, its event, and whether it is ordinary.

        The trace of an ordinary request is not written to the log. The last
        value describes the outcome to another instance.
        """
        outcome = _responses.describe_outcome(result, job)
        elapsed_ms = trace.compute_elapsed_ms()
        if isinstance(result, jobs.Refused):
            ended = events.Ended(
                request=metadata.attempt,
                outcome="refused" if result.is_not_run else "failed",
                status=result.status,
                reason=result.reason,
                elapsed_ms=elapsed_ms,
                retry_after_ms=result.retry_after_ms,
            )
            is_ordinary = result.status == 404
            return (
                _responses.make_response(result),
                ended,
                is_ordinary,
                outcome,
            )
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
        return response, ended, is_ordinary, outcome


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
