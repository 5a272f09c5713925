"""The soak's checks of cut instances, on made-up observations."""

import types

import pytest

from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _cut_check
from tarragonhinge.platform.soak import _spans

#: Start and end of the cut, in seconds.
CUT_AT, HEALED_AT = 100.0, 110.0

TARGET = "/safe/x"


def _make_instance(*, is_cut, is_calm=True, log=""):
    instance = types.SimpleNamespace(
        name="e1" if is_cut else "e2",
        has_been_calm=lambda since, until: is_calm,
        cuts=_spans.Spans(),
        read_log=lambda: log,
    )
    if is_cut:
        instance.cuts.begin()[:] = [CUT_AT, HEALED_AT]
    return instance


def _make_attempts(instance, *, served, failed, sent_at):
    return [
        _attempts.Attempt(
            attempt_id=f"{instance.name}-{number}",
            kind="/safe/",
            key=0,
            target=TARGET,
            instance=instance,
            sent_at=sent_at,
            ended_at=sent_at + 0.1,
            status=200 if number < served else 503,
        )
        for number in range(served + failed)
    ]


def _find_violations(
    *,
    at_cut,
    elsewhere=(100, 0),
    sent_at=104.0,
    is_calm=True,
    store=(),
    crashing=(),
):
    cut = _make_instance(is_cut=True, is_calm=is_calm)
    other = _make_instance(is_cut=False)
    disruptions = _spans.Spans()
    for since, until in store:
        disruptions.begin()[:] = [since, until]
    return _cut_check.list_violations(
        [
            *_make_attempts(
                cut, served=at_cut[0], failed=at_cut[1], sent_at=sent_at
            ),
            *_make_attempts(
                other,
                served=elsewhere[0],
                failed=elsewhere[1],
                sent_at=sent_at,
            ),
        ],
        [cut, other],
        disruptions,
        crashing,
    )


@pytest.mark.parametrize(
    ("observed", "is_violated"),
    [
        ({"at_cut": (0, 40)}, True),
        ({"at_cut": (60, 40)}, True),
        ({"at_cut": (70, 30)}, False),
        ({"at_cut": (0, 10)}, False),
        ({"at_cut": (0, 11)}, True),
        ({"at_cut": (0, 40), "elsewhere": (0, 100)}, False),
        ({"at_cut": (30, 70), "elsewhere": (40, 60)}, False),
        ({"at_cut": (0, 40), "sent_at": 102.9}, False),
        ({"at_cut": (0, 40), "sent_at": 109.95}, False),
        ({"at_cut": (0, 40), "is_calm": False}, False),
        ({"at_cut": (0, 40), "store": [(103, 105)]}, False),
        ({"at_cut": (0, 40), "crashing": [TARGET]}, False),
    ],
)
def test_served_shares(observed, is_violated):
    assert bool(_find_violations(**observed)) == is_violated


@pytest.mark.parametrize(
    ("server", "is_violated"), [("i-1", True), ("i-2", False)]
)
def test_running_server_that_was_called_crashed(server, is_violated):
    log = f'{{"event":"server_crashed","server":"{server}"}}\nother\n'
    instance = _make_instance(is_cut=True, log=log)
    assert is_violated == bool(
        _cut_check.list_false_crashes([instance], ["i-2"])
    )
