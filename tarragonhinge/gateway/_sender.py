"""Sends a request to one server and classifies the outcome."""

import asyncio

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge.gateway import _cold_watch
from tarragonhinge.gateway import _crash_guard
from tarragonhinge.gateway import _path_monitor
from tarragonhinge import http1
from tarragonhinge import jobs
from tarragonhinge import limits
from tarragonhinge import servers

#: Minimum time left before the deadline for a request to be sent.
MIN_TIME_LEFT_MS = 5

#: Time without a response, as a multiple of its estimate, after which a new
#: connection finds out whether the server can still be reached; and its
#: bounds.
SILENCE_LATENCY_FACTOR = 2.5
MIN_SILENCE_MS = 500
MAX_SILENCE_MS = 800

#: Multiple of the service time that replaces the upper bound if it is larger,
#: as on slow servers, where each request would open another connection.
SLOW_SERVICE_FACTOR = 1.5


class Sender:
    """Sends requests and updates the load estimates from the responses.

    Parameters
    ----------
    dialect : Dialect
        Codec for the header fields of the platform.
    links : ServerLinks
        Links to the servers.
    eligibility : Eligibility
        Decides which servers may get a request at all.
    server_limits : ServerLimits
        Limits that the servers name, which learns from the responses.
    guard : CrashGuard
        Recognizes crashes of servers.
    leaving : LeavingServers
        Servers that say that they leave, which learns from the responses.
    monitor : PathMonitor
        Observes whether the servers can be reached.
    cold_watch : ColdWatch
        Recognizes servers that have started again.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    accept_resets : AcceptResets
        Services whose servers reset new connections.
    """

    def __init__(
        self,
        *,
        dialect: jobs.Dialect,
        links: balancing.ServerLinks,
        eligibility: balancing.Eligibility,
        server_limits: limits.ServerLimits,
        guard: _crash_guard.CrashGuard,
        leaving: balancing.LeavingServers,
        monitor: _path_monitor.PathMonitor,
        cold_watch: _cold_watch.ColdWatch,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._dialect = dialect
        self._links = links
        self._eligibility = eligibility
        self._server_limits = server_limits
        self._guard = guard
        self._leaving = leaving
        self._monitor = monitor
        self._cold_watch = cold_watch
        self._log = log
        self._clock = clock
        self.accept_resets = balancing.AcceptResets(clock=clock)

    def send(
        self,
        job: jobs.Job,
        link: balancing.ServerLink,
        sent: asyncio.Future[None],
    ) -> asyncio.Task[jobs.AttemptOutcome]:
        """Send a request once, and return the task that awaits the response.

        If the task is cancelled, the connection to the server is closed, so
        that the server cancels the request.

        Parameters
        ----------
        job : Job
            The request.
        link : ServerLink
            Link to the server.
        sent : Future
            Gets its result when the request is sent on an open connection.
        """
        slot = _Slot(load=link.load)
        flight = self._guard.begin(job, link)
        attempt = asyncio.create_task(
            self._run_attempt(job, link, slot, flight, sent)
        )
        # A task that is cancelled before it starts does not release its slot.
        attempt.add_done_callback(lambda _: slot.release())
        attempt.add_done_callback(lambda _: self._guard.end(flight))
        job.attempts.add(attempt)
        attempt.add_done_callback(job.attempts.discard)
        return attempt

    async def _run_attempt(
        self,
        job: jobs.Job,
        link: balancing.ServerLink,
        slot: "_Slot",
        flight: _crash_guard.Flight,
        sent: asyncio.Future[None],
    ) -> jobs.AttemptOutcome:
        sent_at = self._clock.now()
        body_bytes = len(job.request.body)
        if not link.pool.reserve_body(body_bytes):
            return _make_unsent("the server holds too many bytes")
        try:
            result = await self._exchange(job, link, flight, sent)
        finally:
            link.pool.release_body(body_bytes)
        slot.release()
        if isinstance(result, jobs.OutcomeUnknown):
            job.may_have_run = True
        if not isinstance(result, http1.HttpResponse):
            return result
        outcome = self._classify(job, link, result, sent_at)
        if isinstance(outcome, jobs.Answered) and not outcome.failed:
            job.answer = outcome.response
            job.answered_by = link.incarnation
            self._guard.record_answer(job, link)
        return outcome

    async def _exchange(
        self,
        job: jobs.Job,
        link: balancing.ServerLink,
        flight: _crash_guard.Flight,
        sent: asyncio.Future[None],
    ) -> http1.HttpResponse | jobs.NotRun | jobs.OutcomeUnknown:
        """Return the response, or the reason why there is none."""
        connection = await self._connect(job, link)
        if isinstance(connection, jobs.NotRun):
            return connection
        left_ms = job.deadline_at - self._clock.now()
        if left_ms < MIN_TIME_LEFT_MS:
            link.pool.release(connection)
            return _make_unsent("too little time left before the deadline")
        obstacle = self._eligibility.find_obstacle(link, job)
        if obstacle is not None:
            # It has changed while the connection was opened.
            link.pool.release(connection)
            return _make_ineligible(obstacle)
        wait_ms = link.get_wait_ms()
        if wait_ms:
            link.pool.release(connection)
            return _make_unsent("the server asks to wait", wait_ms=wait_ms)
        if self._guard.is_refused(job):
            link.pool.release(connection)
            return _make_unsent("the request crashes servers")
        if (
            job.permit != link.incarnation
            and self._server_limits.find_cold(link.incarnation) is not None
        ):
            link.pool.release(connection)
            return jobs.NotRun(cause=jobs.NotRunCause.COLD)
        job.sent_count += 1
        job.connections.append(connection)
        sent.set_result(None)
        self._guard.record_sent(flight, connection)
        is_reusable = False
        silence = asyncio.get_running_loop().call_later(
            self._compute_silence_ms(job, link) / base.MS_PER_S,
            self._monitor.suspect,
            link,
            self._clock.now(),
        )
        exchange = asyncio.create_task(
            connection.exchange(
                self._make_request(job, link, left_ms),
                recognize=lambda fields: self._matches_attempt(job, fields),
            )
        )
        try:
            try:
                await asyncio.wait([exchange], timeout=left_ms / base.MS_PER_S)
            except asyncio.CancelledError:
                # The response may have arrived in the same turn.
                if not exchange.done():
                    job.may_have_run = True
                    raise
            if not exchange.done():
                link.load.record_failed_attempt()
                return jobs.OutcomeUnknown(cause=jobs.UnknownCause.TIMEOUT)
            response = exchange.result()
            self._monitor.record_response(link)
            is_reusable = not (
                response.closes or self._is_anonymous_refusal(response)
            )
            return response
        except http1.ExchangeError as error:
            if not error.sent:
                job.sent_count -= 1
                return self._record_ended(job, link, connection)
            if not flight.is_aborted:
                if error.is_reset and connection.is_new:
                    self.accept_resets.record_reset(job.service.name)
                elif error.is_reset and not link.load.is_busy():
                    link.pool.record_forgotten(
                        idle_ms=flight.sent_at - connection.used_at
                    )
                if self._is_full(link, error, flight.sent_at):
                    link.load.record_full()
                else:
                    link.load.record_failed_attempt()
                    link.pool.record_break()
                self._guard.record_break(flight)
            return jobs.OutcomeUnknown(
                cause=jobs.UnknownCause.BROKEN, detail=error.problem
            )
        finally:
            silence.cancel()
            exchange.cancel()
            # The traceback of its error refers to this frame.
            del exchange
            if is_reusable:
                link.pool.release(connection)
            else:
                link.pool.discard(connection)

    async def _connect(
        self, job: jobs.Job, link: balancing.ServerLink
    ) -> http1.ServerConnection | jobs.NotRun:
        """Return a connection on which the request was not sent so far."""
        began_at = self._clock.now()
        self._cold_watch.check_connections(link)
        timeout_ms = balancing.compute_connect_timeout_ms(
            job.deadline_at - began_at
        )
        try:
            async with asyncio.timeout(timeout_ms / base.MS_PER_S):
                connection = await link.pool.acquire(
                    fresh=not job.is_idempotent, excluded=job.connections
                )
        except TimeoutError:
            self._monitor.suspect(link, began_at)
            return _make_unsent("no connection in time for the deadline")
        except http1.UnreachableError as error:
            self._monitor.record_failure(
                link, is_refused=error.is_refused, began_at=began_at
            )
            return jobs.NotRun(
                cause=jobs.NotRunCause.UNREACHABLE, detail=error.problem
            )
        except http1.ConnectionBudgetError as error:
            return jobs.NotRun(
                cause=jobs.NotRunCause.CONNECTIONS, detail=error.problem
            )
        except http1.ExchangeError as error:
            link.load.record_unreachable()
            return _make_unsent(error.problem)
        observed_ms = self.accept_resets.compute_observation_ms(
            job.service.name, round_trip_ms=link.get_round_trip_ms()
        )
        if not connection.is_new or not observed_ms:
            return connection
        try:
            has_ended = await connection.ends_within(observed_ms)
        except asyncio.CancelledError:
            link.pool.discard(connection)
            raise
        if not has_ended:
            return connection
        outcome = self._record_ended(job, link, connection)
        link.pool.discard(connection)
        return outcome

    def _record_ended(
        self,
        job: jobs.Job,
        link: balancing.ServerLink,
        connection: http1.ServerConnection,
    ) -> jobs.NotRun:
        """Record that a connection ended before the request was sent."""
        job.unsent_count += 1
        if connection.is_new:
            # The server has more connections than it keeps.
            self.accept_resets.record_unsent(job.service.name)
            link.load.record_full()
        return jobs.NotRun(
            cause=jobs.NotRunCause.CONNECTION_ENDED,
            detail="the connection ended before the request was sent",
        )

    def _is_full(
        self,
        link: balancing.ServerLink,
        error: http1.ExchangeError,
        sent_at: int,
    ) -> bool:
        """Return whether a server has reset a connection since it is full.

        It does so at once, while a response that breaks off takes the time
        of its request. The guard finds out whether it has ended instead.
        """
        if not error.is_reset:
            return False
        elapsed_ms = self._clock.now() - sent_at
        return (
            link.load.is_busy()
            or elapsed_ms
            <= link.get_round_trip_ms() + balancing.EARLY_RESET_MS
        )

    def _compute_silence_ms(
        self, job: jobs.Job, link: balancing.ServerLink
    ) -> float:
        """Return the time without a response that is unusual."""
        wait_ms = link.load.estimate_wait_ms()
        service_ms = link.load.estimate_service_ms(job.route.name)
        expected_ms = link.get_round_trip_ms() + wait_ms + service_ms
        silence_ms = SILENCE_LATENCY_FACTOR * expected_ms
        # A queue that is known, and long work, are not unusual.
        max_ms = wait_ms + max(
            MAX_SILENCE_MS, SLOW_SERVICE_FACTOR * service_ms
        )
        return min(max_ms, max(MIN_SILENCE_MS, silence_ms))

    def _matches_attempt(self, job: jobs.Job, fields: http1.FieldList) -> bool:
        """Return whether a response may belong to this attempt.

        A response without an attempt id may belong to any attempt.
        """
        attempt = self._dialect.read_answer(dict(fields)).attempt
        return attempt in ("", job.metadata.attempt)

    def _is_anonymous_refusal(self, response: http1.HttpResponse) -> bool:
        """Return whether a refusal names no attempt.

        If the server wrote it once more, it would be taken for the refusal
        of the next request on the connection.
        """
        metadata = self._dialect.read_answer(
            http1.combine_fields(response.fields)
        )
        is_refusal = metadata.not_run or response.status == 421
        return is_refusal and not metadata.attempt

    def _make_request(
        self, job: jobs.Job, link: balancing.ServerLink, left_ms: int
    ) -> http1.HttpRequest:
        fields = servers.drop_hop_by_hop_fields(job.request.fields)
        forwarded = [
            (name, value)
            for name, value in fields
            if not self._dialect.is_replaced(name)
        ]
        return http1.HttpRequest(
            method=job.request.method,
            target=job.request.target,
            fields=[
                ("host", job.request.find("host") or job.route.host),
                *forwarded,
                *self._dialect.make_fields(
                    deadline_ms=left_ms, server=link.entry.server
                ),
            ],
            body=job.request.body,
            usage=job.request.usage,
        )

    def _classify(
        self,
        job: jobs.Job,
        link: balancing.ServerLink,
        response: http1.HttpResponse,
        sent_at: int,
    ) -> jobs.AttemptOutcome:
        metadata = self._dialect.read_answer(
            http1.combine_fields(response.fields)
        )
        is_own = metadata.server in (None, link.entry.server)
        if metadata.is_leaving and is_own:
            self._leaving.record_response(link.incarnation)
        wait_ms = 0
        if response.status == 503 and is_own:
            wait_ms = metadata.wait_ms or 0
            self._record_wait(link, wait_ms)
        self._record_limit(job, link, metadata)
        if metadata.not_run or response.status == 421:
            if not is_own:
                cause = jobs.NotRunCause.REPLACED
                link.load.record_unreachable()
            elif response.status == 421:
                cause = jobs.NotRunCause.MISDIRECTED
            else:
                cause = jobs.NotRunCause.SHED
                link.load.record_shed(metadata.load)
            return jobs.NotRun(cause=cause, wait_ms=wait_ms)
        failed = (
            response.status >= 500 or response.status in jobs.NOT_RUN_STATUSES
        )
        is_valid = metadata.sealed and metadata.attempt == job.metadata.attempt
        if not is_valid and not failed:
            link.load.record_failed_attempt()
            return jobs.OutcomeUnknown(cause=jobs.UnknownCause.GARBLED)
        self._links.route_sizes.record(
            job.route.name,
            body_bytes=len(job.request.body) + len(response.body),
        )
        elapsed_ms = self._clock.now() - sent_at
        link.load.record_response(
            latency_ms=max(1.0, elapsed_ms - link.get_round_trip_ms()),
            load=metadata.load,
            failed=failed,
            route=job.route.name,
        )
        return jobs.Answered(response=response, failed=failed)

    def _record_wait(self, link: balancing.ServerLink, wait_ms: int) -> None:
        """Close a server to this instance for the time that it states."""
        if wait_ms:
            link.waits.record(link.incarnation, wait_ms)
            self._log.write(
                events.ServerAvoided(
                    server=link.entry.server,
                    reason="server_wait",
                    for_ms=wait_ms,
                )
            )

    def _record_limit(
        self,
        job: jobs.Job,
        link: balancing.ServerLink,
        metadata: jobs.ResponseMetadata,
    ) -> None:
        """Record the limit that a response names, or that it names none.

        Only a sealed response to the attempt shows that there is none.
        """
        if metadata.server not in (None, link.entry.server):
            return
        if metadata.is_limit_invalid:
            return
        is_own = metadata.attempt == job.metadata.attempt
        if metadata.limit is not None or (metadata.sealed and is_own):
            self._server_limits.record_response(
                link.incarnation, metadata.limit
            )


class _Slot:
    """Counts an attempt as in flight from its placement to its end.

    The attempt starts in a later turn of the event loop; until then, the
    placement of other requests must see it.
    """

    def __init__(self, *, load: balancing.ServerLoad) -> None:
        self._load: balancing.ServerLoad | None = load
        load.in_flight += 1

    def release(self) -> None:
        """End the count, unless this was done before."""
        if self._load is not None:
            self._load.in_flight -= 1
            self._load = None


def _make_ineligible(obstacle: balancing.Obstacle) -> jobs.NotRun:
    if obstacle is balancing.Obstacle.STATE:
        return _make_unsent("the server is draining or gone")
    return jobs.NotRun(
        cause=jobs.NotRunCause.INELIGIBLE, detail=obstacle.value
    )


def _make_unsent(detail: str, *, wait_ms: int = 0) -> jobs.NotRun:
    return jobs.NotRun(
        cause=jobs.NotRunCause.UNSENT, detail=detail, wait_ms=wait_ms
    )
