"""Tests of requests for keys that move or have no owner."""

import asyncio

import pytest

from tarragonhinge.balancing import _owner_breaker
from tarragonhinge.balancing import _owner_finder
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge import http1
from tarragonhinge.jobs import _dialect
from tarragonhinge.jobs import _job
from tarragonhinge import testing

_SERVICE = base.ServiceName("keys")
_SERVER = base.ServerId("i-1")
_OBJECTIVE_MS = 800


class _Testbed:
    """An owner finder whose view has one server that owns all keys."""

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
            metadata=_dialect.RequestMetadata(
                attempt="a", key=7, deadline_ms=5_000
            ),
            route=route,
            service=catalog.Service(
                name=_SERVICE, max_connections=9, keyed=True
            ),
            deadline_at=self.clock.now() + 5_000,
            is_caller_retry=False,
            trace=events.Trace(log=self._log, clock=self.clock),
        )

    async def time_wait(self, job):
        """Return the segment found and the time until then, in ms."""
        began_at = self.clock.now()
        segment = await self.finder.wait_for_owner(job)
        return segment, self.clock.now() - began_at


def _run(check):
    async def run():
        await check(_Testbed(testing.ManualClock()))

    testing.run_manual(run())


def test_request_for_moving_key_is_held_until_key_has_moved():
    async def check(testbed):
        testbed.publish_owner(state=catalog.SegmentState.MOVING)
        waiting = asyncio.create_task(testbed.time_wait(testbed.make_job()))
        await testbed.clock.sleep(300)
        testbed.publish_owner(fence=2)
        segment, elapsed_ms = await waiting
        assert segment.fence == 2
        assert elapsed_ms == 300

    _run(check)


@pytest.mark.parametrize(
    ("outage_ms", "longest_ms"), [(0, 640), (700, 300), (1_000, 0), (9_000, 0)]
)
def test_request_for_key_without_owner_is_refused_early(outage_ms, longest_ms):
    """Guards against holding requests during a long outage of their keys.

    Each request was held for most of its latency objective.  The longer an
    outage lasts, the sooner requests have to be refused.
    """

    async def check(testbed):
        testbed.publish_owner(state=catalog.SegmentState.MOVING)
        testbed.finder.compute_unserved_ms(testbed.make_job())
        await testbed.clock.sleep(outage_ms)
        job = testbed.make_job()
        segment, elapsed_ms = await testbed.time_wait(job)
        assert segment is None
        assert elapsed_ms == longest_ms
        retry_after_ms = testbed.finder.compute_retry_after_ms(job)
        assert 400 <= retry_after_ms <= 1_600
        assert retry_after_ms >= min(1_600, outage_ms)

    _run(check)


def test_request_is_not_sent_again_to_owner_that_refused_it():
    """Guards against repeated sends, which draw on the retry budget.

    A request was sent four times to an owner that refused it.
    """

    async def check(testbed):
        job = testbed.make_job()
        segment = await testbed.finder.wait_for_owner(job)
        testbed.finder.record_misdirected(job, segment)
        segment, _ = await testbed.time_wait(job)
        assert segment is None

    _run(check)


def test_refused_request_is_placed_after_owner_map_is_corrected():
    async def check(testbed):
        job = testbed.make_job()
        testbed.finder.record_misdirected(
            job, await testbed.finder.wait_for_owner(job)
        )
        waiting = asyncio.create_task(testbed.time_wait(job))
        await testbed.clock.sleep(20)
        testbed.publish_owner(fence=2)
        segment, elapsed_ms = await waiting
        assert segment.fence == 2
        assert elapsed_ms == 20

    _run(check)


def test_owner_that_answers_again_gets_request_it_refused():
    async def check(testbed):
        job = testbed.make_job()
        segment = await testbed.finder.wait_for_owner(job)
        testbed.finder.record_misdirected(job, segment)
        await testbed.clock.sleep(_owner_breaker.INITIAL_COOLDOWN_MS)
        probe = await testbed.finder.wait_for_owner(testbed.make_job())
        assert probe == segment
        testbed.finder.record_answered(probe)
        assert await testbed.finder.wait_for_owner(job) == segment

    _run(check)


def test_refusing_owner_is_probed_by_one_request_at_a_time():
    """Covers a store outage, in which the owner map can't be corrected."""

    async def check(clock):
        breaker = _owner_breaker.OwnerBreaker(clock=clock)
        grant = (_SERVER, 1)
        passed = 0
        for _ in range(1_000):
            await clock.sleep(10)
            if breaker.try_send(grant):
                passed += 1
                breaker.record_refusal(grant)
        assert passed <= 13

    async def run():
        await check(testing.ManualClock())

    testing.run_manual(run())


@pytest.mark.parametrize("work_ratio", [1.0, 0.33, 2.4])
def test_reported_keys_are_weighted_by_work(work_ratio):
    """Guards against hot keys of short requests that look like long work."""

    async def check(testbed):
        count = 1_000
        for _ in range(count):
            testbed.finder.record_key(
                testbed.make_job(), work_ratio=work_ratio
            )
        keys = testbed.finder.take_key_samples()[_SERVICE]
        assert set(keys) == {7}
        assert len(keys) == pytest.approx(work_ratio * count, rel=0.15)
        if work_ratio == 1:
            assert len(keys) == count

    _run(check)
