"""All instances together keep the pace that a cold server can take."""

import asyncio
import time

import pytest

from tarragonhinge.platform import standins
from tarragonhinge.platform.tests import deployment

COLD_RATE = 4.6

#: Requests that a cold server takes in any second (bounds of deployment R).
BOUND = 1.5 * COLD_RATE + 8

SERVICE = {
    "warmup": 3.0,
    "coldPerS": COLD_RATE,
    "healthPath": standins.HEALTH_PATH,
}

#: Time after which a new entry is seen, in seconds.
ENTRY_DELAY_S = 1.7


def _count_most(times):
    return max(
        (sum(at <= t < at + 1 for t in times) for at in times), default=0
    )


def _list_run(server):
    """Return the times of the requests that count: 421 does not."""
    return [execution.began_at for execution in server.executions]


def _make_target(number):
    return f"/x/{number}", number * 7919 % 65_536


async def _start_again(fleet, server, *, down_s):
    """Start a server at its former address; its entry stays the old one."""
    await server.stop()
    await asyncio.sleep(down_s)
    reborn = standins.StandInServer(
        server.name, is_keyed=server.is_keyed, slots=server.slots
    )
    reborn.leases = list(server.leases)
    host, _, port = server.address.rpartition(":")
    await reborn.start(host, int(port))
    reborn.born_ms = server.born_ms + 1
    fleet.servers.append(reborn)
    return reborn


@pytest.mark.parametrize("is_keyed", [False, True])
@pytest.mark.parametrize("down_s", [0.01, 0.3])
def test_server_that_restarts_at_its_address_gets_no_flood(is_keyed, down_s):
    """Guards against requests of all instances before the entry is seen."""

    async def run():
        async with deployment.Deployment(
            instances=8, servers=2, is_keyed=is_keyed, service=SERVICE
        ) as fleet:
            load = asyncio.create_task(
                fleet.repeat(_make_target, seconds=6.0, every_ms=12)
            )
            await asyncio.sleep(1.5)
            reborn = await _start_again(fleet, fleet.servers[0], down_s=down_s)
            started_at = time.monotonic()
            await asyncio.sleep(ENTRY_DELAY_S)
            fleet.list_server(reborn, cold_ms=1_300)
            await load
            ran = [at for at in _list_run(reborn) if at < started_at + 3.0]
            assert _count_most(ran) <= BOUND
            assert set(fleet.list_statuses()) <= {200, 502, 503}

    asyncio.run(run())


def test_zone_that_is_taken_back_gets_what_its_servers_take():
    """Guards against a crash of cold servers, and against idle warm ones."""

    async def run():
        async with deployment.Deployment(
            instances=4, servers=3, service=SERVICE
        ) as fleet:
            cold, warm, other = fleet.servers
            for server in (cold, warm):
                fleet.list_server(server, zone="y")
            cold.warm_up_ms, warm.warm_up_ms = "2000", "0"
            views = [instance._view for instance in fleet.instances]
            await fleet.wait(
                lambda: all(v.servers[warm.name].zone == "y" for v in views)
            )
            for view in views:
                view.set_evacuated_zones({"y"})
            for view in views:
                view.set_evacuated_zones(())
            returned_at = time.monotonic()
            # More than one of both can take, so that each is needed.
            for server in fleet.servers:
                server.work_s = 0.2
            other.mode = "shed"
            await fleet.repeat(_make_target, seconds=4.0, every_ms=16)
            assert [len(s.health_checks) for s in fleet.servers] == [1, 1, 0]

            def list_run(server, since_s, until_s):
                return [
                    at
                    for at in _list_run(server)
                    if since_s <= at - returned_at < until_s
                ]

            for server in (cold, warm):
                assert _count_most(list_run(server, 0, 0.3)) <= BOUND
            assert _count_most(list_run(cold, 0, 2.0)) <= BOUND
            # Both get more than a cold server does in 1.5 s.
            least = 1.5 * COLD_RATE + 2
            assert len(list_run(warm, 0.5, 2.0)) > least
            assert len(list_run(cold, 2.5, 4.0)) > least

    asyncio.run(run())


@pytest.mark.parametrize("is_keyed", [False, True])
def test_server_that_becomes_cold_gets_its_rate(is_keyed):
    """Guards against a flood from the time at which the entry is seen."""

    async def run():
        async with deployment.Deployment(
            instances=8, servers=2, is_keyed=is_keyed, service=SERVICE
        ) as fleet:
            server = fleet.servers[0]
            for each in fleet.servers:
                each.work_s = 0.1
            load = asyncio.create_task(
                fleet.repeat(_make_target, seconds=8.0, every_ms=14)
            )
            await asyncio.sleep(2.0)
            fleet.list_server(server, cold_ms=2_800)
            listed_at = time.monotonic()
            await load
            ran = [
                at
                for at in _list_run(server)
                if listed_at + 0.3 <= at < listed_at + 2.8
            ]
            assert _count_most(ran) <= BOUND
            # It is not left idle, and is used again afterwards.
            assert len(ran) >= 0.25 * COLD_RATE * 2.5
            late = [at for at in _list_run(server) if at > listed_at + 4.0]
            assert len(late) >= 4 * COLD_RATE

    asyncio.run(run())
