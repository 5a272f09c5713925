"""A server that drains never becomes ready again in the same life."""

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import catalog

READY = catalog.ServerEntry(
    server=base.ServerId("s1"),
    service=base.ServiceName("books"),
    address=base.Address("10.0.0.1:80"),
    zone=base.ZoneName("z"),
    slots=2,
    born_ms=1,
)
DRAINING = msgspec.structs.replace(READY, state=catalog.ServerState.DRAINING)
REBORN = msgspec.structs.replace(READY, born_ms=2)


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        ([READY, DRAINING, READY], DRAINING),
        ([READY, DRAINING, None, READY], DRAINING),
        ([READY, DRAINING, None, READY, None, READY], DRAINING),
        ([READY, DRAINING, REBORN], REBORN),
        ([READY, DRAINING, REBORN, READY], DRAINING),
        # An entry that expired while the server ran is written again.
        ([READY, None, READY], READY),
    ],
)
def test_drain_is_final_for_an_incarnation(entries, expected):
    view = catalog.View()
    for entry in entries:
        view.set_servers({} if entry is None else {entry.server: entry})
    assert view.servers == {expected.server: expected}
