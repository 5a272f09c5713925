"""Losses under each grant dialect, and edits that declare a loss."""

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge import testing

S0 = base.ServerId("s0")

#: Longer than any wait for the expiry of a lease or grant.
SETTLED_MS = 4000


async def _start(dialect, **options):
    row = testing.make_row(servers=2, dialect=dialect)
    deployment = testing.Deployment(row=row, **options)
    monitor = deployment.watch()
    await deployment.start()
    return deployment, monitor


async def _watch(deployment, monitor, duration_ms):
    for _ in range(duration_ms // 50):
        await deployment.wait(50)
        monitor.verify()


async def _edit(deployment, **changes):
    """Apply an operator's edit and wait until it has taken effect."""
    store = deployment.nodes[0].instance.store
    deployment.row = msgspec.structs.replace(deployment.row, **changes)
    version = deployment.nodes[0].instance.view.current.version
    await store.apply_edit([deployment.row], expected=version)
    await deployment.wait(3000)


def _list_servers(deployment):
    row = deployment.table.get_row(shards.make_record_key(deployment.shard))
    owners = shards.decode_record(row.value).owners.values()
    return {assignment.server for assignment in owners}


@pytest.mark.parametrize(
    ("dialect", "moves"),
    [("lapsing", True), ("until-token", False), ("unchecked", False)],
)
def test_partitions_leave_a_silent_server_only_where_grants_lapse(
    dialect, moves
):
    async def scenario():
        deployment, monitor = await _start(dialect)
        deployment.servers[S0].clock.pause()
        await _watch(deployment, monitor, SETTLED_MS)
        assert (S0 not in _list_servers(deployment)) is moves
        deployment.servers[S0].clock.resume()
        await _watch(deployment, monitor, SETTLED_MS)

    testing.run_manual(scenario())


@pytest.mark.parametrize("dialect", ["lapsing", "until-token", "unchecked"])
def test_partitions_leave_a_server_that_is_declared_lost(dialect):
    async def scenario():
        deployment, monitor = await _start(dialect)
        deployment.servers[S0].restart()
        deployment.servers[S0].up = False
        await _edit(deployment, lost=[S0])
        await _watch(deployment, monitor, SETTLED_MS)
        assert S0 not in _list_servers(deployment)

    testing.run_manual(scenario())


@pytest.mark.parametrize("dialect", ["lapsing", "until-token", "unchecked"])
def test_a_draining_server_is_emptied(dialect):
    async def scenario():
        deployment, monitor = await _start(dialect)
        deployment.servers[S0].draining = True
        await _watch(deployment, monitor, 2000)
        assert S0 not in _list_servers(deployment)

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("dialect", "waits"),
    [("lapsing", False), ("until-token", False), ("unchecked", True)],
)
def test_a_new_leader_waits_for_the_old_one_if_terms_are_unchecked(
    dialect, waits
):
    async def scenario():
        deployment, monitor = await _start(dialect)
        old_leader = deployment.find_leaders()[0]
        new_leader = deployment.find_standby()
        await old_leader.kill()
        while deployment.find_leaders() != [new_leader]:
            await deployment.wait(10)
        leadership = deployment.find_leadership(new_leader)
        await _watch(deployment, monitor, 100)
        refusal = leadership.authorize(base.PartitionId(1))
        assert isinstance(refusal, base.NotRun) is waits
        await _watch(deployment, monitor, deployment.timing.lease_ms + 100)
        assert not isinstance(
            leadership.authorize(base.PartitionId(1)), base.NotRun
        )

    testing.run_manual(scenario())


@pytest.mark.parametrize("declared", [True, False])
def test_a_claimant_does_not_wait_for_instances_declared_lost(declared):
    async def scenario():
        deployment, monitor = await _start("lapsing")
        lost = [deployment.find_leaders()[0], deployment.find_standby()]
        for node in lost:
            await node.kill()
        deployment.servers[S0].up = False
        names = [node.instance.options.name for node in lost]
        alive = [node for node in deployment.nodes if node not in lost]
        deployment.nodes.sort(key=lambda node: node in lost)
        await _edit(deployment, lost=names if declared else [])
        await _watch(deployment, monitor, 6000)
        assert deployment.find_leaders() == alive
        assert (S0 in _list_servers(deployment)) is not declared
        bound_ms = deployment.timing.outage_lease_ms
        await _watch(deployment, monitor, bound_ms + 2000)
        assert S0 not in _list_servers(deployment)

    testing.run_manual(scenario())
