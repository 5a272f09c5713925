"""Edits that race, lose their answers or meet an outage."""

import asyncio

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge.configuration import _version
from tarragonhinge import stores
from tarragonhinge import testing

ROW = testing.make_row()
KNOWN = testing.KNOWN_NAMES


class Site:
    """Stores in memory, with one connection for each editor."""

    def __init__(self):
        self.table = stores.MemoryTable()
        self.objects = stores.MemoryObjects()

    def connect(self):
        clock = testing.ManualClock()
        table = testing.FaultyTable(table=self.table, clock=clock)
        store = configuration.ConfigurationStore(
            table=table,
            objects=self.objects,
            committer=stores.Committer(table=table, clock=clock),
            clock=clock,
        )
        return table, store


def _note(edit_id, **words):
    return configuration.EditNote(edit_id=edit_id, **words)


def _row(**changes):
    return msgspec.structs.replace(ROW, **changes)


async def _fill(store, count):
    for number in range(count):
        result = await store.apply_edit(
            [_row(queue=number)], expected=number, note=_note(f"e{number}")
        )
        assert result == configuration.Accepted(version=number + 1)


def test_exactly_one_of_racing_edits_wins_and_the_other_sees_it():
    async def scenario():
        site = Site()
        _, store = site.connect()
        await _fill(store, 1)
        edits = [
            site.connect()[1].apply_edit(
                [_row(slots=n)], expected=1, note=_note(f"r{n}")
            )
            for n in range(3, 8)
        ]
        results = await asyncio.gather(*edits)
        won = [r for r in results if isinstance(r, configuration.Accepted)]
        lost = [
            r for r in results if isinstance(r, configuration.EditConflict)
        ]
        assert (len(won), len(lost)) == (1, 4)
        slots = (await store.load()).rows[0].slots
        for conflict in lost:
            changed = {(c.column, c.after) for c in conflict.changes}
            assert changed == {("slots", str(slots)), ("queue", "100")}

    testing.run_manual(scenario())


@pytest.mark.parametrize("later", [0, 1, 40])
def test_a_lost_answer_is_resolved_by_the_edit_id(later):
    async def scenario():
        site = Site()
        faulty, store = site.connect()
        faulty.lose_answers = 1
        _, other = site.connect()

        async def overwrite():
            # The edit reaches the table after three trips of 5 ms.
            await asyncio.sleep(0.022)
            for number in range(later):
                result = await other.apply_edit(
                    [_row(queue=number)], expected=number + 1
                )
                assert isinstance(result, configuration.Accepted)

        edit = store.apply_edit([ROW], expected=0, note=_note("mine"))
        result, _ = await asyncio.gather(edit, overwrite())
        assert result == configuration.Accepted(version=1)
        again = await store.apply_edit([ROW], expected=0, note=_note("mine"))
        assert again == configuration.Accepted(version=1)
        assert (await store.load()).version == 1 + later
        with pytest.raises(configuration.EditIdReused):
            await store.apply_edit([], expected=0, note=_note("mine"))

    testing.run_manual(scenario())


def test_an_outage_refuses_and_stores_nothing():
    async def scenario():
        faulty, store = Site().connect()
        faulty.down = True
        result = await store.apply_edit([ROW], expected=0)
        assert isinstance(result, configuration.EditRefused)
        assert result.retry_after_ms > 0
        faulty.down = False
        assert (await store.load()).version == 0

    testing.run_manual(scenario())


def test_an_answer_lost_in_an_outage_is_not_called_accepted():
    async def scenario():
        faulty, store = Site().connect()
        faulty.lose_answers = 1

        async def cut():
            await asyncio.sleep(0.022)
            faulty.down = True

        edit = store.apply_edit([ROW], expected=0, note=_note("mine"))
        result, _ = await asyncio.gather(edit, cut())
        assert isinstance(result, configuration.EditUnresolved)
        faulty.down = False
        again = await store.apply_edit([ROW], expected=0, note=_note("mine"))
        assert again == configuration.Accepted(version=1)

    testing.run_manual(scenario())


def test_a_stored_edit_is_not_called_refused_without_its_object():
    class DownObjects(stores.MemoryObjects):
        down = False

        async def get(self, name):
            return (
                stores.Unavailable() if self.down else await super().get(name)
            )

    async def scenario():
        site = Site()
        site.objects = DownObjects()
        _, store = site.connect()
        await _fill(store, 2)
        site.objects.down = True
        _, other = site.connect()
        again = await other.apply_edit(
            [_row(queue=0)], expected=0, note=_note("e0")
        )
        assert isinstance(again, configuration.EditUnresolved)

    testing.run_manual(scenario())


def test_an_object_that_is_not_stored_stops_the_edit():
    class FullObjects(stores.MemoryObjects):
        async def put(self, name, body):
            return False

    async def scenario():
        site = Site()
        site.objects = FullObjects()
        _, store = site.connect()
        result = await store.apply_edit([ROW], expected=0)
        assert isinstance(result, configuration.EditRefused)
        assert site.table.write_count == 0

    testing.run_manual(scenario())


def test_an_unchanged_table_is_read_from_the_small_row_alone():
    async def scenario():
        site = Site()
        _, store = site.connect()
        await _fill(store, 20)
        _, reader = site.connect()
        for _ in range(5):
            assert (await reader.load()).version == 20
        assert reader.fetches == 1

    testing.run_manual(scenario())


def test_a_damaged_object_is_not_put_in_force():
    class DamagedObjects(stores.MemoryObjects):
        async def get(self, name):
            body = await super().get(name)
            return body and body.replace(b'"queue":0', b'"queue":9')

    async def scenario():
        site = Site()
        _, store = site.connect()
        await _fill(store, 1)
        damaged = DamagedObjects()
        damaged._objects = site.objects._objects
        site.objects = damaged
        _, reader = site.connect()
        assert isinstance(await reader.load(), stores.Unavailable)
        assert reader.damaged == 1

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("written", "read"),
    [
        (b',"churn_weight":1.0', b""),
        (b',"churn_weight":1.0', b',"churn_weight":1.0,"of_later":7'),
        (b'{"service"', b'{ "service"'),
    ],
)
def test_a_table_that_another_release_wrote_stays_in_force(
    written, read, monkeypatch
):
    encode = _version.encode_rows

    async def scenario():
        site = Site()
        _, store = site.connect()
        monkeypatch.setattr(
            _version,
            "encode_rows",
            lambda rows: encode(rows).replace(written, read),
        )
        await store.apply_edit([ROW], expected=0, note=_note("old"))
        monkeypatch.setattr(_version, "encode_rows", encode)
        _, reader = site.connect()
        assert (await reader.load()).rows == [ROW]
        again = await reader.apply_edit([ROW], expected=1)
        assert again == configuration.Unchanged(version=1)
        sent_again = await reader.apply_edit(
            [ROW], expected=0, note=_note("old")
        )
        assert sent_again == configuration.Accepted(version=1)

    testing.run_manual(scenario())


def test_the_history_is_whole_and_rollback_is_a_new_version():
    async def scenario():
        _, store = Site().connect()
        await _fill(store, 40)
        history = await store.load_history(limit=100)
        assert [edit.version for edit in history] == list(range(40, 0, -1))
        editor = configuration.TableEditor(store=store, known=KNOWN)
        note = _note("back", reason="wrong", who="ana")
        result = await editor.rollback(
            base.TableVersion(3), expected=base.TableVersion(40), note=note
        )
        assert result == configuration.Accepted(version=41)
        assert (await store.load()).rows == [_row(queue=2)]
        latest = (await store.load_history(limit=1))[0]
        assert latest.note == note
        assert latest.at_ms >= testing.WALL_ORIGIN_MS
        with pytest.raises(configuration.VersionUnknown):
            await editor.rollback(
                base.TableVersion(99), expected=41, note=_note("x")
            )

    testing.run_manual(scenario())


def test_an_edit_without_changes_makes_no_version():
    async def scenario():
        _, store = Site().connect()
        await _fill(store, 1)
        editor = configuration.TableEditor(store=store, known=KNOWN)
        text = configuration.format_csv((await store.load()).rows)
        rows = configuration.parse_csv(text.encode())
        result = await editor.apply(rows, expected=1, note=_note("same"))
        assert result == configuration.Unchanged(version=1)
        with pytest.raises(configuration.TableError):
            await editor.apply([], expected=1, note=_note("none"))
        assert editor.results == {"Unchanged": 1, "TableError": 1}

    testing.run_manual(scenario())
