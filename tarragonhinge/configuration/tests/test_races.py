"""Random races of edits under outages and lost answers, by seed."""

import asyncio
import random

import msgspec
import pytest

from tarragonhinge import configuration
from tarragonhinge import stores
from tarragonhinge import testing

EDITORS = 4
EDITS = 6
ROW = testing.make_row()

_OPEN = (configuration.EditRefused, configuration.EditUnresolved)


class OnceObjects(stores.MemoryObjects):
    """Object store in which no object may be replaced."""

    async def put(self, name, body):
        assert await self.get(name) is None, name
        return await super().put(name, body)


class Walk:
    """Editors that race through connections which fail at random."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.table = stores.MemoryTable()
        self.objects = OnceObjects()
        self.results = {}
        self.done = 0

    def connect(self):
        clock = testing.ManualClock()
        faulty = testing.FaultyTable(table=self.table, clock=clock)
        store = configuration.ConfigurationStore(
            table=faulty,
            objects=self.objects,
            committer=stores.Committer(
                table=faulty, clock=clock, rng=self.rng
            ),
            clock=clock,
        )
        return faulty, store

    async def break_connection(self, faulty):
        while self.done < EDITORS:
            await asyncio.sleep(self.rng.uniform(0, 0.1))
            faulty.lose_answers = self.rng.choice([0, 1, 2])
            faulty.down = self.rng.random() < 0.3
            if faulty.down:
                await asyncio.sleep(self.rng.choice([0.02, 1, 12]))
                faulty.down = False

    async def edit(self, number, store):
        for count in range(EDITS):
            current = await store.load()
            if isinstance(current, stores.Unavailable):
                await asyncio.sleep(0.1)
                continue
            edit_id = f"e{number}-{count}"
            rows = [msgspec.structs.replace(ROW, queue=10 * number + count)]
            tries = self.rng.choice([1, 30])
            for _ in range(tries):
                result = await store.apply_edit(
                    rows,
                    expected=current.version,
                    note=configuration.EditNote(edit_id=edit_id),
                )
                self.results.setdefault(edit_id, []).append(result)
                if not isinstance(result, _OPEN):
                    break
                await asyncio.sleep(0.5)
            await asyncio.sleep(self.rng.uniform(0, 0.05))
        self.done += 1

    async def run(self):
        connections = [self.connect() for _ in range(EDITORS)]
        await asyncio.gather(
            *(self.break_connection(faulty) for faulty, _ in connections),
            *(self.edit(n, s) for n, (_, s) in enumerate(connections)),
        )
        _, store = self.connect()
        return await store.load_history(limit=1000)


def _check_history(walk, history):
    versions = [edit.version for edit in history]
    assert versions == list(range(len(history), 0, -1))
    stored = {edit.note.edit_id: edit.version for edit in history}
    assert len(stored) == len(history)
    for edit_id, results in walk.results.items():
        last = results[-1]
        if isinstance(last, configuration.Accepted):
            assert stored[edit_id] == last.version
        elif isinstance(last, configuration.EditConflict) or all(
            isinstance(r, configuration.EditRefused) for r in results
        ):
            assert edit_id not in stored


@pytest.mark.parametrize("seed", range(40))
def test_the_history_agrees_with_what_editors_were_told(seed):
    async def scenario():
        walk = Walk(seed)
        _check_history(walk, await walk.run())
        return walk

    walk = testing.run_manual(scenario())
    assert walk.results


def test_the_walks_meet_every_kind_of_result():
    met = set()
    for seed in range(40):
        walk = Walk(seed)

        async def scenario(walk=walk):
            await walk.run()

        testing.run_manual(scenario())
        for results in walk.results.values():
            met |= {type(result) for result in results}
    assert met == {
        configuration.Accepted,
        configuration.EditConflict,
        configuration.EditRefused,
        configuration.EditUnresolved,
    }


def test_an_edit_sent_twice_at_once_is_stored_once():
    async def scenario():
        walk = Walk(0)
        # Copies that are sent at once may store the same object.
        walk.objects = stores.MemoryObjects()
        note = configuration.EditNote(edit_id="twice")
        results = await asyncio.gather(
            *(
                walk.connect()[1].apply_edit([ROW], expected=0, note=note)
                for _ in range(3)
            )
        )
        assert results == [configuration.Accepted(version=1)] * 3

    testing.run_manual(scenario())
