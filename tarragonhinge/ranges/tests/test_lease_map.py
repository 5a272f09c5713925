"""Splits and merges of leases neither lose nor duplicate keys."""

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.ranges import _lease
from tarragonhinge.ranges import _lease_map


def _make_lease(first, last):
    return _lease.Lease(
        first=first,
        last=last,
        server=base.ServerId("s1"),
        born_ms=7,
        fence=3,
        expires_at=100,
    )


@pytest.mark.parametrize(
    ("pieces", "expected"),
    [
        ([(0, 99)], [(0, 99)]),
        ([(0, 9)], [(0, 9), (10, 99)]),
        ([(90, 99)], [(0, 89), (90, 99)]),
        ([(40, 59)], [(0, 39), (40, 59), (60, 99)]),
        (
            [(60, 69), (10, 19)],
            [(0, 9), (10, 19), (20, 59), (60, 69), (70, 99)],
        ),
        ([(0, 49), (50, 99)], [(0, 49), (50, 99)]),
    ],
)
def test_split_covers_all_keys(pieces, expected):
    lease_map = _lease_map.LeaseMap(
        service=base.ServiceName("balances"), view=catalog.View()
    )
    lease = _make_lease(0, 99)
    lease_map.add(lease)
    parts = lease_map.split(lease, pieces)
    assert [(p.first, p.last) for p in parts] == expected
    assert [(p.first, p.last) for p in lease_map.leases] == expected
    assert {(p.server, p.fence, p.expires_at) for p in parts} == {
        ("s1", 3, 100)
    }


@pytest.mark.parametrize(
    ("ranges", "moving", "expected"),
    [
        ([(0, 9), (10, 19)], (), [(0, 10)]),
        ([(0, 9), (11, 19)], (), []),
        ([(0, 9), (10, 19)], (10,), []),
        ([(0, 9), (10, 19), (20, 29)], (), [(0, 10)]),
    ],
)
def test_list_mergeable(ranges, moving, expected):
    lease_map = _lease_map.LeaseMap(
        service=base.ServiceName("balances"), view=catalog.View()
    )
    for first, last in ranges:
        lease = _make_lease(first, last)
        lease.is_moving = first in moving
        lease_map.add(lease)
    pairs = lease_map.list_mergeable()
    assert [(a.first, b.first) for a, b in pairs] == expected
