"""Versions sent as changes of earlier ones."""

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
    ("new", "sent"),
    [
        (_make_table(2, a=1, b=2, c=3), 0),
        (_make_table(2, a=1, b=9, c=3), 1),
        (_make_table(2, a=1, b=2, c=3, d=4), 1),
        (_make_table(2, c=3, a=1), 0),
        (_make_table(2), 0),
    ],
    ids=["nothing", "changed", "added", "removed and moved", "emptied"],
)
def test_a_delta_gives_the_new_version(new, sent):
    delta = configuration.compute_delta(OLD, new)
    assert len(delta.rows) == sent
    assert delta.apply(OLD) == new
    assert delta.apply(new) is None


@pytest.mark.parametrize("asked", [0, 1, 2, 29, 30])
def test_an_encoder_brings_any_version_up_to_date(asked):
    encoder = configuration.DeltaEncoder(empty=EMPTY)
    tables = {0: EMPTY}
    for version in range(1, 31):
        tables[version] = _make_table(version, a=version, b=2)
        encoder.advance(tables[version])
    content = encoder.encode(asked)
    if asked == 30:
        assert not content
        return
    delta = msgspec.msgpack.decode(content, type=configuration.TableDelta)
    assert delta.apply(tables[delta.base_version]) == tables[30]
    assert delta.base_version in (0, asked)
    assert len(delta.rows) == (1 if asked == 29 else 2)


def test_a_delta_without_a_row_that_it_names_is_refused():
    delta = configuration.TableDelta(
        base_version=1, version=2, services=["a", "d"]
    )
    assert delta.apply(OLD) is None
