"""The soak's checks of crashing requests, on made-up observations."""

import types

import pytest

from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _crash_check
from tarragonhinge.platform.soak import _crashing_requests
from tarragonhinge.platform.soak import _spans

TARGET = "/safe/crash0"

#: Times of the crashes, in seconds.
CRASHED_AT = (100.0, 101.0, 102.0)


def _make_request():
    return _crashing_requests.CrashingRequest(
        prefix="/safe/", target=TARGET, key=0, interval_s=0.3
    )


def _find_late(
    *, arrived_at, crashed_at=CRASHED_AT, is_calm=True, store=(), target=TARGET
):
    """Check arrivals of one request at the given times."""
    instance = types.SimpleNamespace(
        name="e1",
        ip="127.1.1.1",
        has_been_calm=lambda since, until: is_calm,
    )
    attempts = [
        _attempts.Attempt(
            attempt_id=f"a{number}",
            kind="/safe/",
            key=0,
            target=target,
            instance=instance,
            sent_at=at - 0.1,
            ended_at=at + 0.1,
        )
        for number, at in enumerate(arrived_at)
    ]
    servers = [
        types.SimpleNamespace(
            crashed_at=at, crashed_by=TARGET, arrivals=[], sources=[]
        )
        for at in crashed_at
    ]
    servers[0].arrivals = [
        (at, f"a{number}") for number, at in enumerate(arrived_at)
    ]
    servers[0].sources = [instance.ip for _ in arrived_at]
    disruptions = _spans.Spans()
    for since, until in store:
        disruptions.begin()[:] = [since, until]
    return _crash_check.list_late_arrivals(
        [_make_request()], servers, attempts, [instance], disruptions
    )


@pytest.mark.parametrize(
    ("options", "is_violated"),
    [
        ({"arrived_at": [106, 107, 108, 109]}, True),
        ({"arrived_at": [106, 107, 108]}, False),
        ({"arrived_at": [104, 104.9, 107, 108, 109]}, False),
        ({"arrived_at": [106, 107, 108, 109], "is_calm": False}, False),
        ({"arrived_at": [106, 107, 108, 109], "store": [(103, 106)]}, False),
        ({"arrived_at": [106, 107, 108, 109], "store": [(90, 95)]}, True),
        ({"arrived_at": [106] * 9, "crashed_at": CRASHED_AT[:2]}, False),
        ({"arrived_at": [106] * 9, "target": "/safe/x"}, False),
    ],
)
def test_late_arrivals(options, is_violated):
    assert bool(_find_late(**options)) == is_violated


@pytest.mark.parametrize(
    ("target", "body", "is_violated"),
    [
        (TARGET, '{"error":"crashes_servers"}', False),
        ("/safe/x", '{"error":"crashes_servers"}', True),
        ("/safe/x", '{"error":"overload"}', False),
    ],
)
def test_refusals_of_others(target, body, is_violated):
    attempt = _attempts.Attempt(
        attempt_id="a1",
        kind="/safe/",
        key=0,
        target=target,
        instance=types.SimpleNamespace(name="e1"),
        sent_at=1.0,
        body=body,
    )
    violations = _crash_check.list_refused_others([_make_request()], [attempt])
    assert bool(violations) == is_violated
