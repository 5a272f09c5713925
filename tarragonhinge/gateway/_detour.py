"""Sends a request by way of another instance.

It is used for servers that this instance can't reach. The other instance
handles the request like one of its callers', except that it does not send it
on to a third one.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection
import random

import msgspec

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge import forwarding
from tarragonhinge.gateway import _crash_guard
from tarragonhinge.gateway import _metrics
from tarragonhinge.gateway import _peer_reports
from tarragonhinge import http1
from tarragonhinge import jobs
from tarragonhinge import limits

#: Maximum number of other instances that one request is forwarded to.
MAX_PEERS = 4

#: Time for which an instance that failed or stops is not chosen.
PEER_COOLDOWN_MS = 1_000

#: Cost of another instance by its distance, as a number of requests that are
#: already forwarded to it.
ZONE_COST, REGION_COST, REMOTE_COST = 0, 1, 4

#: Time before the deadline at which another instance gives up: a new
#: connection to it and the way there and back, within a region and between
#: regions, where a round trip takes 40 ms.
NEAR_RETURN_MS = 10
REMOTE_RETURN_MS = 90

#: Shortest time that is left before the deadline to forward a request.
MIN_TIME_LEFT_MS = 120


class Detour:
    """Chooses other instances and forwards requests to them.

    Parameters
    ----------
    dialect : Dialect
        Codec for the header fields of the platform.
    leaving : LeavingServers
        Servers that say that they leave, which learns from the responses.
    directory : PeerDirectory
        The other instances.
    client : ForwardingClient
        Sends requests to them.
    reports : PeerReports
        Which servers they reach.
    eligibility : Eligibility
        Decides which servers may get a request at all.
    guard : CrashGuard
        Keeps suspects of crashes from being sent again.
    zones : mapping
        Region of each availability zone.
    metrics : RequestMetrics
        Metrics of the requests.
    clock : Clock
        This process's clock.
    rng : random.Random
        Chooses between equal instances.
    """

    def __init__(
        self,
        *,
        dialect: jobs.Dialect,
        leaving: balancing.LeavingServers,
        directory: forwarding.PeerDirectory,
        client: forwarding.ForwardingClient,
        reports: _peer_reports.PeerReports,
        eligibility: balancing.Eligibility,
        guard: _crash_guard.CrashGuard,
        zones: dict[base.ZoneName, base.RegionName],
        metrics: _metrics.RequestMetrics,
        clock: base.Clock,
        rng: random.Random,
    ) -> None:
        self._dialect = dialect
        self._leaving = leaving
        self._directory = directory
        self._client = client
        self._reports = reports
        self._eligibility = eligibility
        self._guard = guard
        self._zones = zones
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._in_flight: collections.Counter[base.InstanceId] = (
            collections.Counter()
        )
        self._avoided_until: dict[base.InstanceId, int] = {}

    async def run(
        self,
        job: jobs.Job,
        servers: Collection[limits.Incarnation],
        *,
        take_retry: Callable[[], bool],
    ) -> http1.HttpResponse | jobs.Refused | None:
        """Forward a request until an instance gives a final response.

        Parameters
        ----------
        job : Job
            The request.
        servers : collection of Incarnation
            Servers that may run it.
        take_retry : callable
            Charges the retry budget, if it allows a retry.

        Returns
        -------
        HttpResponse, Refused or None
            None if no instance can send the request.
        """
        tried: set[base.InstanceId] = set()
        while len(tried) < MAX_PEERS and not job.is_forwarded:
            left_ms = job.deadline_at - self._clock.now()
            attempts = job.count_attempts_left()
            servers = self._eligibility.select(servers, job)
            if not servers:
                return None
            peer = self._choose(job, servers, tried)
            if peer is None or left_ms < MIN_TIME_LEFT_MS or attempts <= 0:
                return None
            tried.add(peer.instance)
            if job.sent_count and not take_retry():
                return jobs.Refused.for_exhausted_budget()
            result = await self._forward(
                job, peer, servers, left_ms=left_ms, attempts=attempts
            )
            if result is not None:
                return result
        return None

    def _choose(
        self,
        job: jobs.Job,
        servers: Collection[limits.Incarnation],
        tried: Collection[base.InstanceId],
    ) -> forwarding.PeerInstance | None:
        """Return the nearest instance that may reach any of the servers.

        Those that report to reach one go first, and then those to which
        fewer requests are forwarded.
        """
        now = self._clock.now()
        peers = [
            peer
            for peer in self._directory.list_all()
            if peer.instance not in tried
            and self._avoided_until.get(peer.instance, 0) <= now
            and self._reports.may_reach(peer.instance, servers)
            and self._may_get(peer, job)
        ]
        self._rng.shuffle(peers)
        return min(
            peers,
            key=lambda peer: (
                not self._reports.reaches_any(peer.instance, servers),
                self._in_flight[peer.instance] + self._compute_cost(peer),
            ),
            default=None,
        )

    def _may_get(self, peer: forwarding.PeerInstance, job: jobs.Job) -> bool:
        """Return whether an instance may get a request.

        Its body may not leave the allowed regions, and an instance of a build
        that does not know them would send it anywhere.
        """
        if not self._eligibility.is_restricted(job):
            return True
        if not peer.heeds_regions:
            return False
        regions = self._eligibility.get_regions(job)
        return regions is None or self._zones.get(peer.zone) in regions

    def _compute_cost(self, peer: forwarding.PeerInstance) -> int:
        own = self._directory.own.zone
        if peer.zone == own:
            return ZONE_COST
        if self._zones.get(peer.zone) == self._zones.get(own):
            return REGION_COST
        return REMOTE_COST

    def _compute_return_ms(self, peer: forwarding.PeerInstance) -> int:
        """Return the time that is kept for the way of a late refusal.

        Without it, the refusal of a request that reached no server arrives
        after this instance has given the request up as run.
        """
        if self._compute_cost(peer) == REMOTE_COST:
            return REMOTE_RETURN_MS
        return NEAR_RETURN_MS

    async def _forward(
        self,
        job: jobs.Job,
        peer: forwarding.PeerInstance,
        servers: Collection[limits.Incarnation],
        *,
        left_ms: int,
        attempts: int,
    ) -> http1.HttpResponse | jobs.Refused | None:
        """Return the final response; None to try another instance."""
        attempt = asyncio.create_task(
            self._run_attempt(job, peer, left_ms=left_ms, attempts=attempts)
        )
        job.attempts.add(attempt)
        attempt.add_done_callback(job.attempts.discard)
        result = await attempt
        if isinstance(result, forwarding.PeerError):
            return self._handle_error(job, result)
        outcome, response = result
        if outcome.kind is forwarding.OutcomeKind.ANSWERED:
            return response
        if outcome.kind is forwarding.OutcomeKind.FAILED:
            if self._may_retry(job):
                return None
        elif outcome.is_transferable:
            self._record_refusal(peer, servers, outcome.reason)
            return None
        return jobs.Refused(
            status=response.status,
            reason=outcome.reason,
            retry_after_ms=outcome.retry_after_ms,
        )

    async def _run_attempt(
        self,
        job: jobs.Job,
        peer: forwarding.PeerInstance,
        *,
        left_ms: int,
        attempts: int,
    ) -> (
        tuple[forwarding.ForwardedOutcome, http1.HttpResponse]
        | forwarding.PeerError
    ):
        """Forward a request once; return the other instance's response.

        From the moment at which the call is sent, all attempts count as made
        until the outcome states their number.
        """
        call = forwarding.ForwardedRequest(
            origin=self._directory.own.instance,
            service=job.service,
            route=msgspec.structs.replace(
                job.route,
                max_attempts=attempts,
                allowed_regions=tuple(
                    sorted(self._eligibility.get_regions(job) or ())
                ),
            ),
            deadline_ms=left_ms - self._compute_return_ms(peer),
            is_caller_retry=job.is_caller_retry,
        )

        counted = 0

        def count_attempts() -> None:
            nonlocal counted
            # The connection may have taken a while to open.
            if not self._may_get(peer, job):
                raise forwarding.PeerError(
                    problem="the instance may no longer get the request",
                    sent=False,
                )
            counted = attempts
            job.sent_count += attempts

        began_at = self._clock.now()
        name = "cancelled"
        cancellation: asyncio.CancelledError | None = None
        self._in_flight[peer.instance] += 1
        exchange = asyncio.create_task(
            self._client.send_request(
                peer,
                job.request,
                call,
                timeout_ms=left_ms,
                on_sent=count_attempts,
            )
        )
        try:
            try:
                await asyncio.wait([exchange])
            except asyncio.CancelledError as error:
                # The outcome may have arrived in the same turn.
                if not exchange.done():
                    job.may_have_run = job.may_have_run or counted > 0
                    raise
                cancellation = error
            outcome, response = exchange.result()
            name = outcome.reason or outcome.kind.value
        except forwarding.PeerError as error:
            name = "unknown" if error.sent else "unsent"
            if error.sent:
                job.may_have_run = True
            else:
                job.sent_count -= counted
            if self._clock.now() < job.deadline_at and not error.is_local:
                self._avoid(peer)
            if cancellation is not None:
                raise cancellation from error
            return error
        finally:
            exchange.cancel()
            # The traceback of its error refers to this frame.
            del exchange
            self._in_flight[peer.instance] -= 1
            self._metrics.record_forwarded(peer.instance, name)
            job.trace.add(
                events.Forwarded(
                    request=job.metadata.attempt,
                    peer=peer.instance,
                    outcome=name,
                    elapsed_ms=self._clock.now() - began_at,
                )
            )
        job.sent_count += outcome.sent_count - attempts
        if outcome.kind is forwarding.OutcomeKind.FAILED:
            job.may_have_run = True
        if outcome.kind is forwarding.OutcomeKind.ANSWERED:
            job.answer = response
            self._record_response(outcome, response)
        elif cancellation is not None:
            raise cancellation
        return outcome, response

    def _record_response(
        self,
        outcome: forwarding.ForwardedOutcome,
        response: http1.HttpResponse,
    ) -> None:
        """Record what a server says of itself to all that pass it on."""
        metadata = self._dialect.read_answer(
            http1.combine_fields(response.fields)
        )
        if metadata.is_leaving and outcome.server is not None:
            self._leaving.record_response(outcome.server)

    def _record_refusal(
        self,
        peer: forwarding.PeerInstance,
        servers: Collection[limits.Incarnation],
        reason: str,
    ) -> None:
        """Record why an instance can't send a request."""
        if reason == balancing.RefusalReason.UNREACHABLE.value:
            unreached = forwarding.PathState.UNREACHABLE
            self._reports.record(
                peer.instance, dict.fromkeys(servers, unreached)
            )
        else:
            self._avoid(peer)

    def _may_retry(self, job: jobs.Job) -> bool:
        """Return whether a request that may have run is sent once more.

        The other instance may have lost its servers, too.
        """
        return (
            job.is_idempotent
            and job.count_attempts_left() > 0
            and self._guard.may_retry(job, may_have_run=True)
        )

    def _avoid(self, peer: forwarding.PeerInstance) -> None:
        self._avoided_until[peer.instance] = (
            self._clock.now() + PEER_COOLDOWN_MS
        )

    def _handle_error(
        self, job: jobs.Job, error: forwarding.PeerError
    ) -> jobs.Refused | None:
        """Return the final response unless another instance may get it."""
        if error.is_local:
            return jobs.Refused.for_lack_of_connections()
        if not error.sent:
            return None
        is_late = self._clock.now() >= job.deadline_at
        cause = (
            jobs.UnknownCause.TIMEOUT if is_late else jobs.UnknownCause.BROKEN
        )
        return jobs.Refused(status=504 if is_late else 502, reason=cause.value)
