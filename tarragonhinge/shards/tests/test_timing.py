"""Validation of durations."""

import pytest

from tarragonhinge import base
from tarragonhinge import shards


@pytest.mark.parametrize(
    ("changes", "name"),
    [
        ({"grant_ms": 0}, "grant_ms=0"),
        ({"lease_ms": -1}, "lease_ms=-1"),
        ({"heartbeat_ms": 500, "lease_ms": 1000}, "heartbeat_ms=500"),
    ],
)
def test_errors_name_the_invalid_duration(changes, name):
    with pytest.raises(base.ParameterError, match=name):
        shards.Timing(**changes)
