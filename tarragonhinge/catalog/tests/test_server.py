"""Tests of the comparison of server entries."""

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import catalog

_ENTRY = catalog.ServerEntry(
    server=base.ServerId("i-1"),
    service=base.ServiceName("s"),
    address=base.Address("127.0.0.1:1"),
    zone=base.ZoneName("z"),
    slots=2,
    born_ms=1,
    cold_ms=3_000,
)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"cold_ms": 2_100}, True),
        ({"cold_ms": 0}, False),
        ({"cold_ms": 4_000}, False),
        ({"cold_ms": 2_100, "slots": 3}, False),
        ({"cold_ms": 2_100, "born_ms": 2}, False),
        ({"cold_ms": 2_100, "state": catalog.ServerState.DRAINING}, False),
    ],
)
def test_entry_that_differs_only_by_warm_up(changes, expected):
    entry = msgspec.structs.replace(_ENTRY, **changes)
    assert entry.differs_only_by_warm_up(_ENTRY) is expected
    assert not entry.differs_only_by_warm_up(None)
