"""Ranking of the instances that may claim a shard."""

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
def test_the_number_of_candidates_is_bounded(count, expected):
    candidates, _, _ = _make_candidates(count)
    assert (
        candidates.list_candidates(SHARD) == candidates.rank(SHARD)[:expected]
    )


def test_candidates_are_ranked_again_when_the_list_changes():
    candidates, instances, _ = _make_candidates(10)
    removed = candidates.list_candidates(SHARD)[0]
    assert candidates.is_ranked(SHARD)
    instances.replace([e for e in _make_entries(10) if e != removed])
    assert not candidates.is_ranked(SHARD)
    assert removed not in candidates.list_candidates(SHARD)


def test_candidates_are_ranked_again_when_the_table_changes():
    candidates, _, view = _make_candidates(10)
    last = candidates.rank(SHARD)[-1]
    candidates.list_candidates(SHARD)
    row = testing.make_row(instances=[last.instance])
    view.advance(configuration.OperatorsTable(version=1, rows=[row]))
    assert candidates.list_candidates(SHARD) == [last]
