"""Requests for keys that move, and for keys that nobody serves."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.gateway import _dialect
from tarragonhinge.gateway import _job
from tarragonhinge.gateway import _owner_breaker
from tarragonhinge.gateway import _owner_finder
from tarragonhinge import http1
from tarragonhinge import testing

_SERVICE = base.ServiceName("keys")
_SERVER = base.ServerId("i-1")
_OBJECTIVE_MS = 800


class _Site:
    """An owner finder over a view of one server that holds all keys."""

    def __init__(self, clock):
        self.clock = clock
        self.view = catalog.View()
        self.publish_server()
        self.publish_owner()
        self.finder = _owner_finder.OwnerFinder(view=self.view, clock=clock)
        self._log = testing.make_event_log(clock)

    def publish_server(self):
        entry = catalog.ServerEntry(
            server=_SERVER,
            service=_SERVICE,
            address=base.Address("127.0.0.1:1"),
            zone=base.ZoneName("z"),
            slots=2,
            state=catalog.ServerState.READY,
            born_ms=1,
        )
        self.view.set_servers({_SERVER: entry})

    def publish_owner(self, fence=1, state=catalog.SegmentState.HELD):
        segment = catalog.Segment(
            first=0,
            last=catalog.KEY_COUNT - 1,
            server=_SERVER,
            born_ms=1,
            fence=fence,
            state=state,
        )
        self.view.set_owners(_SERVICE, catalog.OwnerMap(segments=[segment]))

    def make_job(self):
        route = catalog.Route(
            name="r",
            host="h",
            prefix="/",
            kind=catalog.RequestKind.IDEMPOTENT,
            timeout_ms=5_000,
            objective_ms=_OBJECTIVE_MS,
            priority=1,
            max_attempts=2,
            targets=(catalog.Target(service=_SERVICE),),
        )
        return _job.Job(
            request=http1.HttpRequest(method="GET", target="/", fields=[]),
            facts=_dialect.RequestMetadata(
                attempt="a", key=7, deadline_ms=5_000
            ),
            route=route,
            service=catalog.Service(
                name=_SERVICE, max_connections=9, keyed=True
            ),
            ends_at=self.clock.now() + 5_000,
            is_return=False,
            trace=events.Trace(log=self._log, clock=self.clock),
        )

    async def time_wait(self, job):
        """Return the segment that was found, and how long that took."""
        began_at = self.clock.now()
        segment = await self.finder.wait_owner(job)
        return segment, self.clock.now() - began_at


def _run(check):
    async def run():
        await check(_Site(testing.ManualClock()))

    testing.run_manual(run())


def test_requests_for_a_moving_key_are_held_until_it_has_moved():
    async def check(site):
        site.publish_owner(state=catalog.SegmentState.MOVING)
        waiting = asyncio.create_task(site.time_wait(site.make_job()))
        await site.clock.sleep(300)
        site.publish_owner(fence=2)
        segment, elapsed_ms = await waiting
        assert segment.fence == 2
        assert elapsed_ms == 300

    _run(check)


@pytest.mark.parametrize(
    ("outage_ms", "longest_ms"), [(0, 640), (700, 300), (1_000, 0), (9_000, 0)]
)
def test_requests_for_a_key_without_a_holder_are_refused_early(
    outage_ms, longest_ms
):
    """Each request was once held for most of its objective."""

    async def check(site):
        site.publish_owner(state=catalog.SegmentState.MOVING)
        site.finder.compute_unserved_ms(site.make_job())
        await site.clock.sleep(outage_ms)
        job = site.make_job()
        segment, elapsed_ms = await site.time_wait(job)
        assert segment is None
        assert elapsed_ms == longest_ms
        retry_ms = site.finder.compute_retry_ms(job)
        assert 400 <= retry_ms <= 1_600
        assert retry_ms >= min(1_600, outage_ms)

    _run(check)


def test_a_request_is_not_sent_again_to_a_holder_that_refused_it():
    """Each one sent again counts as a repeat, and four were sent."""

    async def check(site):
        job = site.make_job()
        segment = await site.finder.wait_owner(job)
        site.finder.note_misdirected(job, segment)
        segment, _ = await site.time_wait(job)
        assert segment is None

    _run(check)


def test_a_corrected_owner_map_takes_the_request_on():
    async def check(site):
        job = site.make_job()
        site.finder.note_misdirected(job, await site.finder.wait_owner(job))
        waiting = asyncio.create_task(site.time_wait(job))
        await site.clock.sleep(20)
        site.publish_owner(fence=2)
        segment, elapsed_ms = await waiting
        assert segment.fence == 2
        assert elapsed_ms == 20

    _run(check)


def test_a_holder_that_serves_again_gets_what_it_refused():
    async def check(site):
        job = site.make_job()
        segment = await site.finder.wait_owner(job)
        site.finder.note_misdirected(job, segment)
        await site.clock.sleep(_owner_breaker.PAUSE_MS)
        trial = await site.finder.wait_owner(site.make_job())
        assert trial == segment
        site.finder.note_answered(trial)
        assert await site.finder.wait_owner(job) == segment

    _run(check)


def test_one_request_at_a_time_tries_a_holder_that_refuses():
    """An outage of the store: the map names a holder that refuses."""

    async def check(clock):
        breaker = _owner_breaker.OwnerBreaker(clock=clock)
        holder = (_SERVER, 1)
        passed = 0
        for _ in range(1_000):
            await clock.sleep(10)
            if breaker.try_pass(holder):
                passed += 1
                breaker.record_refusal(holder)
        assert passed <= 13

    async def run():
        await check(testing.ManualClock())

    testing.run_manual(run())
