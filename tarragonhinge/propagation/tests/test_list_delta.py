"""Tests of deltas between instance lists."""

import pytest

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge.propagation import _list_delta


def _make_list(*names, port=80):
    return [
        membership.InstanceEntry(
            instance=base.InstanceId(name),
            address=base.Address(f"127.0.0.1:{port}"),
            region=base.RegionName("centro"),
            zone=base.ZoneName("centro-a"),
        )
        for name in names
    ]


OLD = _make_list("a", "b", "c")


@pytest.mark.parametrize(
    ("new", "sent", "removed"),
    [
        (_make_list("a", "b", "c", "d"), 1, []),
        (_make_list("a", "c"), 0, ["b"]),
        (_make_list("a", "b", "c", port=81), 3, []),
        ([], 0, ["a", "b", "c"]),
    ],
    ids=["joined", "left", "moved", "all left"],
)
def test_applying_a_delta_yields_the_new_list(new, sent, removed):
    history = _list_delta.ListHistory(digest=1, entries=OLD)
    history.advance(2, new)
    delta = history.compute_delta(1)
    assert (len(delta.entries), delta.removed) == (sent, removed)
    assert delta.apply(OLD) == new
    assert history.compute_delta(2) is None


def test_a_list_not_in_the_history_gets_a_delta_from_empty():
    history = _list_delta.ListHistory(digest=1, entries=OLD)
    for number in range(2, 30):
        history.advance(number, _make_list("a", f"i{number}"))
    delta = history.compute_delta(1)
    assert delta.base_digest == 0
    assert delta.apply(OLD) == _make_list("a", "i29")
