"""Outages of the store: serving goes on, and ownership holds."""

import pytest

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge import testing

S0 = base.ServerId("s0")
S1 = base.ServerId("s1")

#: Short, so that a test can wait for its end.
TIMING = shards.Timing(outage_lease_ms=12_000)


async def _start(*, down=True):
    deployment = testing.Deployment(
        row=testing.make_row(servers=2), timing=TIMING
    )
    monitor = deployment.watch()
    await deployment.start()
    if down:
        _set_store(deployment, down=True)
        await deployment.wait(4000)
    return deployment, monitor


def _set_store(deployment, *, down):
    for node in deployment.nodes:
        node.table.down = down


def _find_stranger(deployment):
    roles = (deployment.find_leaders()[0], deployment.find_standby())
    return next(node for node in deployment.nodes if node not in roles)


async def _watch(deployment, monitor, duration_ms):
    for _ in range(duration_ms // 50):
        await deployment.wait(50)
        monitor.verify()


async def _count_served(deployment, node):
    # The first request finds out that the leader it knew is lost.
    await deployment.send(node, "k0", deadline_ms=300)
    outcomes = [
        await deployment.send(node, f"k{number}", deadline_ms=300)
        for number in range(8)
    ]
    return sum(isinstance(o, base.Answered) for o in outcomes)


def _read_record(deployment):
    row = deployment.table.get_row(shards.make_record_key(deployment.shard))
    return shards.decode_record(row.value)


@pytest.mark.parametrize("loss", ["nothing", "standby", "leader"])
def test_serving_goes_on_without_the_store(loss):
    async def scenario():
        deployment, monitor = await _start()
        stranger = _find_stranger(deployment)
        written = deployment.table.write_count
        if loss == "standby":
            await deployment.find_standby().kill()
        elif loss == "leader":
            await deployment.find_leaders()[0].kill()
        await _watch(deployment, monitor, 1500)
        assert await _count_served(deployment, stranger) == 8
        await _watch(deployment, monitor, 3000)
        assert await _count_served(deployment, stranger) == 8
        assert deployment.table.write_count == written

    testing.run_manual(scenario())


@pytest.mark.parametrize("loss", ["standby", "leader"])
def test_serving_without_the_store_ends_with_the_long_lease(loss):
    async def scenario():
        deployment, monitor = await _start()
        stranger = _find_stranger(deployment)
        lost = deployment.find_leaders()[0]
        if loss == "standby":
            lost = deployment.find_standby()
        await lost.kill()
        await _watch(deployment, monitor, TIMING.outage_lease_ms)
        assert await _count_served(deployment, stranger) == 0
        _set_store(deployment, down=False)
        await _watch(deployment, monitor, 4000)
        assert await _count_served(deployment, stranger) == 8

    testing.run_manual(scenario())


def test_a_takeover_without_the_table_is_recorded_afterwards():
    async def scenario():
        deployment, monitor = await _start()
        before = _read_record(deployment)
        standby = deployment.find_standby()
        await deployment.find_leaders()[0].kill()
        await _watch(deployment, monitor, 1500)
        deployment.servers[S0].up = False
        await _watch(deployment, monitor, 3000)
        assert deployment.find_leaders() == [standby]
        copy = deployment.find_leadership(standby).record
        assert copy.term == before.term + 1
        assert copy.owners == before.owners
        _set_store(deployment, down=False)
        await _watch(deployment, monitor, 4000)
        assert _read_record(deployment).term == before.term + 1

    testing.run_manual(scenario())


def test_a_restarted_standby_inherits_no_agreement():
    async def scenario():
        deployment, monitor = await _start()
        standby = deployment.find_standby()
        number = deployment.nodes.index(standby)
        await standby.kill()
        await deployment.restart(number)
        await _watch(deployment, monitor, 1000)
        await deployment.find_leaders()[0].kill()
        await _watch(deployment, monitor, 3000)
        assert deployment.find_leaders() == []

    testing.run_manual(scenario())


def test_a_leader_back_at_the_store_raises_its_term_before_it_moves():
    async def scenario():
        deployment, monitor = await _start()
        leader = deployment.find_leaders()[0]
        standby = deployment.find_standby()
        before = _read_record(deployment)
        deployment.isolate(standby, reaches=[S0])
        deployment.network.cut_both(leader.address, S0)
        leader.table.down = False
        await _watch(deployment, monitor, 6000)
        record = _read_record(deployment)
        assert record.term == before.term + 2
        assert record.owners == before.owners
        await _watch(deployment, monitor, TIMING.outage_lease_ms)
        owners = _read_record(deployment).owners.values()
        assert {assignment.server for assignment in owners} == {S1}

    testing.run_manual(scenario())


async def _strand_pair_with_server():
    """A stranger claims while leader, standby and a server are cut off."""
    deployment, monitor = await _start(down=False)
    leader = deployment.find_leaders()[0]
    standby = deployment.find_standby()
    stranger = _find_stranger(deployment)
    deployment.isolate(leader, reaches=[S0, standby.address])
    deployment.isolate(standby, reaches=[S0, leader.address])
    deployment.network.cut_both(stranger.address, S0)
    await _watch(deployment, monitor, 2 * TIMING.outage_lease_ms)
    owners = _read_record(deployment).owners.values()
    assert {assignment.server for assignment in owners} == {S1}


def test_a_stranger_waits_out_an_island():
    testing.run_manual(_strand_pair_with_server())


def test_an_island_needs_its_bound(monkeypatch):
    def extend(self, reply, sent_at):
        self.authority.extend(sent_at=sent_at, lease_ms=reply.lease_ms)

    monkeypatch.setattr(shards.ShardLeader, "_extend_by_standby", extend)
    with pytest.raises(AssertionError, match=r"at \d+ ms"):
        testing.run_manual(_strand_pair_with_server())


async def _take_over_from_a_promised_island():
    """A standby back at the store takes over from an isolated leader."""
    deployment, monitor = await _start()
    leader = deployment.find_leaders()[0]
    standby = deployment.find_standby()
    standby.table.down = False
    await _watch(deployment, monitor, 2500)
    deployment.isolate(leader, reaches=[S0])
    deployment.network.cut_both(standby.address, S0)
    await _watch(deployment, monitor, 2 * TIMING.outage_lease_ms)
    owners = _read_record(deployment).owners.values()
    assert {assignment.server for assignment in owners} == {S1}


def test_a_standby_keeps_its_promise():
    testing.run_manual(_take_over_from_a_promised_island())


def test_an_ignored_promise_is_noticed(monkeypatch):
    monkeypatch.setattr(
        shards.ShardCoordinator, "_get_promise", lambda self, shard: 0
    )
    with pytest.raises(AssertionError, match=r"at \d+ ms"):
        testing.run_manual(_take_over_from_a_promised_island())
