"""Tests of commits whose response from the table service is lost."""

import pytest

from tarragonhinge import stores
from tarragonhinge import testing


def _make_write(value, version):
    return stores.Transaction(
        write_id=stores.make_write_id(),
        checks=[stores.Check(key="row", version=version)],
        puts=[stores.Put(key="row", value=value)],
    )


@pytest.mark.parametrize(
    ("lose_answers", "version", "expected", "stored"),
    [
        (0, 0, stores.Committed, b"new"),
        (1, 0, stores.Committed, b"new"),
        (3, 0, stores.Committed, b"new"),
        (0, 7, stores.Conflict, b""),
        (1, 7, stores.Conflict, b""),
    ],
)
def test_commit_resolves_lost_responses(
    lose_answers, version, expected, stored
):
    async def scenario():
        clock = testing.ManualClock()
        memory = stores.MemoryTable()
        table = testing.FaultyTable(table=memory, clock=clock)
        table.lose_answers = lose_answers
        committer = stores.Committer(table=table, clock=clock)
        result = await committer.commit(_make_write(b"new", version))
        assert isinstance(result, expected)
        assert memory.get_row("row").value == stored
        assert memory.get_row("row").version == (1 if stored else 0)

    testing.run_manual(scenario())


def test_commit_reports_not_written_while_the_table_is_down():
    async def scenario():
        clock = testing.ManualClock()
        table = testing.FaultyTable(table=stores.MemoryTable(), clock=clock)
        table.down = True
        committer = stores.Committer(table=table, clock=clock)
        result = await committer.commit(_make_write(b"new", 0))
        assert result == stores.Unavailable(maybe_written=False)

    testing.run_manual(scenario())
