"""Finds the server that owns a key, and waits while the key moves.

While a segment of keys is handed over to another server, requests for it
are held at the gateway, since a request that reaches the previous owner
has to be retried, which draws on the retry budget.  Once a segment has
been unserved for longer than a handover takes, its requests are refused
immediately instead.
"""

import collections
import random

from tarragonhinge.balancing import _admission
from tarragonhinge.balancing import _owner_breaker
from tarragonhinge.balancing import _view_waiter
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge import jobs

#: Longest wait for a moving key, as a fraction of the latency objective.
HOLD_OBJECTIVE_FRACTION = 0.8

#: Time after which requests for an unserved segment are no longer held.  A
#: handover that takes longer waits for a lost server or for the store.
HANDOVER_LIMIT_MS = 1_000

#: Interval at which a held request checks the owner of its key again.
RECHECK_INTERVAL_MS = 150

#: Maximum number of unserved segments tracked; beyond it, the oldest is
#: dropped.
MAX_TRACKED_SEGMENTS = 4_096

#: Maximum number of keys per service in a report to the coordinator.
MAX_SAMPLED_KEYS = 4_000


class OwnerFinder:
    """Looks up owners of keys and tracks unserved segments.

    Parameters
    ----------
    view : View
        Owner maps.
    clock : Clock
        This process's clock.
    rng : random.Random or None
        Rounds the number of samples of a request; a new one if None.
    """

    def __init__(
        self,
        *,
        view: catalog.View,
        clock: base.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._view = view
        self._clock = clock
        self._rng = rng or random.Random()
        self._breaker = _owner_breaker.OwnerBreaker(clock=clock)
        self._unserved_since: dict[
            tuple[base.ServiceName, _owner_breaker.Grant | None], int
        ] = {}
        self._waiter = _view_waiter.ViewWaiter(view=view)
        self._samples: dict[base.ServiceName, list[int]] = (
            collections.defaultdict(list)
        )

    def record_key(self, job: jobs.Job, *, work_ratio: float = 1.0) -> None:
        """Add the key of a request to the next report.

        Parameters
        ----------
        job : Job
            The request.
        work_ratio : float
            Its expected service time, relative to the service's mean. A
            report has a key as often as corresponds to the work for it, since
            short and long requests may have different hot keys.
        """
        if job.key is None:
            return
        samples = self._samples[job.service.name]
        count = int(work_ratio + self._rng.random())
        left = MAX_SAMPLED_KEYS - len(samples)
        samples.extend([job.key] * min(count, left))

    def take_key_samples(self) -> dict[base.ServiceName, list[int]]:
        """Return the keys of requests since the last call, by service."""
        samples, self._samples = self._samples, collections.defaultdict(list)
        return dict(samples)

    def record_misdirected(
        self, job: jobs.Job, segment: catalog.Segment
    ) -> None:
        """Record that the owner of a segment refused a request's key.

        The request is not sent to this owner again until the owner has
        answered another request.
        """
        job.refused_by_grant = _make_grant(segment)
        self._breaker.record_refusal(job.refused_by_grant)

    def record_answered(self, segment: catalog.Segment) -> None:
        """Record that the owner of a segment answered a request."""
        self._breaker.record_response(_make_grant(segment))

    def is_held(self, job: jobs.Job, segment: catalog.Segment) -> bool:
        """Return whether a segment still has a request's key."""
        current = self._find(job)
        return (
            current is not None
            and current.state is catalog.SegmentState.HELD
            and _make_grant(current) == _make_grant(segment)
        )

    def _find(self, job: jobs.Job) -> catalog.Segment | None:
        owners = self._view.owners.get(job.service.name)
        return owners.find(job.key) if owners is not None else None

    def _find_serving_segment(self, job: jobs.Job) -> catalog.Segment | None:
        segment = self._find(job)
        if segment is None or segment.state is not catalog.SegmentState.HELD:
            return None
        entry = self._view.servers.get(segment.server)
        if entry is None or entry.born_ms != segment.born_ms:
            return None
        grant = _make_grant(segment)
        if job.refused_by_grant == grant and self._breaker.is_open(grant):
            return None
        if not self._breaker.try_send(grant):
            return None
        return segment

    async def wait_for_owner(
        self, job: jobs.Job, *, service_ms: float = 0.0
    ) -> catalog.Segment | None:
        """Wait until the segment of a request's key is served and return it.

        Parameters
        ----------
        job : Job
            The request.
        service_ms : float
            Expected service time, which the wait leaves before the deadline.

        Returns
        -------
        Segment or None
            None if the segment is not served in time.
        """
        segment = self._find_serving_segment(job)
        if segment is not None:
            self._record_served(job)
            return segment
        job.trace.add(
            events.Held(
                request=job.metadata.attempt,
                key=job.key,
                reason=self._get_hold_reason(job),
                unserved_ms=self.compute_unserved_ms(job),
            )
        )
        limit_ms = HOLD_OBJECTIVE_FRACTION * job.route.objective_ms
        ends_at = min(
            self._clock.now() + limit_ms, job.deadline_at - service_ms
        )
        while True:
            # The key may belong to another segment after a change of the
            # view, and the time for which it is unserved differs by segment.
            handover_ms = HANDOVER_LIMIT_MS - self.compute_unserved_ms(job)
            left_ms = min(ends_at - self._clock.now(), handover_ms)
            if left_ms <= 0:
                return None
            await self._waiter.wait(
                timeout_ms=min(left_ms, RECHECK_INTERVAL_MS)
            )
            segment = self._find_serving_segment(job)
            if segment is not None:
                self._record_served(job)
                return segment

    def compute_unserved_ms(self, job: jobs.Job) -> int:
        """Return the time for which a key's segment has been unserved."""
        now = self._clock.now()
        segment_id = self._make_segment_id(job)
        since = self._unserved_since.get(segment_id)
        if since is None:
            while len(self._unserved_since) >= MAX_TRACKED_SEGMENTS:
                del self._unserved_since[next(iter(self._unserved_since))]
            self._unserved_since[segment_id] = since = now
        return now - since

    def compute_retry_after_ms(self, job: jobs.Job) -> int:
        """Return the delay before a retry for a key without an owner."""
        return _admission.compute_outage_delay_ms(
            self.compute_unserved_ms(job)
        )

    def _record_served(self, job: jobs.Job) -> None:
        self._unserved_since.pop(self._make_segment_id(job), None)

    def _make_segment_id(
        self, job: jobs.Job
    ) -> tuple[base.ServiceName, _owner_breaker.Grant | None]:
        segment = self._find(job)
        grant = _make_grant(segment) if segment is not None else None
        return job.service.name, grant

    def _get_hold_reason(self, job: jobs.Job) -> str:
        segment = self._find(job)
        if segment is None:
            return "no_owner"
        if segment.state is catalog.SegmentState.MOVING:
            return "moving"
        if self._breaker.is_open(_make_grant(segment)):
            return "misdirected"
        return "owner_gone"


def _make_grant(segment: catalog.Segment) -> _owner_breaker.Grant:
    return segment.server, segment.fence
