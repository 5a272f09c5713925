"""The soak's checks of what servers say, on made-up observations."""

import types

import pytest

from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _response_checks
from tarragonhinge.platform.soak import _spans
from tarragonhinge.platform.soak import _statements
from tarragonhinge.platform import standins

#: Time at which the server begins to say something.
BEGAN_AT = 100.0


def _find_violations(*, wait_s, arrived_s, answered_s=(), is_calm=True):
    """Check arrivals of one instance; times since the beginning."""
    instance = types.SimpleNamespace(
        name="e1",
        ip="127.1.1.1",
        has_been_calm=lambda since, until: is_calm,
        cuts=_spans.Spans(),
    )
    attempts = [
        _attempts.Attempt(
            attempt_id=f"a{number}",
            kind="/safe/",
            key=0,
            instance=instance,
            sent_at=BEGAN_AT + at_s,
        )
        for number, at_s in enumerate(arrived_s)
    ]
    executions = []
    for number, at_s in enumerate(answered_s):
        execution = standins.Execution(
            attempt=f"a{number}",
            server="i-1",
            key=-1,
            began_at=BEGAN_AT + at_s,
        )
        execution.ended_at = BEGAN_AT + at_s
        execution.state = standins.ExecutionState.ANSWERED
        executions.append(execution)
    server = types.SimpleNamespace(
        name="i-1",
        executions=executions,
        arrivals=[(a.sent_at, a.attempt_id) for a in attempts],
        sources=[instance.ip for _ in attempts],
    )
    statement = _statements.Statement(
        server=server, began_at=BEGAN_AT, wait_s=wait_s
    )
    return _response_checks.list_violations([statement], attempts, [instance])


@pytest.mark.parametrize(
    ("arrived_s", "answered_s", "is_calm", "is_violated"),
    [
        ((1.0, 3.4), (1.0,), True, False),
        ((1.0, 3.6), (1.0,), True, True),
        ((1.0, 3.6), (1.0,), False, False),
        # No response had said so.
        ((1.0, 3.6), (), True, False),
    ],
)
def test_requests_to_leaving_server(
    arrived_s, answered_s, is_calm, is_violated
):
    violations = _find_violations(
        wait_s=0.0,
        arrived_s=arrived_s,
        answered_s=answered_s,
        is_calm=is_calm,
    )
    assert bool(violations) == is_violated


@pytest.mark.parametrize(
    ("arrived_s", "is_calm", "is_violated"),
    [
        ((0.0, 0.1, 0.2, 0.3, 0.4), True, False),
        ((0.0, 1.0, 1.1), True, False),
        ((0.0, 1.0, 1.1, 1.2), True, True),
        ((0.0, 1.0, 1.1, 1.2), False, False),
        ((0.0, 3.0, 3.1, 3.2), True, False),
    ],
)
def test_requests_within_a_wait(arrived_s, is_calm, is_violated):
    violations = _find_violations(
        wait_s=3.0, arrived_s=arrived_s, is_calm=is_calm
    )
    assert bool(violations) == is_violated
