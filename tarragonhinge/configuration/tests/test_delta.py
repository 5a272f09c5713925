"""Deltas between versions of the operators' table."""

import msgspec
import pytest

from tarragonhinge import configuration


def _make_table(version, **slots):
    rows = [
        configuration.ServiceRow(service=service, slots=count)
        for service, count in slots.items()
    ]
    return configuration.OperatorsTable(version=version, rows=rows)


EMPTY = configuration.OperatorsTable()
OLD = _make_table(1, a=1, b=2, c=3)


@pytest.mark.parametrize(
    ("new", "row_count"),
    [
        (_make_table(2, a=1, b=2, c=3), 0),
        (_make_table(2, a=1, b=9, c=3), 1),
        (_make_table(2, a=1, b=2, c=3, d=4), 1),
        (_make_table(2, c=3, a=1), 0),
        (_make_table(2), 0),
    ],
    ids=["nothing", "changed", "added", "removed and moved", "emptied"],
)
def test_delta_results_in_new_version(new, row_count):
    delta = configuration.compute_delta(OLD, new)
    assert len(delta.rows) == row_count
    assert delta.apply(OLD) == new
    assert delta.apply(new) is None


@pytest.mark.parametrize("version", [0, 1, 2, 29, 30])
def test_encoder_updates_any_version_to_current(version):
    encoder = configuration.DeltaEncoder(empty=EMPTY)
    tables = {0: EMPTY}
    for number in range(1, 31):
        tables[number] = _make_table(number, a=number, b=2)
        encoder.advance(tables[number])
    content = encoder.encode(version)
    if version == 30:
        assert not content
        return
    delta = msgspec.msgpack.decode(content, type=configuration.TableDelta)
    assert delta.apply(tables[delta.base_version]) == tables[30]
    assert delta.base_version in (0, version)
    assert len(delta.rows) == (1 if version == 29 else 2)


def test_delta_without_row_of_listed_service_is_rejected():
    delta = configuration.TableDelta(
        base_version=1, version=2, services=["a", "d"]
    )
    assert delta.apply(OLD) is None
