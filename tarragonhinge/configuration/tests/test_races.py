"""Concurrent edits under random outages and lost responses, by seed."""

import asyncio
import random

import msgspec
import pytest

from tarragonhinge import configuration
from tarragonhinge import stores
from tarragonhinge import testing

EDITOR_COUNT = 4
EDITS_PER_EDITOR = 6
ROW = testing.make_row()

_RETRYABLE_RESULTS = (configuration.EditRefused, configuration.EditUnresolved)


class WriteOnceObjects(stores.MemoryObjects):
    """Object store that fails the test if an object is replaced."""

    async def put(self, name, body):
        assert await self.get(name) is None, name
        return await super().put(name, body)


class EditRace:
    """Concurrent editors whose store connections fail at random."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.table = stores.MemoryTable()
        self.objects = WriteOnceObjects()
        self.results = {}
        self.finished_editors = 0

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
        while self.finished_editors < EDITOR_COUNT:
            await asyncio.sleep(self.rng.uniform(0, 0.1))
            faulty.lose_answers = self.rng.choice([0, 1, 2])
            faulty.down = self.rng.random() < 0.3
            if faulty.down:
                await asyncio.sleep(self.rng.choice([0.02, 1, 12]))
                faulty.down = False

    async def edit(self, number, store):
        for count in range(EDITS_PER_EDITOR):
            current = await store.load()
            if isinstance(current, stores.Unavailable):
                await asyncio.sleep(0.1)
                continue
            edit_id = f"e{number}-{count}"
            rows = [msgspec.structs.replace(ROW, queue=10 * number + count)]
            attempts = self.rng.choice([1, 30])
            for _ in range(attempts):
                result = await store.apply_edit(
                    rows,
                    expected=current.version,
                    note=configuration.EditNote(edit_id=edit_id),
                )
                self.results.setdefault(edit_id, []).append(result)
                if not isinstance(result, _RETRYABLE_RESULTS):
                    break
                await asyncio.sleep(0.5)
            await asyncio.sleep(self.rng.uniform(0, 0.05))
        self.finished_editors += 1

    async def run(self):
        connections = [self.connect() for _ in range(EDITOR_COUNT)]
        await asyncio.gather(
            *(self.break_connection(faulty) for faulty, _ in connections),
            *(self.edit(n, s) for n, (_, s) in enumerate(connections)),
        )
        _, store = self.connect()
        return await store.load_history(limit=1000)


def _check_history(race, history):
    versions = [edit.version for edit in history]
    assert versions == list(range(len(history), 0, -1))
    stored = {edit.note.edit_id: edit.version for edit in history}
    assert len(stored) == len(history)
    for edit_id, results in race.results.items():
        last = results[-1]
        if isinstance(last, configuration.Accepted):
            assert stored[edit_id] == last.version
        elif isinstance(last, configuration.EditConflict) or all(
            isinstance(r, configuration.EditRefused) for r in results
        ):
            assert edit_id not in stored


@pytest.mark.parametrize("seed", range(40))
def test_history_agrees_with_reported_results(seed):
    async def scenario():
        race = EditRace(seed)
        _check_history(race, await race.run())
        return race

    race = testing.run_manual(scenario())
    assert race.results


def test_races_produce_every_kind_of_result():
    result_types = set()
    for seed in range(40):
        race = EditRace(seed)

        async def scenario(race=race):
            await race.run()

        testing.run_manual(scenario())
        for results in race.results.values():
            result_types |= {type(result) for result in results}
    assert result_types == {
        configuration.Accepted,
        configuration.EditConflict,
        configuration.EditRefused,
        configuration.EditUnresolved,
    }


def test_copies_of_edit_sent_concurrently_are_stored_once():
    async def scenario():
        race = EditRace(0)
        # Concurrent copies of an edit may store the same object.
        race.objects = stores.MemoryObjects()
        note = configuration.EditNote(edit_id="twice")
        results = await asyncio.gather(
            *(
                race.connect()[1].apply_edit([ROW], expected=0, note=note)
                for _ in range(3)
            )
        )
        assert results == [configuration.Accepted(version=1)] * 3

    testing.run_manual(scenario())
