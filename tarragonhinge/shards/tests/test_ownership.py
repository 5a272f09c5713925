"""Ownership after losses of servers and instances, on a manual clock."""

import pytest

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge import testing

KEYS = [f"k{number}" for number in range(8)]

#: Target: a key is served again within this time after a loss.
SERVED_AGAIN_MS = 2000


async def _measure_unserved(deployment, nodes, keys):
    """Return the time in milliseconds until all keys are served again."""
    clock = nodes[0].clock
    lost_at = clock.now()
    waiting = set(keys)
    while waiting:
        for key in sorted(waiting):
            outcome = await deployment.send(nodes[0], key, deadline_ms=50)
            if isinstance(outcome, base.Answered):
                waiting.discard(key)
        assert clock.now() - lost_at < 20_000, waiting
        await deployment.wait(10)
    return clock.now() - lost_at


async def _serve_all(deployment):
    outcomes = [
        await deployment.send(node, key)
        for node in deployment.nodes
        for key in KEYS
    ]
    assert all(isinstance(o, base.Answered) for o in outcomes), outcomes


def _assert_one_owner(deployment):
    for partition in range(deployment.row.partitions):
        assert len(deployment.find_owners(partition)) <= 1, partition


@pytest.mark.parametrize("instances", [1, 2, 3, 9])
def test_all_keys_are_served_through_any_instance(instances):
    async def scenario():
        deployment = testing.Deployment(instances=instances)
        await deployment.start()
        await _serve_all(deployment)
        assert len(deployment.find_leaders()) == 1
        _assert_one_owner(deployment)

    testing.run_manual(scenario())


@pytest.mark.parametrize("loss", ["server", "leader", "standby"])
def test_keys_are_served_again_after_a_loss(loss):
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        await _serve_all(deployment)
        leader = deployment.find_leaders()[0]
        lost = leader
        if loss == "server":
            deployment.servers[base.ServerId("s0")].up = False
        elif loss == "standby":
            leadership = leader.instance.coordinator.leaders["balances/centro"]
            name = leadership.record.standby.instance
            lost = next(
                node
                for node in deployment.nodes
                if node.instance.options.name == name
            )
        if loss != "server":
            await lost.kill()
        entries = [node for node in deployment.nodes if node is not lost]
        took_ms = await _measure_unserved(deployment, entries, KEYS)
        assert took_ms <= SERVED_AGAIN_MS
        _assert_one_owner(deployment)

    testing.run_manual(scenario())


def test_a_leader_lost_right_after_a_write_is_replaced_in_time():
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        leader = deployment.find_leaders()[0]
        leadership = leader.instance.coordinator.leaders["balances/centro"]
        version = leadership.recorder.row_version
        deployment.servers[base.ServerId("s0")].up = False
        while leadership.recorder.row_version == version:
            await deployment.wait(1)
        await leader.kill()
        entries = [node for node in deployment.nodes if node is not leader]
        took_ms = await _measure_unserved(deployment, entries, KEYS)
        timing = shards.Timing()
        assert took_ms <= timing.silence_ms + timing.heartbeat_ms

    testing.run_manual(scenario())


def test_loss_of_a_server_moves_only_its_own_partitions():
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        leader = deployment.find_leaders()[0]
        leadership = leader.instance.coordinator.leaders["balances/centro"]
        before = dict(leadership.record.owners)
        deployment.servers[base.ServerId("s0")].up = False
        await deployment.wait(5000)
        moved = {
            partition
            for partition, assignment in leadership.record.owners.items()
            if before[partition] != assignment
        }
        assert moved == {p for p, a in before.items() if a.server == "s0"}

    testing.run_manual(scenario())


def test_a_leader_sends_nothing_after_a_long_pause():
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        old_leader = deployment.find_leaders()[0]
        leadership = old_leader.instance.coordinator.leaders["balances/centro"]
        old_leader.clock.pause()
        await deployment.wait(5000)
        old_leader.clock.resume()
        refusal = leadership.authorize(base.PartitionId(0))
        assert isinstance(refusal, base.NotRun)
        await deployment.wait(3000)
        assert len(deployment.find_leaders()) == 1
        assert leadership.state is shards.LeaderState.DEPOSED

    testing.run_manual(scenario())


def test_authority_lasts_while_lost_standbys_are_replaced():
    async def scenario():
        deployment = testing.Deployment(instances=6)
        await deployment.start()
        lost = [deployment.find_leaders()[0], deployment.find_standby()]
        zone = lost[0].instance.options.zone
        for node in deployment.nodes:
            if node.instance.options.zone == zone or node in lost[:1]:
                await node.kill()
        await deployment.wait(2000)
        leader = deployment.find_leadership(deployment.find_leaders()[0])
        for _ in range(500):
            assert leader.authority.is_valid()
            await deployment.wait(20)

    testing.run_manual(scenario())


def test_a_late_confirmation_does_not_extend_a_revoked_lease():
    async def scenario():
        lease = shards.AuthorityLease(clock=base.Clock())
        lease.extend(sent_at=base.Clock().now(), lease_ms=1000)
        assert lease.is_valid()
        lease.revoke()
        lease.extend(sent_at=base.Clock().now(), lease_ms=1000)
        assert not lease.is_valid()
        assert lease.get_remaining_ms() == 0

    testing.run_manual(scenario())


def test_a_leader_that_left_the_list_is_not_deposed_while_it_replies():
    async def scenario():
        deployment = testing.Deployment(instances=4)
        await deployment.start()
        leader = deployment.find_leaders()[0]
        standby = deployment.find_standby()
        for node in (leader, standby):
            name = node.instance.options.name
            deployment.instance_list.entries.pop(name)
        await deployment.wait(6000)
        assert deployment.find_leaders() == [leader]

    testing.run_manual(scenario())


def test_an_instance_without_a_role_suggests_a_candidate():
    async def scenario():
        deployment = testing.Deployment(instances=9)
        await deployment.start()
        shard = deployment.shard
        suggested = {
            node.instance.coordinator.find_leader_address(shard)
            for node in deployment.nodes
        }
        leader = deployment.find_leaders()[0]
        assert leader.address in suggested
        suggests_nobody = [
            node
            for node in deployment.nodes
            if not node.instance.coordinator.find_leader_address(shard)
        ]
        assert len(suggests_nobody) <= 1
        elsewhere = base.ShardId("balances/sur")
        assert not leader.instance.coordinator.find_leader_address(elsewhere)

    testing.run_manual(scenario())


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("up", [4, 3])
def test_first_owners_are_spread_although_replies_are_delayed(seed, up):
    """The first server to reply must not get all partitions."""

    async def scenario():
        deployment = testing.Deployment(
            row=testing.make_row(servers=4, partitions=24),
            network=testing.MemoryNetwork(jitter_ms=50, seed=seed),
        )
        live = list(deployment.servers.values())[:up]
        for server in deployment.servers.values():
            server.up = server in live
        await deployment.start(settle_ms=2000)
        owned = [len(s.list_owned(deployment.shard)) for s in live]
        assert owned == [24 // up] * up

    testing.run_manual(scenario())
