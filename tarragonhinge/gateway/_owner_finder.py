"""Finds the server that holds a key, and waits while the key moves.

Answers hot keys that move between servers: requests for a segment on
the move are held at the entry for the short time of the handover, since
each one that reaches the former holder counts as a repeat.
"""

import asyncio
import collections

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.gateway import _job

#: Longest wait for a moving key, as a part of the latency objective.
HOLD_PART = 0.8

#: When to come back for a key that has no holder.
RETRY_MS = 600

#: Time for which a holder that refused a key is not asked again while
#: no newer owner map has arrived.
DISTRUST_MS = 150

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
        self._waiters: set[asyncio.Future[None]] = set()
        self._samples: dict[base.ServiceName, list[int]] = (
            collections.defaultdict(list)
        )
        view.changes.subscribe(self._wake)

    def _wake(self, _: None) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

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

    def note_misdirected(self, job: _job.Job) -> None:
        """Do not ask the present holder again at once."""
        segment = self._find(job)
        if segment is not None:
            job.distrusted = (segment.server, segment.fence)
            job.distrusted_until = self._clock.now() + DISTRUST_MS

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
        is_distrusted = job.distrusted == (segment.server, segment.fence)
        if is_distrusted and self._clock.now() < job.distrusted_until:
            return None
        return segment

    async def wait_owner(self, job: _job.Job) -> catalog.Segment | None:
        """Return the segment of a key once it is held, or None."""
        limit_ms = HOLD_PART * job.route.objective_ms
        ends_at = min(self._clock.now() + limit_ms, job.ends_at)
        is_noted = False
        while True:
            segment = self._find_usable(job)
            if segment is not None:
                return segment
            left_ms = ends_at - self._clock.now()
            if left_ms <= 0:
                return None
            if not is_noted:
                is_noted = True
                job.trace.add(
                    events.Held(
                        request=job.facts.attempt,
                        key=job.key,
                        reason=self._explain(job),
                    )
                )
            await self._wait_change(min(left_ms, DISTRUST_MS))

    def _explain(self, job: _job.Job) -> str:
        segment = self._find(job)
        if segment is None:
            return "no_owner"
        if segment.state is catalog.SegmentState.MOVING:
            return "moving"
        if job.distrusted is not None:
            return "misdirected"
        return "owner_gone"

    async def _wait_change(self, timeout_ms: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=timeout_ms / base.MS_PER_S)
        finally:
            self._waiters.discard(waiter)
