"""A server that says that it leaves gets no further requests.

It says so in its responses, whatever its entry in the store states.
"""

import asyncio
import collections

import pytest

from tarragonhinge.platform.tests import deployment

#: Bound of the rule DRAIN: time in seconds after a response that says so from
#: which the instance that passed it on sends nothing to the server.
DRAIN_S = 2.5


def _list_late(fleet, server):
    """Return the arrivals that came too late, for all instances."""
    answered_at = {}
    for execution in server.executions:
        ip = fleet.instance_ips[execution.attempt]
        answered_at.setdefault(ip, execution.ended_at)
    return [
        attempt
        for at, attempt in server.arrivals
        if at > answered_at.get(fleet.instance_ips[attempt], at) + DRAIN_S
    ]


def _make_target(number):
    return f"/x/{number}", number * 7919 % 65_536


@pytest.mark.parametrize("is_keyed", [False, True])
@pytest.mark.parametrize("servers", [1, 3])
def test_leaving_server_gets_no_further_requests(servers, is_keyed):
    async def run():
        async with deployment.Deployment(
            instances=3, servers=servers, is_keyed=is_keyed
        ) as fleet:
            leaving = fleet.servers[0]
            await fleet.repeat(_make_target, seconds=0.5, every_ms=20)
            leaving.leaving = "1"
            leaving.executions.clear()
            leaving.arrivals.clear()
            await fleet.repeat(_make_target, seconds=5.0, every_ms=20)
            assert leaving.executions
            assert _list_late(fleet, leaving) == []
            fleet.responses.clear()
            await fleet.repeat(_make_target, seconds=0.5, every_ms=20)
            statuses = collections.Counter(fleet.list_statuses())
            if servers > 1:
                assert set(statuses) == {200}
            else:
                assert set(statuses) == {503}
                assert all(
                    b"retry-after" in response.lower()
                    for _, _, response in fleet.responses
                )

    asyncio.run(run())


@pytest.mark.parametrize("value", ["0", "yes", "", "1, 1", "11", "1" * 5_000])
def test_other_values_are_ignored(value):
    async def run():
        async with deployment.Deployment(instances=1, servers=1) as fleet:
            fleet.servers[0].leaving = value
            await fleet.repeat(_make_target, seconds=0.5, every_ms=20)
            assert set(fleet.list_statuses()) == {200}

    asyncio.run(run())


@pytest.mark.parametrize("is_keyed", [False, True])
def test_restart_under_the_same_name_ends_it(is_keyed):
    async def run():
        async with deployment.Deployment(
            instances=2, servers=1, is_keyed=is_keyed
        ) as fleet:
            server = fleet.servers[0]
            server.leaving = "1"
            await fleet.repeat(_make_target, seconds=3.0, every_ms=50)
            assert fleet.list_statuses()[-1] == 503
            await fleet.restart(server)
            await fleet.wait_until_ready()
            await asyncio.sleep(0.5)
            fleet.responses.clear()
            await fleet.repeat(_make_target, seconds=0.5, every_ms=50)
            assert set(fleet.list_statuses()) == {200}

    asyncio.run(run())


def test_other_instances_hear_of_it():
    """They don't send anything to it before it says so to them."""

    async def run():
        async with deployment.Deployment(instances=3, servers=2) as fleet:
            leaving = fleet.servers[0]
            leaving.leaving = "1"
            while not leaving.executions:
                await fleet.send("/x/1", number=0)
            await asyncio.sleep(0.5)
            count = len(leaving.arrivals)
            await fleet.repeat(_make_target, seconds=1.0, every_ms=20)
            assert len(leaving.arrivals) == count

    asyncio.run(run())
