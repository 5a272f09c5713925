"""A claim names the first era in which an instance may have coordinated."""

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge.coordination import _leadership

UNKNOWN = msgspec.UNSET


def _make_claim(first_era):
    return _leadership.Leadership(
        term=base.Term(3),
        instance=base.InstanceId("e1"),
        incarnation=base.IncarnationId("run-1"),
        address=base.Address("127.0.0.1:1"),
        first_era=first_era,
    )


@pytest.mark.parametrize(
    ("previous", "seen", "is_first_start", "expected"),
    [
        # No claim: the first one of all, unless one may have been lost.
        (None, 4, True, 4),
        (None, 4, False, UNKNOWN),
        (None, None, True, UNKNOWN),
        # The first era is kept by each later claim, in any era.
        (_make_claim(4), 4, False, 4),
        (_make_claim(4), 7, False, 4),
        (_make_claim(4), 7, True, 4),
        (_make_claim(7), 4, True, 4),
        # A claim of an earlier release does not name it.
        (_make_claim(UNKNOWN), 4, True, UNKNOWN),
    ],
)
def test_first_era_of_a_claim(previous, seen, is_first_start, expected):
    found = _leadership.find_first_era(
        previous, seen=seen, is_first_start=is_first_start
    )
    assert found is expected or found == expected


def test_claim_of_an_earlier_release_is_decoded():
    value = msgspec.json.encode(
        {"term": 3, "instance": "e1", "incarnation": "r", "address": "a:1"}
    )
    assert _leadership.decode_leadership(value).first_era is UNKNOWN
