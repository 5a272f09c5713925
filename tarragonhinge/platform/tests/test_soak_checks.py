"""The soak's check of lost requests, on made-up observations."""

import types

import pytest

from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _checks
from tarragonhinge.platform.soak import _spans
from tarragonhinge.platform import standins

Ending = _attempts.Ending
State = standins.ExecutionState

#: Time of SIGTERM; the instance had been started long before.
STOPPED_AT = 100.0


def _make_spans(*spans):
    result = _spans.Spans()
    for since, until in spans:
        result.begin()[:] = [since, until]
    return result


def _find_violations(
    *,
    sent_s=3.1,
    ended_s=5.7,
    kind="/slow/",
    ending=Ending.CLOSED,
    status=0,
    is_sealed=False,
    is_kept=True,
    is_pipelined=False,
    work=((3.1, 5.7, State.ABANDONED),),
    stopped_at=(STOPPED_AT,),
    reloaded_at=(),
    disruptions=(),
    server_disruptions=(),
    store_disruptions=(),
    cuts=(),
    cuts_of_others=(),
    count=1,
):
    """Check `count` equal attempts, with times since SIGTERM."""
    other = types.SimpleNamespace(
        ip="127.1.1.2", cuts=_make_spans(*cuts_of_others)
    )
    instance = types.SimpleNamespace(
        name="e1",
        ip="127.1.1.1",
        cuts=_make_spans(*cuts),
        started_at=[0.0],
        stopped_at=list(stopped_at),
        reloaded_at=list(reloaded_at),
        disruptions=_make_spans(*disruptions),
    )
    attempts = [
        _attempts.Attempt(
            attempt_id=f"a{number}",
            kind=kind,
            key=1,
            instance=instance,
            sent_at=STOPPED_AT + sent_s,
            ended_at=STOPPED_AT + ended_s,
            status=status,
            ending=ending,
            is_sealed=is_sealed,
            is_kept=is_kept,
            is_pipelined=is_pipelined,
        )
        for number in range(count)
    ]
    executions = [
        standins.Execution(
            attempt=attempt.attempt_id,
            server="i-1",
            key=1,
            began_at=STOPPED_AT + began_s,
            ended_at=STOPPED_AT + end_s,
            state=state,
            source=instance.ip,
        )
        for attempt in attempts
        for began_s, end_s, state in work
    ]
    testbed = types.SimpleNamespace(
        servers=[types.SimpleNamespace(executions=executions)],
        instances=[instance, other],
        server_disruptions={"i-1": _make_spans(*server_disruptions)},
        store_disruptions=_make_spans(*store_disruptions),
    )
    checks = _checks.Checks(
        testbed=testbed, callers=types.SimpleNamespace(attempts=attempts)
    )
    checks.check_lost()
    return checks.violations


OWN_FAILURE = {"ending": Ending.ANSWERED, "status": 502}
EARLY = {"sent_s": 0.5, "ended_s": 0.6, "work": ((0.5, 0.6, State.ABANDONED),)}


@pytest.mark.parametrize(
    "observed",
    [
        pytest.param({}, id="accepted late"),
        pytest.param(OWN_FAILURE, id="own failure"),
        pytest.param(EARLY, id="cut early"),
        pytest.param({"ending": Ending.RESET}, id="reset"),
        pytest.param({"is_pipelined": True}, id="pipelined and passed on"),
        pytest.param({"is_kept": False}, id="first on its connection"),
        pytest.param(
            {"sent_s": 0.5, "ended_s": 0.8, "work": ()}, id="read, not passed"
        ),
        pytest.param(
            EARLY | {"work": ((0.5, 0.55, State.ANSWERED),)},
            id="response not forwarded",
        ),
        pytest.param(
            {"store_disruptions": [(101.0, 102.0)]}, id="store disturbed"
        ),
        pytest.param(
            EARLY | {"stopped_at": (), "reloaded_at": (100.0,)}, id="reload"
        ),
        pytest.param({"cuts": [(90.0, 99.0)]}, id="cut off long before"),
        pytest.param(
            {"cuts_of_others": [(101.0, 102.0)]}, id="another one cut off"
        ),
    ],
)
def test_lost_request_is_found(observed):
    violations = _find_violations(**observed)
    assert len(violations) == 1
    assert violations[0].startswith("lost: a0 ")


@pytest.mark.parametrize(
    "observed",
    [
        pytest.param(
            {"ending": Ending.ANSWERED, "status": 200, "is_sealed": True},
            id="answered",
        ),
        pytest.param(
            {"sent_s": 2.9, "work": ((2.9, 5.7, State.ABANDONED),)},
            id="sent in time and too long",
        ),
        pytest.param(
            {"sent_s": 0.7, "work": ((0.7, 5.7, State.ABANDONED),)},
            id="timeout reached",
        ),
        pytest.param({"ending": Ending.GAVE_UP}, id="caller gave up"),
        pytest.param(
            {"work": ((3.1, 5.7, State.BROKEN_OFF),)}, id="server broke off"
        ),
        pytest.param({"disruptions": [(99.0, 100.5)]}, id="paused"),
        pytest.param({"server_disruptions": [(101, 102)]}, id="path cut"),
        pytest.param({"cuts": [(101, 102)]}, id="instance cut off"),
        pytest.param(
            {"kind": "/keyed/", "store_disruptions": [(101.0, 102.0)]},
            id="keyed, store disturbed",
        ),
        pytest.param(
            {"sent_s": 0.5, "ended_s": 0.6, "work": ()}, id="crossed the close"
        ),
        pytest.param(
            {"ending": Ending.RESET, "work": ()}, id="reset, not read"
        ),
        pytest.param(
            {"is_pipelined": True, "work": ()}, id="behind another one"
        ),
        pytest.param({"stopped_at": ()}, id="no planned work"),
    ],
)
def test_excused_request_is_not_lost(observed):
    assert _find_violations(**observed) == []


@pytest.mark.parametrize(
    ("observed", "expected"),
    [
        ({"count": 3}, 0),
        ({"count": 4}, 1),
        ({"count": 4, "is_kept": False}, 0),
        ({"count": 4, **OWN_FAILURE}, 0),
        ({"count": 4, "store_disruptions": [(101.0, 102.0)]}, 1),
        ({"count": 4, "store_disruptions": [(102.0, 103.0)]}, 0),
        ({"count": 4, "server_disruptions": [(101.0, 102.0)]}, 0),
    ],
)
def test_more_than_three_lost_without_planned_work(observed, expected):
    violations = _find_violations(stopped_at=(), **observed)
    assert len(violations) == expected
    assert all("4 lost in touch" in message for message in violations)
