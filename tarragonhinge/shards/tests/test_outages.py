"""Outages of the store: requests are served, and owners stay unique."""

import collections

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge import testing

S0 = base.ServerId("s0")
S1 = base.ServerId("s1")

#: The outage lease is short, so that a test can wait for its expiry.
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


def _find_third_instance(deployment):
    roles = (deployment.find_leaders()[0], deployment.find_standby())
    return next(node for node in deployment.nodes if node not in roles)


async def _watch(deployment, monitor, duration_ms):
    for _ in range(duration_ms // 50):
        await deployment.wait(50)
        monitor.verify()


async def _count_served(deployment, node):
    # The first request may fail, and reveals that the cached leader is
    # lost.
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
def test_requests_are_served_without_the_store(loss):
    async def scenario():
        deployment, monitor = await _start()
        third = _find_third_instance(deployment)
        written = deployment.table.write_count
        if loss == "standby":
            await deployment.find_standby().kill()
        elif loss == "leader":
            await deployment.find_leaders()[0].kill()
        await _watch(deployment, monitor, 1500)
        assert await _count_served(deployment, third) == 8
        await _watch(deployment, monitor, 3000)
        assert await _count_served(deployment, third) == 8
        assert deployment.table.write_count == written

    testing.run_manual(scenario())


@pytest.mark.parametrize("loss", ["standby", "leader"])
def test_serving_without_the_store_ends_with_the_outage_lease(loss):
    async def scenario():
        deployment, monitor = await _start()
        third = _find_third_instance(deployment)
        lost = deployment.find_leaders()[0]
        if loss == "standby":
            lost = deployment.find_standby()
        await lost.kill()
        await _watch(deployment, monitor, TIMING.outage_lease_ms)
        assert await _count_served(deployment, third) == 0
        _set_store(deployment, down=False)
        await _watch(deployment, monitor, 4000)
        assert await _count_served(deployment, third) == 8

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


def test_an_agreement_does_not_survive_a_restart_of_the_standby():
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


async def _reconnect_leader_to_store():
    """Let a leader reach the store again while its isolated standby leads."""
    deployment, monitor = await _start()
    leader = deployment.find_leaders()[0]
    standby = deployment.find_standby()
    before = _read_record(deployment)
    deployment.isolate(standby, reachable=[S0])
    deployment.network.cut_both(leader.address, S0)
    leader.table.down = False
    await _watch(deployment, monitor, 6000)
    record = _read_record(deployment)
    assert record.term == before.term + 2
    assert record.owners == before.owners
    await _watch(deployment, monitor, TIMING.outage_lease_ms)
    owners = _read_record(deployment).owners.values()
    assert {assignment.server for assignment in owners} == {S1}


def test_a_reconnected_leader_claims_a_new_term_before_moves():
    testing.run_manual(_reconnect_leader_to_store())


def test_a_move_under_an_agreement_is_detected(monkeypatch):
    monkeypatch.setattr(
        shards.OutageAgreement, "may_be_held", lambda self: False
    )
    with pytest.raises(AssertionError, match=r"at \d+ ms"):
        testing.run_manual(_reconnect_leader_to_store())


async def _isolate_pair_with_server():
    """Let a third instance claim while both holders and a server are cut off.

    The leader, its standby and the server still reach each other.
    """
    deployment, monitor = await _start(down=False)
    leader = deployment.find_leaders()[0]
    standby = deployment.find_standby()
    third = _find_third_instance(deployment)
    deployment.isolate(leader, reachable=[S0, standby.address])
    deployment.isolate(standby, reachable=[S0, leader.address])
    deployment.network.cut_both(third.address, S0)
    await _watch(deployment, monitor, 2 * TIMING.outage_lease_ms)
    owners = _read_record(deployment).owners.values()
    assert {assignment.server for assignment in owners} == {S1}


def test_a_third_instance_waits_until_an_isolated_pair_has_stopped():
    testing.run_manual(_isolate_pair_with_server())


def test_a_third_instance_that_waits_too_briefly_is_detected(monkeypatch):
    def bound(self, record, promised_until):
        return self._clock.now() + TIMING.add_margin(TIMING.lease_ms)

    monkeypatch.setattr(shards.ClaimBuilder, "compute_inherited_until", bound)
    with pytest.raises(AssertionError, match=r"at \d+ ms"):
        testing.run_manual(_isolate_pair_with_server())


def test_an_unbounded_outage_lease_is_detected(monkeypatch):
    def extend(self, reply, sent_at):
        self._authority.extend(sent_at=sent_at, lease_ms=reply.lease_ms)

    monkeypatch.setattr(shards.StandbyLink, "_extend", extend)
    with pytest.raises(AssertionError, match=r"at \d+ ms"):
        testing.run_manual(_isolate_pair_with_server())


async def _take_over_from_isolated_leader():
    """Let a standby that reaches the store again take over.

    Its leader is cut off from all but one server, and may act under an
    outage agreement.
    """
    deployment, monitor = await _start()
    leader = deployment.find_leaders()[0]
    standby = deployment.find_standby()
    standby.table.down = False
    await _watch(deployment, monitor, 2500)
    deployment.isolate(leader, reachable=[S0])
    deployment.network.cut_both(standby.address, S0)
    await _watch(deployment, monitor, 2 * TIMING.outage_lease_ms)
    owners = _read_record(deployment).owners.values()
    assert {assignment.server for assignment in owners} == {S1}


def test_a_standby_waits_until_its_agreement_has_expired():
    testing.run_manual(_take_over_from_isolated_leader())


def test_a_standby_that_ignores_its_agreement_is_detected(monkeypatch):
    monkeypatch.setattr(
        shards.ShardRoles, "get_promised_until", lambda self, shard: 0
    )
    with pytest.raises(AssertionError, match=r"at \d+ ms"):
        testing.run_manual(_take_over_from_isolated_leader())


@pytest.mark.parametrize("outage_ms", [5000, 20_000])
def test_reads_of_a_recovering_store_are_spread_over_time(
    outage_ms, monkeypatch
):
    # Numbers of the 100 ms intervals in which reads were sent.
    read_intervals = []
    read = testing.FaultyTable.read

    async def record_read(self, keys):
        if keys[0].startswith("shards/"):
            read_intervals.append(base.Clock().now() // 100)
        return await read(self, keys)

    monkeypatch.setattr(testing.FaultyTable, "read", record_read)
    instances = 12

    async def scenario():
        row = testing.make_row(servers=2, partitions=2)
        rows = [
            msgspec.structs.replace(row, service=f"service{number}")
            for number in range(24)
        ]
        deployment = testing.Deployment(row=row, instances=instances)
        await deployment.start(rows=rows, settle_ms=8000)
        _set_store(deployment, down=True)
        await deployment.wait(outage_ms)
        read_intervals.clear()
        _set_store(deployment, down=False)
        await deployment.wait(2500)

    testing.run_manual(scenario())
    reads_per_interval = collections.Counter(read_intervals)
    assert len(read_intervals) >= instances
    assert max(reads_per_interval.values()) <= instances // 2
