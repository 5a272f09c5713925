"""A server that turns an instance away for a time is left alone so long."""

import asyncio
import collections
import re
import time

import pytest

from tarragonhinge.platform.tests import deployment

#: Bounds of the rule BUDGET: time in seconds after a response that asks for a
#: wait from which at most this many requests may arrive within the wait.
SLACK_S = 0.5
MAX_ARRIVALS = 2


def _make_target(number):
    return f"/x/{number}", number * 7919 % 65_536


def _count_most(fleet, server, wait_s):
    """Return the largest number of arrivals in a wait of one instance.

    All arrivals are turned away, so that each of them begins a wait.
    """
    by_instance = collections.defaultdict(list)
    for at, attempt in server.arrivals:
        by_instance[fleet.instance_ips[attempt]].append(at)
    return max(
        (
            sum(at + SLACK_S < t < at + wait_s for t in times)
            for times in by_instance.values()
            for at in times
        ),
        default=0,
    )


def _list_retry_after(fleet):
    """Return the times in seconds after which callers may come back."""
    found = [
        re.search(rb"retry-after: ([0-9.]+)", response.lower())
        for _, status, response in fleet.responses
        if status == 503
    ]
    return [float(match.group(1)) for match in found]


@pytest.mark.parametrize("is_keyed", [False, True])
@pytest.mark.parametrize(
    ("wait", "instances", "servers"),
    [("3", 3, 1), ("3", 3, 3), ("1.5", 8, 3), ("0.9", 2, 1)],
)
def test_server_is_left_alone_for_the_time_that_it_states(
    wait, instances, servers, is_keyed
):
    async def run():
        async with deployment.Deployment(
            instances=instances, servers=servers, is_keyed=is_keyed
        ) as fleet:
            busy = fleet.servers[0]
            await fleet.repeat(_make_target, seconds=0.5, every_ms=20)
            busy.wait = wait
            busy.arrivals.clear()
            fleet.responses.clear()
            await fleet.repeat(_make_target, seconds=5.0, every_ms=20)
            assert busy.arrivals
            assert _count_most(fleet, busy, float(wait)) <= MAX_ARRIVALS
            if servers > 1 and not is_keyed:
                assert set(fleet.list_statuses()) == {200}
            # Callers hear when there will be room.
            assert all(
                0 < s <= float(wait) + 0.6 for s in _list_retry_after(fleet)
            )
            busy.wait = None
            await asyncio.sleep(float(wait))
            fleet.responses.clear()
            await fleet.repeat(_make_target, seconds=0.5, every_ms=20)
            assert set(fleet.list_statuses()) == {200}

    asyncio.run(run())


@pytest.mark.parametrize("is_keyed", [False, True])
def test_wait_outlasts_gaps_in_the_list_of_servers(is_keyed):
    """An entry may be missing for a moment, as after a store outage."""

    async def run():
        async with deployment.Deployment(
            instances=2, servers=2, is_keyed=is_keyed
        ) as fleet:
            busy = fleet.servers[0]
            busy.wait = "5"
            callers = asyncio.create_task(
                fleet.repeat(_make_target, seconds=4.5, every_ms=20)
            )
            for _ in range(4):
                await asyncio.sleep(0.8)
                fleet.store.remove("servers", busy.name)
                await asyncio.sleep(0.1)
                fleet.list_server(busy)
            await callers
            assert busy.arrivals
            assert _count_most(fleet, busy, 5.0) <= MAX_ARRIVALS

    asyncio.run(run())


def test_refusal_is_immediate_and_no_failure():
    async def run():
        async with deployment.Deployment(instances=1, servers=1) as fleet:
            fleet.servers[0].wait = "3"
            await fleet.send("/x/1")
            load = fleet.instances[0].gateway.links.find("i-0").load
            assert not load.is_cooling_down()
            assert load.health.compute_error_ratio() == 0
            began_at = time.monotonic()
            assert await fleet.send("/x/2") == 503
            # Far less than the wait or the deadline of the request.
            assert time.monotonic() - began_at < 1.0
            assert 2 < _list_retry_after(fleet)[-1] < 4

    asyncio.run(run())


@pytest.mark.parametrize(
    "wait", ["-1", "soon", "Fri, 04 Dec 2026 12:00:00 GMT", "9" * 5_000, "1e3"]
)
def test_malformed_wait_is_ignored(wait):
    async def run():
        async with deployment.Deployment(instances=1, servers=1) as fleet:
            busy = fleet.servers[0]
            busy.wait = wait
            assert await fleet.send("/x/1") == 503
            busy.wait = None
            await asyncio.sleep(0.5)
            assert await fleet.send("/x/2") == 200

    asyncio.run(run())
