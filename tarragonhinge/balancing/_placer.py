"""Chooses the server for the next attempt of a request."""

import dataclasses
import math
import random

from tarragonhinge.balancing import _admission
from tarragonhinge.balancing import _eligibility
from tarragonhinge.balancing import _links
from tarragonhinge.balancing import _near_subset
from tarragonhinge.balancing import _owner_finder
from tarragonhinge.balancing import _placement
from tarragonhinge.balancing import _route_shares
from tarragonhinge.balancing import _server_preference
from tarragonhinge.balancing import _urgent_routes
from tarragonhinge.balancing import _waiting_line
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge import jobs
from tarragonhinge import limits

#: Refusals that a request may avoid if it waits here.
_HELD_REASONS = (
    _placement.RefusalReason.URGENT_FIRST,
    _placement.RefusalReason.PACED,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The server chosen for an attempt.

    Parameters
    ----------
    link : ServerLink
        Link to the server.
    expected_ms : float
        Expected latency.
    segment : Segment or None
        Segment of the request's key, if the service is keyed.
    """

    link: _links.ServerLink
    expected_ms: float
    segment: catalog.Segment | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Hold:
    """A request that waits here for room at its servers.

    Parameters
    ----------
    line : tuple
        Requests that wait for the same servers.
    left_ms : float
        Time for which it can wait and be in time.
    """

    line: _waiting_line.LineName
    left_ms: float


class Placer:
    """Applies placement and admission control to the current estimates.

    Parameters
    ----------
    links : ServerLinks
        Links to the servers, with their estimates.
    owners : OwnerFinder
        Finds the owners of keys.
    permits : Permits
        Permits for requests to servers that name a limit.
    eligibility : Eligibility
        Decides which servers may get a request at all.
    preference : ServerPreference
        Keeps requests apart that should not share a server.
    clock : Clock
        This process's clock.
    rng : random.Random
        Source of jitter for the delays before retries.
    instance : InstanceId
        This instance.

    Attributes
    ----------
    subsets : NearSubsets
        Servers that this instance uses first.
    """

    def __init__(
        self,
        *,
        links: _links.ServerLinks,
        owners: _owner_finder.OwnerFinder,
        permits: limits.Permits,
        eligibility: _eligibility.Eligibility,
        preference: _server_preference.ServerPreference,
        clock: base.Clock,
        rng: random.Random,
        instance: base.InstanceId,
    ) -> None:
        self._links = links
        self._owners = owners
        self._permits = permits
        self._eligibility = eligibility
        self._preference = preference
        self._clock = clock
        self._rng = rng
        self._urgent_routes = _urgent_routes.UrgentRoutes(clock=clock)
        self._shares = _route_shares.RouteShares(clock=clock)
        self._lines = _waiting_line.WaitingLines(rng=rng)
        self.subsets = _near_subset.NearSubsets(instance=instance, clock=clock)

    async def place(self, job: jobs.Job) -> Placement | jobs.Refused:
        """Return the server for the next attempt, or a refusal.

        A request that would make more urgent ones late waits here meanwhile.
        """
        self._urgent_routes.record(job.service.name, job.route)
        result = await self._place_in_order(job)
        self._shares.record(
            job.service.name,
            job.route.name,
            was_sent=isinstance(result, Placement),
        )
        return result

    async def _place_in_order(self, job: jobs.Job) -> Placement | jobs.Refused:
        result = await self._place_once(job)
        if not isinstance(result, _Hold):
            return result
        with self._lines.join(
            result.line, job.route.priority, first_at=job.first_at
        ) as place:
            began_at = self._clock.now()
            while isinstance(result, _Hold):
                await self._lines.wait(timeout_ms=result.left_ms)
                result = await self._place_once(job, place)
        job.trace.add(
            events.Yielded(
                request=job.metadata.attempt,
                waited_ms=self._clock.now() - began_at,
            )
        )
        return result

    async def _place_once(
        self, job: jobs.Job, place: _waiting_line.Place | None = None
    ) -> Placement | jobs.Refused | _Hold:
        """Return the result of placement at the present loads."""
        if job.key is None:
            if place is None:
                self.subsets.record(job.service.name)
            return await self._place_anywhere(job, place)
        while True:
            segment = await self._owners.wait_for_owner(
                job, service_ms=self.estimate_service_ms(job)
            )
            if segment is None:
                return jobs.Refused(
                    status=503,
                    reason="no_owner",
                    retry_after_ms=self._owners.compute_retry_after_ms(job),
                )
            link = self._links.find(segment.server)
            if link:
                obstacle = self._eligibility.find_obstacle(link, job)
                if obstacle is not None:
                    return self._refuse_ineligible(job, [link], obstacle)
            placement = self._choose(
                job, [link] if link else [], segment, place
            )
            if not isinstance(placement, Placement):
                return placement
            reservation = await self._reserve(job, placement, may_wait=True)
            if not reservation.is_granted:
                return _make_limit_refusal(reservation)
            if self._owners.is_held(job, segment):
                return placement
            # The key has moved during the wait.

    async def _place_anywhere(
        self, job: jobs.Job, place: _waiting_line.Place | None
    ) -> Placement | jobs.Refused | _Hold:
        """Choose a server, if possible without suspects of a crash."""
        eligible, excluded = self._eligibility.list_ready(job)
        if excluded and place is None:
            self._trace_excluded(job, excluded)
        if excluded and not eligible:
            links = self._links.list_ready(job.service.name)
            return self._refuse_ineligible(
                job, links, _eligibility.pick_reason(excluded)
            )
        links = self._omit_tried(job, eligible)
        preferred = self._preference.list_preferred(job, links)
        near = self._find_near(job, preferred)
        for group in (near, preferred):
            if group and len(group) < len(links):
                placement = await self._place_among(job, group, place)
                if isinstance(placement, Placement):
                    return placement
        return await self._place_among(job, links, place)

    def _find_near(
        self, job: jobs.Job, links: list[_links.ServerLink]
    ) -> list[_links.ServerLink]:
        """Return the preferred servers that have room; none if it uses all."""
        limit_ms = self._compute_latency_limit(job)
        service_ms = self.estimate_service_ms(job)
        max_wait_ms = _near_subset.MAX_WAIT_FRACTION * job.route.objective_ms
        is_active = False
        for subset in self.subsets.list_growing(
            job.service.name,
            links,
            traffic_bytes=self._links.route_sizes.get_bytes(job.route.name),
            service_ms=service_ms,
        ):
            is_active = True
            group = [
                link
                for link in subset
                if link.load.estimate_wait_ms() <= max_wait_ms
            ]
            connected = [
                link
                for link in group
                if link.pool.has_idle(fresh=not job.is_idempotent)
            ]
            for near in (connected, group):
                choice = self._decide(job, near, limit_ms)
                if (
                    isinstance(choice, _placement.Choice)
                    and choice.expected_ms <= job.route.objective_ms
                ):
                    self.subsets.used += 1
                    return near
        self.subsets.exceeded += is_active
        return []

    async def _place_among(
        self,
        job: jobs.Job,
        links: list[_links.ServerLink],
        place: _waiting_line.Place | None,
    ) -> Placement | jobs.Refused | _Hold:
        """Choose among servers, without those whose limit is used up."""
        refusal: jobs.Refused | None = None
        while True:
            placement = self._choose(job, links, None, place)
            if isinstance(placement, _Hold):
                return placement
            if isinstance(placement, jobs.Refused):
                if refusal is None:
                    return placement
                return dataclasses.replace(
                    refusal, detour_servers=placement.detour_servers
                )
            reservation = await self._reserve(
                job, placement, may_wait=len(links) == 1
            )
            if reservation.is_granted:
                return placement
            refusal = _make_limit_refusal(reservation)
            links.remove(placement.link)

    async def _reserve(
        self, job: jobs.Job, placement: Placement, *, may_wait: bool
    ) -> limits.Reservation:
        """Reserve a slot at a server that names a limit, and wait for it."""
        job.permit = None
        max_wait_ms = 0
        if may_wait:
            limit_ms = self._compute_latency_limit(job)
            max_wait_ms = max(0, int(limit_ms - placement.expected_ms))
        reservation = await self._permits.acquire(
            placement.link.incarnation, max_wait_ms=max_wait_ms
        )
        if reservation is None:
            return limits.Reservation(is_granted=True, wait_ms=0)
        job.trace.add(
            events.Limited(
                request=job.metadata.attempt,
                server=placement.link.entry.server,
                granted=reservation.is_granted,
                wait_ms=reservation.wait_ms,
            )
        )
        if reservation.is_granted:
            job.permit = placement.link.incarnation
        if reservation.is_granted and reservation.wait_ms:
            await self._eligibility.wait(
                job, placement.link, wait_ms=reservation.wait_ms
            )
        return reservation

    def estimate_service_ms(self, job: jobs.Job) -> float:
        """Return the service time of a request at an average server."""
        return self._links.estimate_service_ms(
            job.service.name, job.route.name
        )

    def compute_room_delay_ms(
        self, job: jobs.Job, link: _links.ServerLink
    ) -> int:
        """Return when a request that a full server refused can return.

        It would then meet its objective there.
        """
        candidate = link.make_candidate(route=job.route.name)
        return _admission.compute_retry_after_ms(
            expected_ms=candidate.compute_expected_ms(),
            limit_ms=job.route.objective_ms,
            rng=self._rng,
        )

    def has_alternative(self, job: jobs.Job, link: _links.ServerLink) -> bool:
        """Return whether another server would be chosen for the request."""
        others = [
            other
            for other in self._eligibility.list_ready(job)[0]
            if other is not link
            and other.entry.server not in job.failed_servers
        ]
        decision = self._decide(job, others, self._compute_latency_limit(job))
        return isinstance(decision, _placement.Choice)

    def _refuse_ineligible(
        self,
        job: jobs.Job,
        links: list[_links.ServerLink],
        obstacle: _eligibility.Obstacle,
    ) -> jobs.Refused:
        """Refuse a request that no server may get at present."""
        self._trace_rejection(
            job,
            links,
            reason=obstacle.value,
            limit_ms=self._compute_latency_limit(job),
        )
        if obstacle is _eligibility.Obstacle.STATE:
            retry_after_ms = self._owners.compute_retry_after_ms(job)
        else:
            retry_after_ms = self._eligibility.compute_retry_after_ms(
                obstacle, links
            )
        return jobs.Refused(
            status=503, reason=obstacle.value, retry_after_ms=retry_after_ms
        )

    @staticmethod
    def _omit_tried(
        job: jobs.Job, links: list[_links.ServerLink]
    ) -> list[_links.ServerLink]:
        """Return the servers at which no attempt has failed, or all.

        Servers that may still respond to the request are left out.
        """
        ready = [
            link
            for link in links
            if link.entry.server not in job.silent_servers
        ]
        untried = [
            link
            for link in ready
            if link.entry.server not in job.failed_servers
        ]
        return untried or ready

    def _compute_latency_limit(self, job: jobs.Job) -> float:
        limit_ms = _admission.compute_latency_limit_ms(
            objective_ms=job.route.objective_ms,
            left_ms=job.deadline_at - self._clock.now(),
            is_retry=job.is_caller_retry,
        )
        if job.may_have_run:
            limit_ms = min(limit_ms, float(job.route.objective_ms))
        return self._get_limit_fraction(job) * limit_ms

    @staticmethod
    def _get_limit_fraction(job: jobs.Job) -> float:
        """Return the part of the limit up to which a request is admitted."""
        if job.is_forwarded:
            return _admission.FORWARDED_LIMIT_FRACTION
        return 1.0

    def _decide(
        self,
        job: jobs.Job,
        links: list[_links.ServerLink],
        limit_ms: float,
        *,
        goes_first: bool = True,
    ) -> _placement.Choice | _placement.Refusal:
        urgent = self._urgent_routes.list_above(
            job.service.name, job.route.priority
        )
        candidates = [
            link.make_candidate(
                route=job.route.name,
                fresh=not job.is_idempotent,
                urgent=urgent,
            )
            for link in links
        ]
        if urgent and not goes_first:
            candidates = [
                dataclasses.replace(c, wait_limit_ms=-math.inf)
                for c in candidates
            ]
        elif urgent and any(c.contention.value for c in candidates):
            contention = self._shares.get_yielding(
                job.service.name, job.route.name, urgent
            )
            candidates = [
                dataclasses.replace(c, wait_limit_ms=-math.inf)
                if c.contention in contention
                else c
                for c in candidates
            ]
        return _placement.place(
            candidates,
            objective_ms=job.route.objective_ms,
            limit_ms=limit_ms,
            standing_limit_ms=self._get_limit_fraction(job)
            * _admission.compute_standing_limit_ms(
                objective_ms=job.route.objective_ms,
                is_retry=job.is_caller_retry,
            ),
            traffic_bytes=self._links.route_sizes.get_bytes(job.route.name),
            admits_idle=(
                limit_ms
                >= self._get_limit_fraction(job) * job.route.objective_ms
            ),
        )

    def _choose(
        self,
        job: jobs.Job,
        links: list[_links.ServerLink],
        segment: catalog.Segment | None,
        place: _waiting_line.Place | None,
    ) -> Placement | jobs.Refused | _Hold:
        limit_ms = self._compute_latency_limit(job)
        owner = segment.server if segment is not None else None
        line = (job.service.name, owner)
        decision = self._decide(
            job,
            links,
            limit_ms,
            goes_first=self._lines.goes_first(
                line, job.route.priority, place, first_at=job.first_at
            ),
        )
        if isinstance(decision, _placement.Choice):
            return self._make_placement(job, links, segment, decision)
        if decision.reason in _HELD_REASONS:
            left_ms = self._compute_hold_ms(job, decision)
            if left_ms > 0:
                return _Hold(line=line, left_ms=left_ms)
        return self._refuse(job, links, decision, limit_ms)

    def _compute_hold_ms(
        self, job: jobs.Job, refusal: _placement.Refusal
    ) -> float:
        """Return how long a request can wait here for more urgent ones."""
        if job.is_forwarded:
            return 0.0
        return _admission.compute_hold_ms(
            objective_ms=job.route.objective_ms,
            elapsed_ms=job.trace.compute_elapsed_ms(),
            left_ms=job.deadline_at - self._clock.now(),
            idle_ms=refusal.idle_ms,
            is_retry=job.is_caller_retry,
        )

    def _refuse(
        self,
        job: jobs.Job,
        links: list[_links.ServerLink],
        refusal: _placement.Refusal,
        limit_ms: float,
    ) -> jobs.Refused:
        self._trace_rejection(
            job,
            links,
            reason=refusal.reason.value,
            expected_ms=refusal.expected_ms,
            limit_ms=limit_ms,
            wait_ms=refusal.wait_ms,
        )
        return jobs.Refused(
            status=503,
            reason=refusal.reason.value,
            retry_after_ms=self._compute_retry_after_ms(
                job, refusal, links, limit_ms
            ),
            detour_servers=tuple(
                link.incarnation
                for link in links
                if refusal.may_detour and link.path.is_closed
            ),
        )

    def _make_placement(
        self,
        job: jobs.Job,
        links: list[_links.ServerLink],
        segment: catalog.Segment | None,
        choice: _placement.Choice,
    ) -> Placement:
        link = next(
            candidate
            for candidate in links
            if candidate.entry.server == choice.server
        )
        job.trace.add(
            events.Placed(
                request=job.metadata.attempt,
                server=choice.server,
                expected_ms=int(choice.expected_ms),
                in_flight=link.load.in_flight,
                others=round(link.load.estimate_others_in_flight(), 1),
                report_age_ms=link.load.get_report_age_ms(),
                fence=segment.fence if segment is not None else None,
            )
        )
        return Placement(
            link=link, expected_ms=choice.expected_ms, segment=segment
        )

    def _compute_retry_after_ms(
        self,
        job: jobs.Job,
        refusal: _placement.Refusal,
        links: list[_links.ServerLink],
        limit_ms: float,
    ) -> int:
        if refusal.wait_ms:
            return _admission.compute_return_delay_ms(
                refusal.wait_ms, rng=self._rng
            )
        closed_ms = [link.path.get_closed_ms() for link in links]
        if refusal.reason is _placement.RefusalReason.UNREACHABLE and any(
            closed_ms
        ):
            return _admission.compute_outage_delay_ms(max(closed_ms))
        if refusal.limit_ms < limit_ms:
            return _admission.compute_standing_delay_ms(
                objective_ms=job.route.objective_ms,
                is_retry=job.is_caller_retry,
                rng=self._rng,
            )
        return _admission.compute_retry_after_ms(
            expected_ms=refusal.expected_ms,
            limit_ms=limit_ms,
            rng=self._rng,
        )

    @staticmethod
    def _trace_excluded(
        job: jobs.Job, excluded: dict[_eligibility.Obstacle, int]
    ) -> None:
        job.trace.add(
            events.Excluded(
                request=job.metadata.attempt,
                servers={o.value: count for o, count in excluded.items()},
            )
        )

    def _trace_rejection(
        self,
        job: jobs.Job,
        links: list[_links.ServerLink],
        *,
        reason: str,
        limit_ms: float,
        expected_ms: float = 0.0,
        wait_ms: int = 0,
    ) -> None:
        """Trace a refusal with the estimates of the fastest server."""
        fastest = min(
            links,
            key=lambda link: link.make_candidate(
                route=job.route.name
            ).compute_expected_ms(),
            default=None,
        )
        load = fastest.load if fastest is not None else None
        job.trace.add(
            events.Rejected(
                request=job.metadata.attempt,
                reason=reason,
                servers=len(links),
                server=fastest.entry.server if fastest else "",
                expected_ms=int(expected_ms),
                limit_ms=int(limit_ms),
                wait_ms=wait_ms,
                in_flight=load.in_flight if load else 0,
                others=round(load.estimate_others_in_flight(), 1)
                if load
                else 0.0,
                report_age_ms=load.get_report_age_ms() if load else -1,
            )
        )


def _make_limit_refusal(
    reservation: limits.Reservation,
) -> jobs.Refused:
    return jobs.Refused(
        status=503,
        reason="server_limit",
        retry_after_ms=max(reservation.retry_after_ms, reservation.wait_ms),
    )
