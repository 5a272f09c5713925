"""Random faults during moves and key splits, on a manual clock."""

import asyncio
import itertools
import random

import pytest

from tarragonhinge import base
from tarragonhinge.shards import _hot_keys
from tarragonhinge.shards import _mover
from tarragonhinge import testing

SHARD = base.ShardId("balances/centro")

#: Number of steps of one random walk, and duration of a step.
STEPS = 40
STEP_MS = 500

HOT_KEYS = ("district-1", "district-2", "district-3")


class _Walk:
    """Random walk of a deployment under faults and a changing hot key."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.deployment = testing.Deployment(
            row=testing.make_row(servers=3, planner="weighed", partitions=16)
        )
        self.answered = 0
        self.tasks = set()

    def list_faults(self):
        return [
            self.drain,
            self.lose_server,
            self.cut,
            self.slow_store,
            self.lose_answer,
            self.pause,
            self.heal,
            self.heal,
        ]

    def choose_server(self):
        return self.rng.choice(list(self.deployment.servers.values()))

    def choose_node(self):
        return self.rng.choice(self.deployment.nodes)

    def drain(self):
        self.choose_server().draining = True

    def lose_server(self):
        self.choose_server().up = False

    def cut(self):
        node = self.choose_node().address
        self.deployment.network.cut(node, self.choose_server().name)

    def slow_store(self):
        self.choose_node().table.delay_ms = 300

    def lose_answer(self):
        self.choose_node().table.lose_answers = 1

    def pause(self):
        self.choose_node().clock.pause()

    def heal(self):
        self.deployment.network.heal()
        for server in self.deployment.servers.values():
            server.draining = False
            server.up = True
        for node in self.deployment.nodes:
            node.table.delay_ms = 5
            node.clock.resume()

    async def send(self, key):
        node = self.choose_node()
        outcome = await self.deployment.send(node, key, deadline_ms=400)
        self.answered += isinstance(outcome, base.Answered)

    async def run_step(self, hot):
        for at_ms in range(0, STEP_MS, 5):
            key = hot if at_ms % 10 else f"k{self.rng.randrange(200)}"
            task = asyncio.create_task(self.send(key))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await self.deployment.wait(5)
            self.check_owners()

    def check_owners(self):
        owned_by_server = [
            set(server.grants.shards[SHARD].epochs)
            for server in self.deployment.servers.values()
            if SHARD in server.grants.shards
            and server.up
            and server.clock.now() < server.grants.shards[SHARD].expires_at
        ]
        for one, other in itertools.combinations(owned_by_server, 2):
            assert not one & other

    def check_runs(self):
        """Assert that no two servers ran a key at the same time."""
        last_runs = {}
        runs = [
            (run.at_ms, run.path, server.name, server.service_ms)
            for server in self.deployment.servers.values()
            for run in server.runs
        ]
        for at, path, name, service_ms in sorted(runs):
            before, owner = last_runs.get(path, (0, name))
            assert owner == name or before <= at, (path, at, owner, name)
            last_runs[path] = (at + service_ms, name)


@pytest.mark.parametrize("seed", range(3))
def test_no_key_has_two_owners_under_random_faults(seed, monkeypatch):
    monkeypatch.setattr(_hot_keys, "MERGE_DELAY_MS", 2000)
    monkeypatch.setattr(_hot_keys, "MIN_REQUESTS", 50)
    monkeypatch.setattr(_mover, "MAX_MOVED_FRACTION", 0.25)

    async def scenario():
        walk = _Walk(seed)
        await walk.deployment.start()
        for step in range(STEPS):
            walk.rng.choice(walk.list_faults())()
            await walk.run_step(HOT_KEYS[step // 8 % len(HOT_KEYS)])
        walk.heal()
        await walk.deployment.wait(10_000)
        walk.check_runs()
        leader = walk.deployment.find_leaders()[0]
        record = leader.instance.coordinator.leaders[SHARD].record
        assert record.next_split > walk.deployment.row.partitions
        assert walk.answered > 0

    testing.run_manual(scenario())
