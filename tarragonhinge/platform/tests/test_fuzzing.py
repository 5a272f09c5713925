"""Any external input is decoded or rejected with a typed error.

Hypothesis derives the examples from the source of each test function, so that
a rename within one changes its examples.
"""

import json

import hypothesis
from hypothesis import strategies
import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import platform
from tarragonhinge.platform import _errors
from tarragonhinge.platform.tests import test_codecs

_SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None
)

_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner)
    ),
    max_leaves=6,
)


def _list_paths(value, path=()):
    """Return the paths to all values nested in a JSON value."""
    paths = [path]
    if isinstance(value, dict):
        for name, inner in value.items():
            paths += _list_paths(inner, (*path, name))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            paths += _list_paths(inner, (*path, index))
    return paths


def _replace(value, path, new):
    if not path:
        return new
    changed = dict(value) if isinstance(value, dict) else list(value)
    changed[path[0]] = _replace(value[path[0]], path[1:], new)
    return changed


@strategies.composite
def _with_replaced_value(draw, text):
    """Return encoded JSON in which one value has an arbitrary type."""
    value = json.loads(text)
    path = draw(strategies.sampled_from(_list_paths(value)))
    return json.dumps(_replace(value, path, draw(_VALUES))).encode()


@strategies.composite
def _with_replaced_slice(draw, data):
    """Return bytes of which one slice is replaced by arbitrary bytes."""
    first = draw(strategies.integers(0, len(data)))
    last = draw(strategies.integers(first, len(data)))
    return data[:first] + draw(strategies.binary(max_size=8)) + data[last:]


def _check_table(table):
    assert isinstance(table, catalog.RoutingTable)
    for route in table.routes:
        assert route.max_attempts >= 1
        assert route.targets


def _check_server(entry):
    assert isinstance(entry, catalog.ServerEntry)
    assert entry.slots >= 1
    assert entry.cold_ms >= 0
    base.parse_address(entry.address)


@pytest.mark.parametrize(
    "damage", [_with_replaced_value, _with_replaced_slice]
)
def test_decode_fuzzed_configuration(damage):
    @_SETTINGS
    @hypothesis.given(damage(test_codecs.CONFIG))
    def check(value):
        try:
            table = platform.PlatformCodec().decode_routing(value)
        except base.CodecError as error:
            assert error.remedy
        else:
            _check_table(table)

    check()


@pytest.mark.parametrize(
    "damage", [_with_replaced_value, _with_replaced_slice]
)
def test_decode_fuzzed_server_entry(damage):
    @_SETTINGS
    @hypothesis.given(damage(test_codecs.SERVER))
    def check(value):
        try:
            entry = platform.PlatformCodec().decode_server("i-1", value)
        except base.CodecError as error:
            assert error.remedy
        else:
            _check_server(entry)

    check()


@_SETTINGS
@hypothesis.given(_with_replaced_slice(test_codecs.NODE.encode()))
def test_settings_files(value):
    text = value.decode("latin-1")
    try:
        options = platform.parse_node_file(text)
    except _errors.NodeFileError as error:
        assert error.remedy
    else:
        assert options.instance
        base.parse_address(options.store)


@_SETTINGS
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(
            [
                "tarragonhinge-request-attempt-id",
                "tarragonhinge-deadline-ms",
                "tarragonhinge-shard-key",
                "tarragonhinge-upstream-load",
                "tarragonhinge-instance-id",
            ]
        ),
        strategies.text(max_size=12),
    )
)
def test_header_fields(fields):
    dialect = platform.PlatformDialect()
    facts = dialect.read_request(fields)
    assert facts.key is None or 0 <= facts.key < catalog.KEY_COUNT
    assert facts.deadline_ms is None or facts.deadline_ms >= 0
    load = dialect.read_answer(fields).load
    assert load is None or min(load.running, load.waiting, load.slots) >= 0
