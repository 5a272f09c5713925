"""The soak's check of limits that servers name, on made-up observations."""

import types

import pytest

from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _limit_check
from tarragonhinge.platform.soak import _limits
from tarragonhinge.platform import standins

#: Time at which the server begins to name its limit of one a second.
NAMED_AT = 100.0


def _find_violations(
    *,
    count=12,
    since_s=4.0,
    step_s=0.3,
    told_s=1.0,
    until_s=99.0,
    is_calm=True,
):
    """Check `count` requests of one instance; times since the naming."""
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
            instance=instance,
            sent_at=0.0,
        )
        for number in range(count + 1)
    ]
    told = standins.Execution(
        attempt=f"a{count}", server="i-1", key=-1, began_at=NAMED_AT
    )
    told.ended_at = NAMED_AT + told_s
    server = types.SimpleNamespace(
        name="i-1",
        executions=[told],
        arrivals=[
            (NAMED_AT, told.attempt),
            *(
                (NAMED_AT + since_s + step_s * number, f"a{number}")
                for number in range(count)
            ),
        ],
        sources=[instance.ip] * (count + 1),
    )
    limit = _limits.NamedLimit(
        server=server,
        rate=1.0,
        began_at=NAMED_AT,
        ended_at=NAMED_AT + until_s,
    )
    return _limit_check.list_violations([limit], attempts, [instance])


@pytest.mark.parametrize(
    "observed",
    [
        pytest.param({}, id="one more than allowed"),
        pytest.param({"since_s": 3.0}, id="just after contact"),
        pytest.param({"told_s": 3.5}, id="just after it was told"),
        pytest.param({"count": 40, "step_s": 0.2}, id="long after"),
    ],
)
def test_requests_beyond_limit_are_found(observed):
    assert len(_find_violations(**observed)) == 1


@pytest.mark.parametrize(
    "observed",
    [
        pytest.param({"count": 11}, id="as many as allowed"),
        pytest.param({"step_s": 0.4}, id="spread over more than a window"),
        pytest.param({"since_s": 2.5}, id="partly before contact"),
        pytest.param({"told_s": 4.0}, id="partly before it was told"),
        pytest.param({"until_s": 7.0}, id="partly after the limit"),
        pytest.param({"is_calm": False}, id="restarted, paused or cut"),
    ],
)
def test_other_requests_are_not_counted(observed):
    assert _find_violations(**observed) == []
