"""Which instances may claim a shard."""

import pytest

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge import shards
from tarragonhinge import testing

SHARD = base.ShardId("balances/centro")


def _make_entries(count):
    return [
        membership.InstanceEntry(
            instance=base.InstanceId(f"i{number}"),
            address=base.Address(f"127.0.0.1:{number + 1}"),
            region=base.RegionName("centro"),
            zone=base.ZoneName("centro-a"),
        )
        for number in range(count)
    ]


def _make_candidates(count):
    view = configuration.TableView()
    instances = membership.InstanceView()
    entries = _make_entries(count)
    instances.replace(entries)
    candidates = shards.Candidates(
        me=entries[0], view=view, instances=instances
    )
    return candidates, instances, view


@pytest.mark.parametrize(("count", "expected"), [(1, 1), (3, 3), (40, 3)])
def test_the_first_of_a_shard_are_few(count, expected):
    candidates, _, _ = _make_candidates(count)
    assert candidates.list_first(SHARD) == candidates.rank(SHARD)[:expected]


def test_the_first_are_ranked_again_when_the_list_changes():
    candidates, instances, _ = _make_candidates(10)
    gone = candidates.list_first(SHARD)[0]
    assert candidates.knows_first(SHARD)
    instances.replace([e for e in _make_entries(10) if e != gone])
    assert not candidates.knows_first(SHARD)
    assert gone not in candidates.list_first(SHARD)


def test_the_first_are_ranked_again_when_the_table_changes():
    candidates, _, view = _make_candidates(10)
    last = candidates.rank(SHARD)[-1]
    candidates.list_first(SHARD)
    row = testing.make_row(instances=[last.instance])
    view.advance(configuration.OperatorsTable(version=1, rows=[row]))
    assert candidates.list_first(SHARD) == [last]
