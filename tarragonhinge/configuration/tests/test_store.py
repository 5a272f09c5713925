"""Edits with conflicts, lost responses, outages and damaged objects."""

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


class SharedStores:
    """Stores in memory, with a separate connection for each editor."""

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


def _make_note(edit_id, **fields):
    return configuration.EditNote(edit_id=edit_id, **fields)


def _make_row(**changes):
    return msgspec.structs.replace(ROW, **changes)


async def _apply_edits(store, count):
    for number in range(count):
        result = await store.apply_edit(
            [_make_row(queue=number)],
            expected=number,
            note=_make_note(f"e{number}"),
        )
        assert result == configuration.Accepted(version=number + 1)


def test_one_concurrent_edit_is_accepted_and_others_conflict():
    async def scenario():
        shared = SharedStores()
        _, store = shared.connect()
        await _apply_edits(store, 1)
        edits = [
            shared.connect()[1].apply_edit(
                [_make_row(slots=n)], expected=1, note=_make_note(f"r{n}")
            )
            for n in range(3, 8)
        ]
        results = await asyncio.gather(*edits)
        accepted = [
            r for r in results if isinstance(r, configuration.Accepted)
        ]
        conflicts = [
            r for r in results if isinstance(r, configuration.EditConflict)
        ]
        assert (len(accepted), len(conflicts)) == (1, 4)
        slots = (await store.load()).rows[0].slots
        for conflict in conflicts:
            changed = {(c.column, c.after) for c in conflict.changes}
            assert changed == {("slots", str(slots)), ("queue", "100")}

    testing.run_manual(scenario())


@pytest.mark.parametrize("later_edits", [0, 1, 40])
def test_lost_response_is_resolved_by_edit_id(later_edits):
    async def scenario():
        shared = SharedStores()
        faulty, store = shared.connect()
        faulty.lose_answers = 1
        _, other = shared.connect()

        async def overwrite():
            # The edit reaches the table after three one-way delays of
            # 5 ms.
            await asyncio.sleep(0.022)
            for number in range(later_edits):
                result = await other.apply_edit(
                    [_make_row(queue=number)], expected=number + 1
                )
                assert isinstance(result, configuration.Accepted)

        edit = store.apply_edit([ROW], expected=0, note=_make_note("mine"))
        result, _ = await asyncio.gather(edit, overwrite())
        assert result == configuration.Accepted(version=1)
        resent = await store.apply_edit(
            [ROW], expected=0, note=_make_note("mine")
        )
        assert resent == configuration.Accepted(version=1)
        assert (await store.load()).version == 1 + later_edits
        with pytest.raises(configuration.EditIdReused):
            await store.apply_edit([], expected=0, note=_make_note("mine"))

    testing.run_manual(scenario())


def test_edit_in_outage_is_refused_and_not_stored():
    async def scenario():
        faulty, store = SharedStores().connect()
        faulty.down = True
        result = await store.apply_edit([ROW], expected=0)
        assert isinstance(result, configuration.EditRefused)
        assert result.retry_after_ms > 0
        faulty.down = False
        assert (await store.load()).version == 0

    testing.run_manual(scenario())


def test_response_lost_in_outage_is_reported_as_unresolved():
    async def scenario():
        faulty, store = SharedStores().connect()
        faulty.lose_answers = 1

        async def start_outage():
            await asyncio.sleep(0.022)
            faulty.down = True

        edit = store.apply_edit([ROW], expected=0, note=_make_note("mine"))
        result, _ = await asyncio.gather(edit, start_outage())
        assert isinstance(result, configuration.EditUnresolved)
        faulty.down = False
        resent = await store.apply_edit(
            [ROW], expected=0, note=_make_note("mine")
        )
        assert resent == configuration.Accepted(version=1)

    testing.run_manual(scenario())


def test_stored_edit_with_unreadable_object_is_unresolved():
    class DownObjects(stores.MemoryObjects):
        down = False

        async def get(self, name):
            return (
                stores.Unavailable() if self.down else await super().get(name)
            )

    async def scenario():
        shared = SharedStores()
        shared.objects = DownObjects()
        _, store = shared.connect()
        await _apply_edits(store, 2)
        shared.objects.down = True
        _, other = shared.connect()
        resent = await other.apply_edit(
            [_make_row(queue=0)], expected=0, note=_make_note("e0")
        )
        assert isinstance(resent, configuration.EditUnresolved)

    testing.run_manual(scenario())


def test_edit_is_refused_if_object_cannot_be_stored():
    class FullObjects(stores.MemoryObjects):
        async def put(self, name, body):
            return False

    async def scenario():
        shared = SharedStores()
        shared.objects = FullObjects()
        _, store = shared.connect()
        result = await store.apply_edit([ROW], expected=0)
        assert isinstance(result, configuration.EditRefused)
        assert shared.table.write_count == 0

    testing.run_manual(scenario())


def test_unchanged_table_is_fetched_once():
    async def scenario():
        shared = SharedStores()
        _, store = shared.connect()
        await _apply_edits(store, 20)
        _, reader = shared.connect()
        for _ in range(5):
            assert (await reader.load()).version == 20
        assert reader.fetches == 1

    testing.run_manual(scenario())


def test_damaged_object_is_not_put_in_force():
    class DamagedObjects(stores.MemoryObjects):
        async def get(self, name):
            body = await super().get(name)
            return body and body.replace(b'"queue":0', b'"queue":9')

    async def scenario():
        shared = SharedStores()
        _, store = shared.connect()
        await _apply_edits(store, 1)
        damaged = DamagedObjects()
        damaged._objects = shared.objects._objects
        shared.objects = damaged
        _, reader = shared.connect()
        assert isinstance(await reader.load(), stores.Unavailable)
        assert reader.damaged == 1

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("encoded", "replacement"),
    [
        (b',"churn_weight":1.0', b""),
        (b',"churn_weight":1.0', b',"churn_weight":1.0,"of_later":7'),
        (b'{"service"', b'{ "service"'),
    ],
)
def test_table_written_by_another_release_stays_in_force(
    encoded, replacement, monkeypatch
):
    encode = _version.encode_rows

    async def scenario():
        shared = SharedStores()
        _, store = shared.connect()
        monkeypatch.setattr(
            _version,
            "encode_rows",
            lambda rows: encode(rows).replace(encoded, replacement),
        )
        await store.apply_edit([ROW], expected=0, note=_make_note("old"))
        monkeypatch.setattr(_version, "encode_rows", encode)
        _, reader = shared.connect()
        assert (await reader.load()).rows == [ROW]
        unchanged = await reader.apply_edit([ROW], expected=1)
        assert unchanged == configuration.Unchanged(version=1)
        resent = await reader.apply_edit(
            [ROW], expected=0, note=_make_note("old")
        )
        assert resent == configuration.Accepted(version=1)

    testing.run_manual(scenario())


def test_history_is_complete_and_rollback_makes_new_version():
    async def scenario():
        _, store = SharedStores().connect()
        await _apply_edits(store, 40)
        history = await store.load_history(limit=100)
        assert [edit.version for edit in history] == list(range(40, 0, -1))
        editor = configuration.TableEditor(store=store, known=KNOWN)
        note = _make_note("back", reason="wrong", who="ana")
        result = await editor.rollback(
            base.TableVersion(3), expected=base.TableVersion(40), note=note
        )
        assert result == configuration.Accepted(version=41)
        assert (await store.load()).rows == [_make_row(queue=2)]
        latest = (await store.load_history(limit=1))[0]
        assert latest.note == note
        assert latest.at_ms >= testing.WALL_ORIGIN_MS
        with pytest.raises(configuration.VersionUnknown):
            await editor.rollback(
                base.TableVersion(99), expected=41, note=_make_note("x")
            )

    testing.run_manual(scenario())


def test_edit_without_changes_makes_no_version():
    async def scenario():
        _, store = SharedStores().connect()
        await _apply_edits(store, 1)
        editor = configuration.TableEditor(store=store, known=KNOWN)
        text = configuration.format_csv((await store.load()).rows)
        rows = configuration.parse_csv(text.encode())
        result = await editor.apply(rows, expected=1, note=_make_note("same"))
        assert result == configuration.Unchanged(version=1)
        with pytest.raises(configuration.TableError):
            await editor.apply([], expected=1, note=_make_note("none"))
        assert editor.results == {"Unchanged": 1, "TableError": 1}

    testing.run_manual(scenario())
