"""Sends a request to servers until one answers."""

import asyncio

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge.gateway import _crash_guard
from tarragonhinge.gateway import _detour
from tarragonhinge.gateway import _metrics
from tarragonhinge.gateway import _options
from tarragonhinge.gateway import _retry_budget
from tarragonhinge.gateway import _sender
from tarragonhinge import http1
from tarragonhinge import jobs

#: An idempotent request is sent to another server after the larger of these
#: multiples of its expected latency and of its latency objective has passed
#: without a response.
FAILOVER_LATENCY_FACTOR = 4.0
FAILOVER_OBJECTIVE_FACTOR = 1.6

#: Number of servers that may refuse a request before the caller gets a
#: refusal.
MAX_REFUSING_SERVERS = 3

#: Maximum number of times that a request is sent, including refused sends, as
#: a multiple of the attempts that its route allows.
MAX_SENDS_PER_ATTEMPT = 2

#: Shortest wait for room, so that a refusal without a delay is not repeated in
#: the same turn of the event loop.
MIN_ROOM_WAIT_MS = 50

_NotRunCause = jobs.NotRunCause


class Retrier:
    """Places a request, sends it, and retries it within the retry budget.

    Parameters
    ----------
    options : InstanceOptions
        Settings of the instance, with the limits of the retry budget.
    placer : Placer
        Chooses the server for each attempt.
    sender : Sender
        Sends an attempt.
    detour : Detour
        Forwards requests for servers that this instance can't reach.
    owners : OwnerFinder
        Owners of keys, which learns from the outcomes.
    guard : CrashGuard
        Refuses requests that crash servers.
    fleet_size : FleetSize
        Number of instances that share the retry budget.
    metrics : RequestMetrics
        Metrics of the requests.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    room_waits : int
        Number of waits of requests for room after a reset.
    """

    def __init__(
        self,
        *,
        options: _options.InstanceOptions,
        placer: balancing.Placer,
        sender: _sender.Sender,
        detour: _detour.Detour,
        owners: balancing.OwnerFinder,
        guard: _crash_guard.CrashGuard,
        fleet_size: balancing.FleetSize,
        metrics: _metrics.RequestMetrics,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._options = options
        self._placer = placer
        self._sender = sender
        self._detour = detour
        self._owners = owners
        self._guard = guard
        self._fleet_size = fleet_size
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self.room_waits = 0
        self._retry_budgets: dict[
            base.ServiceName, _retry_budget.RetryBudget
        ] = {}

    @property
    def early_resets(self) -> int:
        """Number of new connections reset before a request was written."""
        return self._sender.accept_resets.count

    async def run(self, job: jobs.Job) -> http1.HttpResponse | jobs.Refused:
        """Send the request to servers until there is a final response."""
        if not job.is_forwarded:
            self._get_retry_budget(job).record_request()
        return await self._try_servers(job)

    async def _try_servers(
        self, job: jobs.Job
    ) -> http1.HttpResponse | jobs.Refused:
        failure: jobs.AttemptOutcome | None = None
        while True:
            refused = await self._guard.admit(job)
            if refused is not None:
                return refused
            placement = await self._placer.place(job)
            if isinstance(placement, jobs.Refused):
                if await self._wait_for_room(job, placement):
                    continue
                return await self._take_detour(job, failure, placement)
            if job.sent_count and not self._take_retry(job):
                return jobs.make_final_response(
                    job, failure, jobs.Refused.for_exhausted_budget()
                )
            link = placement.link
            began_at = self._clock.now()
            sent: asyncio.Future = asyncio.get_running_loop().create_future()
            attempt = self._sender.send(job, link, sent)
            try:
                if await self._is_failover_due(job, placement, attempt, sent):
                    return await self._fail_over(job, link, attempt, began_at)
                outcome = await attempt
            finally:
                attempt.cancel()
            self._record_owner_outcome(job, placement, outcome)
            if isinstance(outcome, jobs.Answered) and not outcome.failed:
                return outcome.response
            failure = outcome
            if not isinstance(outcome, jobs.NotRun):
                job.may_have_run = True
            if isinstance(outcome, jobs.OutcomeUnknown):
                await self._guard.wait_for_finding(link)
            will_retry = self._may_retry(job, outcome)
            self._record_failed_attempt(
                job, link, outcome, began_at, will_retry
            )
            if not will_retry:
                if self._guard.is_refused(job):
                    return jobs.Refused.for_quarantined(
                        is_sent=job.may_have_run
                    )
                return jobs.make_final_response(
                    job,
                    outcome,
                    None,
                    room_ms=self._placer.compute_room_delay_ms(job, link),
                )

    async def _wait_for_room(
        self, job: jobs.Job, refused: jobs.Refused
    ) -> bool:
        """Wait until a request that can't be refused any more is placed again.

        A server may have run it, and another run does no harm.

        Returns
        -------
        bool
            False if the request can't be served in its time.
        """
        if not (job.may_have_run and job.is_idempotent):
            return False
        if refused.detour_servers:
            return False
        wait_ms = balancing.compute_room_wait_ms(
            room_ms=max(refused.retry_after_ms, MIN_ROOM_WAIT_MS),
            left_ms=job.deadline_at - self._clock.now(),
            idle_ms=self._placer.estimate_service_ms(job),
        )
        if wait_ms is None:
            return False
        self.room_waits += 1
        await self._clock.sleep(wait_ms)
        return True

    async def _take_detour(
        self,
        job: jobs.Job,
        failure: jobs.AttemptOutcome | None,
        refused: jobs.Refused,
    ) -> http1.HttpResponse | jobs.Refused:
        """Let another instance send a request that is refused here.

        The refusal is final if no instance can send it either.
        """
        if refused.detour_servers:
            result = await self._detour.run(
                job,
                refused.detour_servers,
                take_retry=lambda: self._take_retry(job),
            )
            if isinstance(result, http1.HttpResponse):
                return result
            refused = result or refused
            if refused.status not in jobs.NOT_RUN_STATUSES:
                return refused
        return jobs.make_final_response(job, failure, refused)

    def _get_retry_budget(self, job: jobs.Job) -> _retry_budget.RetryBudget:
        name = job.service.name
        if name not in self._retry_budgets:
            self._retry_budgets[name] = _retry_budget.RetryBudget(
                ratio=self._options.retry_ratio,
                slack=self._options.retry_slack,
                window_ms=self._options.retry_window_ms,
                clock=self._clock,
            )
        return self._retry_budgets[name]

    def _take_retry(self, job: jobs.Job) -> bool:
        """Charge the retry budget, unless the retry is already paid."""
        if job.is_retry_paid:
            job.is_retry_paid = False
            return True
        return self._get_retry_budget(job).take(
            instances=self._fleet_size.get()
        )

    async def _is_failover_due(
        self,
        job: jobs.Job,
        placement: balancing.Placement,
        attempt: asyncio.Task[jobs.AttemptOutcome],
        sent: asyncio.Future[None],
    ) -> bool:
        """Wait for an attempt; return whether to try another server too.

        A keyed request has no failover, since only the owner of its key may
        run it.  The time without a response counts from `sent`: before it,
        `sent_count` does not include the attempt.
        """
        if not job.is_idempotent or job.key is not None:
            return False
        if not self._guard.may_fail_over(job):
            return False
        silence_timeout_ms = max(
            FAILOVER_LATENCY_FACTOR * placement.expected_ms,
            FAILOVER_OBJECTIVE_FACTOR * job.route.objective_ms,
        )
        await asyncio.wait(
            [attempt, sent], return_when=asyncio.FIRST_COMPLETED
        )
        await asyncio.wait(
            [attempt], timeout=silence_timeout_ms / base.MS_PER_S
        )
        left_ms = job.deadline_at - self._clock.now()
        if (
            attempt.done()
            or left_ms < placement.expected_ms
            or job.sent_count >= job.route.max_attempts
            or not self._placer.has_alternative(job, placement.link)
        ):
            return False
        job.is_retry_paid = self._take_retry(job)
        return job.is_retry_paid

    async def _fail_over(
        self,
        job: jobs.Job,
        link: balancing.ServerLink,
        attempt: asyncio.Task[jobs.AttemptOutcome],
        began_at: int,
    ) -> http1.HttpResponse | jobs.Refused:
        """Return the first response of a silent server and other servers.

        The attempt at the silent server continues, since the others may
        refuse the request.
        """
        link.load.record_failed_attempt()
        silence = jobs.OutcomeUnknown(cause=jobs.UnknownCause.SILENT)
        self._record_failed_attempt(
            job, link, silence, began_at, will_retry=True
        )
        server = link.entry.server
        job.silent_servers.add(server)
        others = asyncio.create_task(self._try_servers(job))
        pending = {attempt, others}
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                if attempt in done:
                    job.silent_servers.discard(server)
                    outcome = attempt.result()
                    if (
                        isinstance(outcome, jobs.Answered)
                        and not outcome.failed
                    ):
                        return outcome.response
                if others in done:
                    result = others.result()
                    if (
                        isinstance(result, http1.HttpResponse)
                        and result.status < 500
                    ):
                        return result
        finally:
            others.cancel()
        self._record_failed_attempt(
            job, link, outcome, began_at, will_retry=False
        )
        if isinstance(result, http1.HttpResponse):
            return result
        if isinstance(outcome, jobs.NotRun):
            return result
        job.may_have_run = True
        return jobs.make_final_response(job, outcome, result)

    def _may_retry(self, job: jobs.Job, outcome: jobs.AttemptOutcome) -> bool:
        """Return whether another attempt is allowed and may succeed."""
        if self._clock.now() >= job.deadline_at:
            return False
        may_have_run = not isinstance(outcome, jobs.NotRun)
        if not self._guard.may_retry(job, may_have_run=may_have_run):
            return False
        if isinstance(outcome, jobs.NotRun):
            if (
                job.sent_count
                >= MAX_SENDS_PER_ATTEMPT * job.route.max_attempts
            ):
                return False
            if outcome.cause is _NotRunCause.CONNECTIONS:
                # No other server can get it either.
                return False
            if outcome.cause is _NotRunCause.CONNECTION_ENDED:
                # The owner of a key may accept another connection, or is
                # full and refuses the request in the next placement.
                return job.unsent_count <= job.route.max_attempts
            if outcome.cause in (
                _NotRunCause.MISDIRECTED,
                # Another server is chosen, or another way.
                _NotRunCause.UNREACHABLE,
                # Another server is chosen, or the request is refused.
                _NotRunCause.INELIGIBLE,
                # It is placed again, with a permit.
                _NotRunCause.COLD,
            ):
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
        job: jobs.Job,
        placement: balancing.Placement,
        outcome: jobs.AttemptOutcome,
    ) -> None:
        """Record whether the owner of a key accepts its requests."""
        if placement.segment is None:
            return
        if isinstance(outcome, jobs.Answered):
            self._owners.record_answered(placement.segment)
        elif isinstance(outcome, jobs.NotRun) and outcome.cause in (
            _NotRunCause.MISDIRECTED,
            _NotRunCause.REPLACED,
        ):
            self._owners.record_misdirected(job, placement.segment)

    def _record_failed_attempt(
        self,
        job: jobs.Job,
        link: balancing.ServerLink,
        outcome: jobs.AttemptOutcome,
        began_at: int,
        will_retry: bool,
    ) -> None:
        server = link.entry.server
        job.failed_servers.add(server)
        if isinstance(outcome, jobs.NotRun) and outcome.cause in (
            _NotRunCause.UNSENT,
            _NotRunCause.REPLACED,
        ):
            self._log.write(
                events.ServerAvoided(
                    server=server,
                    reason=outcome.detail or outcome.cause.value,
                    for_ms=link.load.get_cooldown_ms(),
                )
            )
        name = jobs.get_outcome_name(outcome)
        self._metrics.record_attempt(name)
        job.trace.add(
            events.Tried(
                request=job.metadata.attempt,
                server=server,
                outcome=name,
                elapsed_ms=self._clock.now() - began_at,
                repeats=will_retry,
                detail=getattr(outcome, "detail", ""),
            )
        )
