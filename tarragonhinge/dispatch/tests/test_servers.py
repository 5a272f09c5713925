"""Dispatch to servers that shed load, restart, drain, slow down or fail."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import testing

#: Requirement: a draining server gets no new requests after a few seconds.
DRAIN_LIMIT_MS = 3000


async def _start(*, load=0.8, service_ms=50, **changes):
    """Start a deployment, and make a steady load for its servers."""
    row = testing.make_row(partitions=66, **changes)
    deployment = testing.Deployment(row=row)
    for server in deployment.servers.values():
        server.service_ms = service_ms
    await deployment.start()
    capacity = len(deployment.servers) * row.slots * 1000 / service_ms
    open_load = testing.OpenLoad(deployment=deployment, rate=load * capacity)
    return deployment, open_load


def _count_runs(server, since_ms):
    return sum(run.at_ms >= since_ms for run in server.runs)


def _get_loop_time_ms():
    return int(asyncio.get_running_loop().time() * base.MS_PER_S)


def _get_server_state(deployment, server):
    """Return the leader's dumped state of a server."""
    leader = deployment.find_leaders()[0].instance
    dump = leader.dispatcher.dump()["limits"]["balances/centro"]
    address = next(
        e.address for e in deployment.row.servers if e.server == server
    )
    return dump["servers"][address]


def test_shedding_server_gets_less_load_and_keeps_its_keys():
    async def scenario():
        deployment, open_load = await _start(load=1.5)
        load = asyncio.create_task(open_load.run(8000))
        await deployment.wait(2000)
        shedding = deployment.servers["s0"]
        shedding.shedding = True
        await deployment.wait(1000)
        assert _get_server_state(deployment, "s0")["window"] == 1
        shedding.shedding = False
        await deployment.wait(2000)
        assert _get_server_state(deployment, "s0")["window"] == 2
        leader = deployment.find_leaders()[0].instance
        owners = leader.coordinator.leaders["balances/centro"].owners
        assert owners.moved_count == 66
        await load

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("ramp_ms", "running_during_ramp"), [(4000, 1), (0, 2)]
)
def test_restarted_server_ramps_up(ramp_ms, running_during_ramp):
    async def scenario():
        deployment, open_load = await _start(load=1.5, ramp_ms=ramp_ms)
        load = asyncio.create_task(open_load.run(12_000))
        await deployment.wait(2000)
        server = deployment.servers["s0"]
        server.up = False
        await deployment.wait(300)
        server.restart()
        server.most_running = 0
        await deployment.wait(1900)
        assert server.most_running == running_during_ramp
        await deployment.wait(4000)
        assert server.most_running == 2
        await load

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    "key_source", [configuration.KeySource.PATH, configuration.KeySource.NONE]
)
def test_draining_server_gets_no_new_requests(key_source):
    async def scenario():
        deployment, open_load = await _start(key_source=key_source, load=0.6)
        load = asyncio.create_task(open_load.run(8000))
        await deployment.wait(2000)
        server = deployment.servers["s0"]
        server.draining = True
        await deployment.wait(DRAIN_LIMIT_MS)
        drained_at = _get_loop_time_ms()
        await load
        assert _count_runs(server, drained_at) == 0
        assert open_load.count_good() >= 0.98 * len(open_load.samples)

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("picker", "slow_ms", "min_good_ratio"),
    [("least_loaded", 400, 0.95), ("round_robin", 400, 0.0)],
)
def test_requests_without_a_key_avoid_a_slow_server(
    picker, slow_ms, min_good_ratio
):
    async def scenario():
        deployment, open_load = await _start(
            key_source=configuration.KeySource.NONE, picker=picker, load=0.6
        )
        deployment.servers["s0"].service_ms = slow_ms
        await open_load.run(8000)
        return open_load.count_good() / len(open_load.samples)

    good_ratio = testing.run_manual(scenario())
    assert good_ratio >= min_good_ratio
    if picker == "round_robin":
        assert good_ratio < 0.95, "the baseline shows no difference"


@pytest.mark.parametrize("failing", [1, 2, 3])
def test_failing_servers_get_few_requests_but_some(failing):
    async def scenario():
        deployment, open_load = await _start(
            key_source=configuration.KeySource.NONE, load=0.3
        )
        for server in list(deployment.servers.values())[:failing]:
            server.status = 500
            server.service_ms = 1
        since_ms = _get_loop_time_ms()
        await open_load.run(8000)
        runs = [
            _count_runs(server, since_ms)
            for server in deployment.servers.values()
        ]
        assert min(runs) > 0
        if failing == 1:
            assert runs[0] < 0.1 * sum(runs)
        if failing == 3:
            assert min(runs) > 0.1 * sum(runs)

    testing.run_manual(scenario())
