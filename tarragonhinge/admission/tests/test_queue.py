"""Tests of the queue of one server: order and refusals."""

import asyncio

import pytest

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge import testing

SERVICE_MS = 100


class QueuedServer:
    """One server with one slot, whose requests take `SERVICE_MS`."""

    def __init__(self, **changes):
        self.clock = testing.ManualClock()
        options = {"slots": 1, "queue": 50, **changes}
        self.slots = admission.ServerSlots(clock=self.clock, **options)
        self.served = []

    async def request(self, name, priority=1, deadline_ms=60_000):
        refusal = await self.slots.acquire(
            deadline_at=self.clock.now() + deadline_ms, priority=priority
        )
        if refusal is not None:
            return refusal
        self.served.append(name)
        await self.clock.sleep(SERVICE_MS)
        self.slots.release(service_ms=SERVICE_MS)
        return None

    def start(self, *names, **options):
        return [
            asyncio.create_task(self.request(name, **options))
            for name in names
        ]


ORDERS = [
    # Priority classes in order of arrival, and the order of service.
    ("priority", [1, 1, 1], [0, 1, 2]),
    ("priority", [5, 5, 1, 3], [2, 3, 0, 1]),
    ("fifo", [5, 5, 1, 3], [0, 1, 2, 3]),
]


@pytest.mark.parametrize("discipline, priorities, order", ORDERS)
def test_waiting_requests_are_served_by_class(discipline, priorities, order):
    async def scenario():
        server = QueuedServer(discipline=discipline)
        tasks = server.start("first")
        await asyncio.sleep(0)
        for name, priority in enumerate(priorities):
            tasks += server.start(name, priority=priority)
        await asyncio.gather(*tasks)
        assert server.served == ["first", *order]

    testing.run_manual(scenario())


def test_lower_class_is_not_starved():
    async def scenario():
        server = QueuedServer()
        tasks = server.start("first")
        await asyncio.sleep(0)
        tasks += server.start("low", priority=7)
        tasks += server.start(*range(30), priority=1)
        await asyncio.gather(*tasks)
        assert server.served.index("low") <= 8

    testing.run_manual(scenario())


@pytest.mark.parametrize("waiting", [0, 1, 5, 20])
@pytest.mark.parametrize("deadline_ms", [150, 250, 650, 10_000])
def test_refusal_is_immediate_and_retry_succeeds_after_delay(
    waiting, deadline_ms
):
    async def scenario():
        server = QueuedServer()
        await server.request("warm")
        tasks = server.start(*range(waiting + 1))
        await asyncio.sleep(0)
        began_at = server.clock.now()
        needed_ms = (waiting + 2) * SERVICE_MS
        refusal = await server.request("late", deadline_ms=deadline_ms)
        if needed_ms <= deadline_ms:
            assert refusal is None
            assert server.clock.now() - began_at <= deadline_ms
        else:
            assert refusal.reason is base.NotRunReason.OVERLOADED
            assert server.clock.now() == began_at
            await server.clock.sleep(refusal.retry_after_ms)
            again = await server.request("again", deadline_ms=deadline_ms)
            assert again is None
        await asyncio.gather(*tasks)

    testing.run_manual(scenario())


def test_full_queue_evicts_request_of_lowest_class():
    async def scenario():
        server = QueuedServer(queue=2)
        tasks = server.start("first")
        await asyncio.sleep(0)
        low = server.start("low-0", "low-1", priority=5)
        await asyncio.sleep(0)
        tasks += server.start("high", priority=1)
        await asyncio.sleep(0)
        refusal = await low[1]
        assert refusal.reason is base.NotRunReason.OVERLOADED
        assert server.clock.now() == 0
        refused = await server.request("low-2", priority=5)
        assert refused.retry_after_ms >= admission.MIN_RETRY_AFTER_MS
        await asyncio.gather(*tasks, *low)
        assert server.served == ["first", "high", "low-0"]

    testing.run_manual(scenario())


def test_queued_request_with_too_little_time_is_refused():
    """The server becomes slower while the request is queued."""

    async def scenario():
        server = QueuedServer()
        await server.slots.acquire(deadline_at=60_000)
        task = asyncio.create_task(server.request("late", deadline_ms=1000))
        await server.clock.sleep(950)
        server.slots.release(service_ms=950)
        refusal = await task
        assert refusal.reason is base.NotRunReason.OVERLOADED
        assert server.served == []
        assert server.slots.running == 0

    testing.run_manual(scenario())


@pytest.mark.parametrize("granted", [False, True])
def test_cancelled_request_releases_its_slot(granted):
    async def scenario():
        server = QueuedServer()
        await server.slots.acquire(deadline_at=60_000)
        task = server.start("cancelled")[0]
        await asyncio.sleep(0)
        if granted:
            server.slots.release(service_ms=SERVICE_MS)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if not granted:
            server.slots.release(service_ms=SERVICE_MS)
        assert server.slots.running == 0
        assert server.slots.count_waiting() == 0

    testing.run_manual(scenario())


def test_server_that_was_frozen_is_used_again_after_one_response():
    """Guards against a server that gets no requests after it was frozen.

    The times of requests that timed out must not outweigh the service times
    of later ones.
    """

    async def scenario():
        clock = testing.ManualClock()
        slots = admission.ServerSlots(slots=4, queue=100, clock=clock)

        async def send(service_ms, lingers=False):
            refusal = await slots.acquire(deadline_at=clock.now() + 400)
            if refusal is None:
                await clock.sleep(service_ms)
                slots.release(service_ms=service_ms, lingers=lingers)
            return refusal

        for _ in range(10):
            assert await send(3) is None
        await asyncio.gather(*(send(400, lingers=True) for _ in range(4)))
        assert await send(3) is not None
        await clock.sleep(2000)
        slots.take_report(0, sent_at=clock.now(), incarnation="one")
        assert [await send(3) for _ in range(10)] == [None] * 10

    testing.run_manual(scenario())
