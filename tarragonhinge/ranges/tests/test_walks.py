"""Random walks: no key has two holders, and all keys have one once calm.

The real planner, mover, renewer and recorder run on manual time against
servers and a store that misbehave.  ``RANGE_WALKS`` sets the number of
walks, for a longer run.
"""

import os
import random
import unittest.mock

import pytest

from tarragonhinge import base
from tarragonhinge.ranges import _lease
from tarragonhinge.ranges import _mover
from tarragonhinge.ranges import _recorder
from tarragonhinge.ranges import _renewer
from tarragonhinge.ranges.tests import leading
from tarragonhinge import testing

WALKS = int(os.environ.get("RANGE_WALKS", "30"))

STEPS = 18

#: Silence after which the store drops a server's entry.
LAPSE_MS = 2_600

#: Time in which all keys have a holder again.
CALM_MS = 16_000

EVENTS = base.Registry(kind="event of a walk")


class _Walk:
    """One walk through faults of servers, store and leader."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.site = leading.LedService(servers=5)
        self.started = 5
        self.silent_since = {}

    def pick_server(self):
        """Return a server that runs and is listed."""
        names = sorted(self.site.view.servers)
        return self.site.find_server(self.rng.choice(names))

    async def run(self):
        self.site.start_leader()
        await self.site.run_for(3_000)
        for _ in range(STEPS):
            name = self.rng.choice(sorted(EVENTS.names()))
            await EVENTS.find(name)(self)
            first = self.rng.choice([1_000, 1_000, 40_000])
            self.site.leader.record_keys(range(first, first + 30))
            await self.site.run_for(self.rng.randrange(100, 1_500))
            self.lapse()
        await self.calm()

    def lapse(self):
        """Drop the entries of servers that have been silent for long."""
        now = self.site.clock.now()
        for name, since in self.silent_since.items():
            if now - since >= LAPSE_MS:
                self.site.drop_entry(name)

    async def calm(self):
        self.site.store.faults = testing.StoreFaults()
        for server in self.site.fleet.servers:
            server.faults = type(server.faults)()
            if server.is_up:
                self.site.list_entry(server.entry)
        await self.site.run_for(CALM_MS)
        assert self.site.fleet.violations == []
        assert self.site.fleet.count_unheld() == 0


@EVENTS.register("server falls silent")
async def _fall_silent(walk):
    server = walk.pick_server()
    server.faults.is_silent = True
    name = server.entry.server
    walk.silent_since.setdefault(name, walk.site.clock.now())


@EVENTS.register("silent server returns")
async def _return(walk):
    for name in list(walk.silent_since):
        server = walk.site.find_server(name)
        server.faults.is_silent = False
        del walk.silent_since[name]
        if server.is_up:
            walk.site.list_entry(server.entry)


@EVENTS.register("server is reborn")
async def _rebirth(walk):
    former = walk.pick_server().entry
    walk.silent_since.pop(former.server, None)
    walk.site.start_server(former.server, address=former.address)


@EVENTS.register("address is taken over")
async def _take_over(walk):
    """The store learns of the successor a heartbeat later."""
    former = walk.pick_server().entry
    walk.silent_since.pop(former.server, None)
    known = dict(walk.site.view.servers)
    name = walk.rng.choice([former.server, f"s{walk.started}"])
    walk.started += 1
    entry = walk.site.start_server(name, address=former.address)
    walk.site.view.set_servers(known)
    await walk.site.run_for(walk.rng.choice([500, 1_500, LAPSE_MS]))
    walk.site.drop_entry(former.server)
    walk.site.list_entry(entry)


@EVENTS.register("server starts")
async def _start(walk):
    walk.site.start_server(f"s{walk.started}")
    walk.started += 1


@EVENTS.register("orders come late")
async def _delay_orders(walk):
    server = walk.pick_server()
    server.faults.late_ms = walk.rng.choice([0, 500, 3_000])
    server.faults.work_ms = walk.rng.choice([0, 300, 900])


@EVENTS.register("store fails")
async def _fail_store(walk):
    walk.site.store.faults.is_down = True
    await walk.site.run_for(walk.rng.choice([300, 1_500, 5_000]))
    walk.site.store.faults.is_down = False


@EVENTS.register("store loses answers")
async def _lose_answers(walk):
    walk.site.store.faults.loses_answers = True
    walk.site.store.faults.late_ms = walk.rng.choice([0, 800])
    await walk.site.run_for(walk.rng.choice([300, 1_500]))
    walk.site.store.faults.loses_answers = False


@EVENTS.register("leader is lost")
async def _lose_leader(walk):
    await walk.site.stop_leader()
    walk.site.task = None
    await walk.site.run_for(walk.rng.choice([0, 400, 2_500]))
    walk.site.start_leader()


@pytest.mark.parametrize("seed", range(WALKS))
def test_keys_have_one_holder(seed):
    async def run():
        await _Walk(seed).run()

    testing.run_manual(run())


async def _do_nothing(*_):
    """Stand in for a guard that waits or writes."""
    return


@pytest.mark.parametrize(
    ("owner", "name", "replacement"),
    [
        (_mover.Mover, "_take_back", _do_nothing),
        (_recorder.RangeRecorder, "commit", _do_nothing),
        (_renewer.Renewer, "refence_unless_connected", _do_nothing),
        (_lease.Lease, "note_grant", lambda *_, **__: None),
    ],
)
def test_walks_fail_without_a_guard(owner, name, replacement):
    """Release or lapse, record, token over a new connection, lapse."""

    async def run(seed):
        await _Walk(seed).run()

    with unittest.mock.patch.object(owner, name, replacement):
        for seed in range(WALKS):
            try:
                testing.run_manual(run(seed))
            except AssertionError:
                return
    raise AssertionError(f"no walk needs {name}")
