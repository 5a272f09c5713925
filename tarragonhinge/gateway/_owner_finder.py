"""Finds the server that holds a key, and waits while the key moves.

Answers hot keys that move between servers: requests for a segment on
the move are held at the entry for the short time of the handover, since
each one that reaches the former holder counts as a repeat.  Once a
segment has been unserved for longer than a handover takes, its requests
are refused at once instead.
"""

import collections

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.gateway import _job
from tarragonhinge.gateway import _owner_breaker
from tarragonhinge.gateway import _view_waiter

#: Longest wait for a moving key, as a part of the latency objective.
HOLD_PART = 0.8

#: Age of a segment's outage from which its requests are not held: a
#: handover that takes longer waits for a lost server or for the store.
HANDOVER_MS = 1_000

#: Bounds of the time to come back for a key that has no holder.
RETRY_MS = 400
RETRY_CAP_MS = 1_600

#: Interval at which a request that is held looks at its holder again.
LOOK_MS = 150

#: Segments whose outage is timed; the oldest are dropped beyond it.
UNSERVED_LIMIT = 4_096

#: Keys that are kept for the next report to the coordinator.
SAMPLE_LIMIT = 4_000


class OwnerFinder:
    """Owners of keys as this instance knows them.

    Parameters
    ----------
    view : View
        Owner maps.
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, view: catalog.View, clock: base.Clock) -> None:
        self._view = view
        self._clock = clock
        self._breaker = _owner_breaker.OwnerBreaker(clock=clock)
        self._unserved_since: dict[
            tuple[base.ServiceName, _owner_breaker.Holder | None], int
        ] = {}
        self._waiter = _view_waiter.ViewWaiter(view=view)
        self._samples: dict[base.ServiceName, list[int]] = (
            collections.defaultdict(list)
        )

    def record(self, job: _job.Job) -> None:
        """Count the key of a request."""
        if job.key is not None:
            samples = self._samples[job.service.name]
            if len(samples) < SAMPLE_LIMIT:
                samples.append(job.key)

    def take_samples(self) -> dict[base.ServiceName, list[int]]:
        """Return the keys of requests since the last call."""
        samples, self._samples = self._samples, collections.defaultdict(list)
        return dict(samples)

    def note_misdirected(
        self, job: _job.Job, segment: catalog.Segment
    ) -> None:
        """Do not send a request to a holder again that refused its key."""
        job.refused_by = _make_holder(segment)
        self._breaker.record_refusal(job.refused_by)

    def note_answered(self, segment: catalog.Segment) -> None:
        """Learn that a holder runs requests for its keys."""
        self._breaker.record_answer(_make_holder(segment))

    def _find(self, job: _job.Job) -> catalog.Segment | None:
        owners = self._view.owners.get(job.service.name)
        return owners.find(job.key) if owners is not None else None

    def _find_usable(self, job: _job.Job) -> catalog.Segment | None:
        segment = self._find(job)
        if segment is None or segment.state is not catalog.SegmentState.HELD:
            return None
        entry = self._view.servers.get(segment.server)
        if entry is None or entry.born_ms != segment.born_ms:
            return None
        holder = _make_holder(segment)
        if job.refused_by == holder and self._breaker.is_open(holder):
            return None
        if not self._breaker.try_pass(holder):
            return None
        return segment

    async def wait_owner(self, job: _job.Job) -> catalog.Segment | None:
        """Return the segment of a key once it is held, or None."""
        segment = self._find_usable(job)
        if segment is not None:
            self._note_served(job)
            return segment
        job.trace.add(
            events.Held(
                request=job.facts.attempt,
                key=job.key,
                reason=self._explain(job),
                unserved_ms=self.compute_unserved_ms(job),
            )
        )
        limit_ms = HOLD_PART * job.route.objective_ms
        ends_at = min(self._clock.now() + limit_ms, job.ends_at)
        while True:
            # The segment may be another one after each change.
            handover_ms = HANDOVER_MS - self.compute_unserved_ms(job)
            left_ms = min(ends_at - self._clock.now(), handover_ms)
            if left_ms <= 0:
                return None
            await self._waiter.wait(timeout_ms=min(left_ms, LOOK_MS))
            segment = self._find_usable(job)
            if segment is not None:
                self._note_served(job)
                return segment

    def compute_unserved_ms(self, job: _job.Job) -> int:
        """Return for how long the segment of a key has been unserved."""
        now = self._clock.now()
        name = self._name_segment(job)
        since = self._unserved_since.get(name)
        if since is None:
            while len(self._unserved_since) >= UNSERVED_LIMIT:
                del self._unserved_since[next(iter(self._unserved_since))]
            self._unserved_since[name] = since = now
        return now - since

    def compute_retry_ms(self, job: _job.Job) -> int:
        """Return when to come back for a key that has no holder.

        An outage that has lasted for some time is expected to last for
        as long again.
        """
        unserved_ms = self.compute_unserved_ms(job)
        return min(RETRY_CAP_MS, max(RETRY_MS, unserved_ms))

    def _note_served(self, job: _job.Job) -> None:
        self._unserved_since.pop(self._name_segment(job), None)

    def _name_segment(
        self, job: _job.Job
    ) -> tuple[base.ServiceName, _owner_breaker.Holder | None]:
        segment = self._find(job)
        holder = _make_holder(segment) if segment is not None else None
        return job.service.name, holder

    def _explain(self, job: _job.Job) -> str:
        segment = self._find(job)
        if segment is None:
            return "no_owner"
        if segment.state is catalog.SegmentState.MOVING:
            return "moving"
        if self._breaker.is_open(_make_holder(segment)):
            return "misdirected"
        return "owner_gone"


def _make_holder(segment: catalog.Segment) -> _owner_breaker.Holder:
    return segment.server, segment.fence
