"""Moves of partitions, on a manual clock."""

import asyncio

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import routing
from tarragonhinge import shards
from tarragonhinge.shards import _moves
from tarragonhinge.shards import _recorder
from tarragonhinge import testing

SHARD = base.ShardId("balances/centro")
S0 = base.ServerId("s0")

#: Target: a leaving server owns no partition after this time.
EMPTIED_WITHIN_MS = 5000

#: Target: a key is served again within this time after a loss.
SERVED_AGAIN_MS = 2000


async def _start(**changes):
    deployment = testing.Deployment(row=testing.make_row(**changes))
    await deployment.start()
    node = deployment.find_leaders()[0]
    return deployment, node, node.instance.coordinator.leaders[SHARD]


def _list_owned(leader, server):
    owners = leader.record.owners
    return sorted(p for p, a in owners.items() if a.server == server)


def _find_key(deployment, leader, server):
    """Return a key that a server owns."""
    owned = _list_owned(leader, server)
    for number in range(1000):
        key = f"k{number}"
        location = routing.locate_key(deployment.row, key)
        if location.partition in owned:
            return key
    raise AssertionError(server)


async def _watch(deployment, duration_ms):
    """Assert every millisecond that no partition has two owners."""
    for _ in range(duration_ms):
        for partition in range(deployment.row.partitions):
            owners = deployment.find_owners(partition)
            assert len(owners) <= 1, (partition, owners)
        await deployment.wait(1)


@pytest.mark.parametrize("partitions", [64, 512])
@pytest.mark.parametrize("leaving", ["draining", "removed"])
def test_a_leaving_server_is_emptied(leaving, partitions):
    async def scenario():
        deployment, node, leader = await _start(partitions=partitions)
        before = dict(leader.record.owners)
        owned = _list_owned(leader, S0)
        if leaving == "draining":
            deployment.servers[S0].draining = True
        else:
            remaining_servers = [
                e for e in deployment.row.servers if e.server != S0
            ]
            row = msgspec.structs.replace(
                deployment.row, servers=remaining_servers
            )
            leader.owners.update_row(row)
        most_held = 0
        for _ in range(EMPTIED_WITHIN_MS // 5):
            held = leader.owners.dump()["held"]
            most_held = max(most_held, len(held))
            await deployment.wait(5)
        assert _list_owned(leader, S0) == []
        assert 0 < most_held <= _moves.MAX_HELD_PER_SERVER
        changed = {
            p for p, a in leader.record.owners.items() if a != before[p]
        }
        assert changed == set(owned)

    testing.run_manual(scenario())


def test_requests_in_flight_end_before_their_grant_is_withdrawn():
    async def scenario():
        deployment, node, leader = await _start()
        server = deployment.servers[S0]
        server.service_ms = 800
        key = _find_key(deployment, leader, S0)
        partition = routing.locate_key(deployment.row, key).partition
        first = asyncio.create_task(deployment.send(node, key))
        await deployment.wait(50)
        server.draining = True
        await deployment.wait(300)
        second = asyncio.create_task(deployment.send(node, key))
        await deployment.wait(300)
        assert server.running == 1
        assert deployment.find_owners(partition) == [S0]
        outcomes = await asyncio.gather(first, second)
        served = [
            testing.get_answering_server(outcome) for outcome in outcomes
        ]
        assert served[0] == S0
        assert served[1] in ("s1", "s2")

    testing.run_manual(scenario())


def test_a_server_that_returns_during_the_write_gets_no_partition_back():
    async def scenario():
        deployment, node, leader = await _start()
        server = deployment.servers[S0]
        owned = _list_owned(leader, S0)
        keeper = leader.owners.keepers[S0]
        server.up = False
        node.table.delay_ms = 400
        while not leader.recorder._writing.locked():
            await deployment.wait(1)
        server.up = True
        while keeper.state is not shards.ServerState.REACHABLE:
            await deployment.wait(1)
        await deployment.wait(10)
        deployment.network.cut_both(node.address, S0)
        await _watch(deployment, 2500)
        owners = leader.record.owners
        assert all(owners[partition].server != S0 for partition in owned)

    testing.run_manual(scenario())


def test_a_partition_moves_after_the_lapse_if_its_withdrawal_is_lost():
    async def scenario():
        deployment, node, leader = await _start()
        move_tracker = leader.owners._mover.move_tracker
        deployment.servers[S0].draining = True
        while not any(map(move_tracker.is_revoked, leader.record.owners)):
            await deployment.wait(0.1)
        deployment.network.cut_both(node.address, S0)
        await _watch(deployment, 3000)
        assert _list_owned(leader, S0) == []

    testing.run_manual(scenario())


def test_a_move_in_a_store_outage_leaves_the_old_owner_serving():
    async def scenario():
        deployment, node, leader = await _start()
        key = _find_key(deployment, leader, S0)
        node.table.down = True
        deployment.servers[S0].draining = True
        unanswered = 0
        for _ in range(60):
            outcome = await deployment.send(node, key, deadline_ms=200)
            unanswered += not isinstance(outcome, base.Answered)
            await deployment.wait(50)
        assert unanswered <= 1
        node.table.down = False
        await deployment.wait(EMPTIED_WITHIN_MS)
        assert _list_owned(leader, S0) == []

    testing.run_manual(scenario())


class _LeaderKiller:
    """Kills a leader when its move has reached a given stage."""

    def __init__(self, node, deployment, stage):
        self.node = node
        self.deployment = deployment
        self.stage = stage
        self.killed = asyncio.Event()

    async def kill(self):
        await self.node.kill()
        self.killed.set()

    async def watch(self, leader):
        move_tracker = leader.owners._mover.move_tracker
        while not self.killed.is_set():
            moves = move_tracker.list_moves()
            stages = {move.stage.value for move in moves}
            if self.stage == "hold" and "draining" in stages:
                await self.kill()
            if self.stage == "revoke sent" and "revoking" in stages:
                await self.kill()
            if self.stage == "revoked" and moves:
                partition = moves[0].partition
                if not self.deployment.find_owners(partition):
                    await self.kill()
            await asyncio.sleep(0)
            await self.deployment.wait(0.1)

    def patch_write(self, monkeypatch):
        write = _recorder.ShardRecorder.write

        async def write_and_kill(recorder, change):
            if self.stage == "answer lost":
                self.node.table.lose_answers = 1
                asyncio.get_running_loop().call_later(
                    0.012, self.node.clock.pause
                )
            result = await write(recorder, change)
            await self.kill()
            return result

        monkeypatch.setattr(_recorder.ShardRecorder, "write", write_and_kill)


@pytest.mark.parametrize(
    "stage", ["hold", "revoke sent", "revoked", "answer lost", "recorded"]
)
def test_a_successor_completes_the_move_of_a_lost_leader(stage, monkeypatch):
    async def scenario():
        deployment, node, leader = await _start()
        server = deployment.servers[S0]
        key = _find_key(deployment, leader, S0)
        partition = routing.locate_key(deployment.row, key).partition
        if stage == "hold":
            server.service_ms = 300
            asyncio.create_task(deployment.send(node, key))
            await deployment.wait(20)
        killer = _LeaderKiller(node, deployment, stage)
        watcher = asyncio.create_task(killer.watch(leader))
        if stage in ("answer lost", "recorded"):
            killer.patch_write(monkeypatch)
        server.draining = True
        if stage == "answer lost":
            while node.clock._running.is_set():
                await deployment.wait(1)
            await killer.kill()
        await asyncio.wait_for(killer.killed.wait(), 5)
        monkeypatch.undo()
        watcher.cancel()
        other = next(n for n in deployment.nodes if n is not node)
        lost_at = other.clock.now()
        checks = asyncio.create_task(_watch(deployment, 6000))
        while not isinstance(
            await deployment.send(other, key, deadline_ms=50), base.Answered
        ):
            await deployment.wait(10)
        took_ms = other.clock.now() - lost_at
        await checks
        assert took_ms <= SERVED_AGAIN_MS
        assert _list_owned(_find_successor(deployment), S0) == []
        assert deployment.find_owners(partition) != [S0]

    testing.run_manual(scenario())


def _find_successor(deployment):
    nodes = deployment.find_leaders()
    assert len(nodes) == 1
    leader = nodes[0].instance.coordinator.leaders[SHARD]
    assert leader.state is shards.LeaderState.LEADING
    return leader


def test_a_successor_waits_for_requests_of_the_lost_leader():
    async def scenario():
        deployment, node, leader = await _start()
        server = deployment.servers[S0]
        server.service_ms = 1800
        key = _find_key(deployment, leader, S0)
        partition = routing.locate_key(deployment.row, key).partition
        asyncio.create_task(deployment.send(node, key))
        await deployment.wait(50)
        server.draining = True
        await node.kill()
        while server.running:
            assert deployment.find_owners(partition) in ([], [S0])
            await deployment.wait(1)
        await deployment.wait(EMPTIED_WITHIN_MS)
        assert _list_owned(_find_successor(deployment), S0) == []

    testing.run_manual(scenario())
