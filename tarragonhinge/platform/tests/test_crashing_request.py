"""A request that crashes its servers is refused by all instances.

Other requests are served meanwhile.
"""

import asyncio
import itertools

import pytest

from tarragonhinge.platform.tests import deployment

CRASHING = "/x/crashing"

#: Bounds of the rule BUDGET: number of servers that the request may crash,
#: time in seconds after which all instances refuse it, and number of times
#: that it may reach a server later.
MAX_CRASHES = 3
CONTACT_S = 3.0
MAX_LATER_ARRIVALS = 3

#: Time from a crash until the server is back, in seconds.
RESTART_S = 1.5


def _list_late_arrivals(fleet):
    """Return the arrivals later than `CONTACT_S` after the third crash."""
    crashes = fleet.list_crashes()
    assert len(crashes) >= MAX_CRASHES
    ends_at = crashes[MAX_CRASHES - 1] + CONTACT_S
    return [at for at in fleet.list_arrivals(CRASHING) if at > ends_at]


async def _repeat_crashing(fleet, *, seconds, every_ms):
    for server in fleet.servers:
        server.crashing_targets = {CRASHING}
        server.work_s = 0.02
    fleet.restart_crashed(after_s=RESTART_S, keeps_name=False)
    await fleet.repeat(
        lambda _: (CRASHING, 7), seconds=seconds, every_ms=every_ms
    )


@pytest.mark.parametrize(
    ("every_ms", "instances", "servers", "is_keyed", "seconds"),
    [
        (300, 3, 6, False, 8.0),
        (150, 9, 12, False, 8.0),
        (1_200, 3, 8, False, 12.0),
        (300, 3, 4, True, 14.0),
    ],
)
def test_request_that_crashed_three_servers_is_refused(
    every_ms, instances, servers, is_keyed, seconds
):
    async def run():
        async with deployment.Deployment(
            instances=instances, servers=servers, is_keyed=is_keyed
        ) as fleet:
            await _repeat_crashing(fleet, seconds=seconds, every_ms=every_ms)
            late = _list_late_arrivals(fleet)
            assert len(late) <= MAX_LATER_ARRIVALS
            assert fleet.count_reason("crashes_servers", prefix=CRASHING)
            # No status promises a caller that its attempt has not run, unless
            # that is so.
            assert set(fleet.list_statuses()) <= {502, 503, 504}

    asyncio.run(run())


@pytest.mark.parametrize("is_popular", [False, True])
def test_other_requests_are_served_beside_crashing_one(is_popular):
    numbers = itertools.count()

    def make_target(_):
        return f"/x/good/{0 if is_popular else next(numbers)}", 0

    async def run():
        async with deployment.Deployment(instances=3, servers=8) as fleet:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    _repeat_crashing(fleet, seconds=9.0, every_ms=300)
                )
                group.create_task(
                    fleet.repeat(make_target, seconds=9.0, every_ms=30)
                )
            assert fleet.count_reason("crashes_servers", prefix="/x/good") == 0
            await fleet.repeat(make_target, seconds=1.0, every_ms=30)
            later = fleet.list_statuses("/x/good")[-25:]
            assert set(later) == {200}

    asyncio.run(run())


def test_crashed_server_is_avoided_by_instances_that_did_not_see_it():
    """Its entry stays for some seconds, and each attempt there fails."""

    async def run():
        async with deployment.Deployment(instances=3, servers=2) as fleet:
            for server in fleet.servers:
                server.work_s = 0.02
            await fleet.repeat(
                lambda n: (f"/x/good/{n}", 0), seconds=0.5, every_ms=20
            )
            fleet.servers[0].crashing_targets = {CRASHING}
            while not fleet.list_crashes():
                await fleet.send(CRASHING, number=0)
            await asyncio.sleep(0.3)
            fleet.responses.clear()
            unsent = [_count_unsent(i) for i in fleet.instances]
            await fleet.repeat(
                lambda n: (f"/x/good/{n}", 0), seconds=2.0, every_ms=20
            )
            assert [_count_unsent(i) for i in fleet.instances] == unsent
            assert set(fleet.list_statuses()) == {200}

    asyncio.run(run())


def _count_unsent(instance):
    """Return the number of attempts for which there was no connection."""
    value = instance.gateway.metrics.registry.get_sample_value(
        "tarragonhinge_gateway_attempts_failed_total", {"outcome": "unsent"}
    )
    return value or 0
