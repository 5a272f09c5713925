"""Crashes are attributed to the requests that cause them."""

import random

import pytest

from tarragonhinge import quarantine

P, Q, R = b"p", b"q", b"r"


def _make_crashes(*suspects):
    """Return crashes with the given suspects."""
    return {
        (f"s{number}", 1): frozenset(there)
        for number, there in enumerate(suspects)
    }


@pytest.mark.parametrize(
    ("crashes", "refused", "suspects"),
    [
        # Two crashes are not enough.
        ([{P}, {P}], set(), {P: 2}),
        ([{P}, {P}, {P}], {P}, {}),
        # Those that were there now and then are cleared of these crashes.
        ([{P, Q}, {P, Q}, {P, R}], {P}, {}),
        ([{P, Q}, {P, Q}, {P, Q}, {P}], {P}, {}),
        # At the same number of crashes, being alone weighs more.
        ([{P, Q}, {P, Q}, {P}, {Q, R}], {P}, {Q: 1, R: 1}),
        # Nothing tells the two apart yet.
        ([{P, Q}, {P, Q}, {P, Q}], set(), {P: 3, Q: 3}),
        ([{P, Q}] * 5, {P, Q}, {}),
        # Two crashing requests.
        ([{P}, {P, Q}, {P}, {P}, {Q}, {Q}, {Q, R}], {P, Q}, {}),
        # The shared crash is explained by the one with more of them.
        ([{P}, {P, Q}, {P}, {Q}, {Q}, {Q, R}], {Q}, {P: 2}),
        # A pair in doubt does not protect a third one.
        ([{P, Q}, {P, Q}, {P, Q}, {R}, {R}, {R}], {R}, {P: 3, Q: 3}),
        ([set(), set(), set()], set(), {}),
    ],
)
def test_judge(crashes, refused, suspects):
    judgement = quarantine.judge(_make_crashes(*crashes))
    assert set(judgement.verdicts) == refused
    assert judgement.suspects == suspects


@pytest.mark.parametrize("seed", range(20))
def test_crashing_request_is_named_among_many(seed):
    """It is named at the first crash at which no other has as many."""
    rng = random.Random(seed)
    others = [b"o%d" % number for number in range(20)]
    crashes = []
    for _ in range(8):
        crashes.append({P, *rng.sample(others, 6)})
    judgement = quarantine.judge(_make_crashes(*crashes))
    assert set(judgement.verdicts) == {P}
    assert judgement.suspects == {}


@pytest.mark.parametrize(
    ("version", "age_ms", "is_certain", "previous", "reason"),
    [
        ("v1", 0, True, [], None),
        ("v2", 0, True, [], "version v2"),
        ("v2", 0, True, ["version v2"], None),
        # Some servers still run the version that it crashed.
        (None, 0, True, [], None),
        ("v3", 0, True, ["version v2"], "version v3"),
        ("v4", 0, True, ["version v2", "version v3"], None),
        ("v1", 9_999, False, [], None),
        ("v1", 10_000, False, [], "doubt"),
        ("v1", 90_000, False, ["doubt"], None),
        ("v1", 90_000, True, [], None),
    ],
)
def test_choose_trial(version, age_ms, is_certain, previous, reason):
    crashes = _make_crashes(*[{P} if is_certain else {P, Q}] * 3, {P, R})
    verdict = quarantine.judge(crashes).verdicts[P]
    assert (
        quarantine.choose_trial(
            verdict=verdict,
            age_ms=age_ms,
            version=version,
            crashed_versions=["v1"],
            previous=previous,
        )
        == reason
    )
