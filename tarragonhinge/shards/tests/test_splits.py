"""Splits and merges of hot keys, on a manual clock."""

import asyncio
import itertools

import pytest

from tarragonhinge import base
from tarragonhinge import routing
from tarragonhinge.shards import _hot_keys
from tarragonhinge import testing

SHARD = base.ShardId("balances/centro")

#: Target: a hot key is split out within this time.  Hot keys change
#: within minutes, so that they must be found within seconds.
SPLIT_WITHIN_MS = 10_000

#: Target: a key is served again within this time after a loss.
SERVED_AGAIN_MS = 2000

HOT = "district-7"


async def _start(**changes):
    deployment = testing.Deployment(row=testing.make_row(**changes))
    await deployment.start()
    return deployment, deployment.find_leaders()[0]


async def _send_load(deployment, node, duration_ms, *, hot_period_ms):
    """Send requests of a hot key and others; return failed outcomes."""
    failed = []

    async def send(key):
        outcome = await deployment.send(node, key, deadline_ms=1000)
        if not isinstance(outcome, base.Answered):
            failed.append(outcome)

    tasks = []
    for at in range(0, duration_ms, 10):
        tasks.append(asyncio.create_task(send(f"k{at % 970}")))
        if hot_period_ms and at % hot_period_ms == 0:
            tasks.append(asyncio.create_task(send(HOT)))
        await deployment.wait(10)
    await asyncio.gather(*tasks)
    return failed


def _find_leader(deployment):
    return deployment.find_leaders()[0].instance.coordinator.leaders[SHARD]


def _assert_hot_key_ran_exclusively(deployment):
    """Assert that no two servers ran the hot key at the same time."""
    runs = sorted(
        (run.at_ms, server.service_ms, name)
        for name, server in deployment.servers.items()
        for run in server.runs
        if run.path.endswith(HOT)
    )
    for (at, service_ms, name), (later, _, other) in itertools.pairwise(runs):
        assert name == other or at + service_ms <= later, (at, name, other)


@pytest.mark.parametrize("lost", [False, True])
def test_a_hot_key_is_split_out_and_merged_back(lost):
    async def scenario():
        deployment, node = await _start()
        failed = await _send_load(
            deployment, node, SPLIT_WITHIN_MS, hot_period_ms=20
        )
        location = routing.locate_key(deployment.row, HOT)
        splits = _find_leader(deployment).record.splits
        assert list(splits.values()) == [location.key_hash]
        assert failed == []
        if lost:
            await node.kill()
            node = next(n for n in deployment.nodes if n is not node)
            await _send_load(deployment, node, 3000, hot_period_ms=20)
            leader = _find_leader(deployment)
            assert list(leader.record.splits.values()) == [location.key_hash]
        failed = await _send_load(
            deployment,
            node,
            _hot_keys.MERGE_DELAY_MS + 2 * SPLIT_WITHIN_MS,
            hot_period_ms=2000,
        )
        assert failed == []
        record = _find_leader(deployment).record
        assert record.splits == {}
        assert set(record.owners) == set(range(deployment.row.partitions))
        _assert_hot_key_ran_exclusively(deployment)

    testing.run_manual(scenario())


def test_a_split_partition_moves_like_any_other():
    async def scenario():
        deployment, node = await _start()
        await _send_load(deployment, node, SPLIT_WITHIN_MS, hot_period_ms=20)
        leader = _find_leader(deployment)
        split_partition = next(iter(leader.record.splits))
        owner = leader.record.owners[split_partition].server
        deployment.servers[owner].draining = True
        failed = await _send_load(deployment, node, 5000, hot_period_ms=20)
        assert failed == []
        assert leader.record.owners[split_partition].server != owner
        _assert_hot_key_ran_exclusively(deployment)
        deployment.servers[owner].draining = False
        await _send_load(
            deployment,
            node,
            _hot_keys.MERGE_DELAY_MS + 2 * SPLIT_WITHIN_MS,
            hot_period_ms=2000,
        )
        assert leader.record.splits == {}
        _assert_hot_key_ran_exclusively(deployment)

    testing.run_manual(scenario())


def test_a_key_is_not_split_while_its_requests_run():
    async def scenario():
        deployment, node = await _start()
        location = routing.locate_key(deployment.row, HOT)
        for server in deployment.servers.values():
            server.service_ms = 1700
        leader = _find_leader(deployment)
        hot_keys = leader.owners._splitter.hot_keys
        owner = leader.record.owners[location.partition].server
        running = asyncio.create_task(deployment.send(node, HOT))
        await deployment.wait(20)
        for _ in range(1000):
            hot_keys.add(location.key_hash)
        held_ms = 0
        while deployment.servers[owner].running:
            assert leader.record.splits == {}
            held_ms += (
                leader.owners.resolve(location.partition, location.key_hash)
                is None
            )
            await deployment.wait(1)
        assert held_ms <= 220
        await running
        for _ in range(1000):
            hot_keys.add(location.key_hash)
        await deployment.wait(3000)
        assert list(leader.record.splits.values()) == [location.key_hash]

    testing.run_manual(scenario())


def _has_reached(stage, leader):
    splitter = leader.owners._splitter
    if stage == "held":
        return bool(splitter.dump()["held_keys"])
    if stage == "written":
        return leader.recorder._writing.locked()
    return bool(leader.record.splits)


@pytest.mark.parametrize("stage", ["held", "written", "recorded"])
def test_a_successor_sees_a_split_completely_or_not_at_all(stage):
    async def scenario():
        deployment, node = await _start()
        location = routing.locate_key(deployment.row, HOT)
        leader = _find_leader(deployment)
        before = dict(leader.record.owners)
        for _ in range(1000):
            leader.owners._splitter.hot_keys.add(location.key_hash)
        node.table.lose_answers = stage == "written"
        running = asyncio.create_task(deployment.send(node, HOT))
        while not _has_reached(stage, leader):
            await deployment.wait(0.2)
        if stage == "written":
            await deployment.wait(6)
        await node.kill()
        other = next(n for n in deployment.nodes if n is not node)
        lost_at = other.clock.now()
        outcome = None
        while not isinstance(outcome, base.Answered):
            outcome = await deployment.send(other, HOT, deadline_ms=50)
            await deployment.wait(10)
        assert other.clock.now() - lost_at <= SERVED_AGAIN_MS
        running.cancel()
        record = _find_leader(deployment).record
        assert bool(record.splits) is (stage != "held")
        assert {p: record.owners[p].server for p in before} == {
            p: a.server for p, a in before.items()
        }
        original_owner = before[location.partition].server
        assert all(
            record.owners[p].server == original_owner for p in record.splits
        )
        assert testing.get_answering_server(outcome) == original_owner

    testing.run_manual(scenario())


def test_requests_are_held_while_a_split_is_written():
    async def scenario():
        deployment, node = await _start()
        location = routing.locate_key(deployment.row, HOT)
        leader = _find_leader(deployment)
        owner = leader.record.owners[location.partition].server
        for _ in range(1000):
            leader.owners._splitter.hot_keys.add(location.key_hash)
        node.table.delay_ms = 200
        while not leader.recorder._writing.locked():
            await deployment.wait(1)
        deployment.servers[owner].service_ms = 1500
        early = asyncio.create_task(deployment.send(node, HOT))
        while not leader.record.splits:
            await deployment.wait(1)
        node.table.delay_ms = 5
        await deployment.wait(20)
        deployment.servers[owner].draining = True
        await deployment.wait(500)
        late = asyncio.create_task(deployment.send(node, HOT))
        outcomes = await asyncio.gather(early, late)
        assert testing.get_answering_server(outcomes[0]) == owner
        assert testing.get_answering_server(outcomes[1]) != owner
        _assert_hot_key_ran_exclusively(deployment)

    testing.run_manual(scenario())


def test_the_number_of_split_keys_is_bounded():
    async def scenario():
        clock = testing.ManualClock()
        hot = _hot_keys.HotKeyDetector(clock=clock)
        for key in range(50 * 100):
            hot.add(key % 50)
        split: dict[int, int] = {}
        while found := hot.list_hot(servers=64, split=split):
            split.update(dict.fromkeys(found, 0))
        assert len(split) == _hot_keys.MAX_SPLITS

    testing.run_manual(scenario())
