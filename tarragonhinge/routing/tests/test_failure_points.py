"""Outcomes of requests at each failure point."""

import asyncio
import pathlib

import pytest

from tarragonhinge import base
from tarragonhinge import routing
from tarragonhinge.routing.tests import failure_points
from tarragonhinge import testing

DOCUMENT = pathlib.Path(__file__).parents[3] / "docs" / "OUTCOMES.md"

#: Reasons given before a request is forwarded; see test_http_frontend and,
#: for a stop, the tests of the daemon.
FRONTEND_REASONS = {
    base.NotRunReason.UNKNOWN_SERVICE,
    base.NotRunReason.BODY_TOO_LARGE,
    base.NotRunReason.STOPPING,
}

#: Refusals that only the entry sees, which then tries another instance.
REDIRECT_REASONS = {base.NotRunReason.NOT_LEADER}


def _render(point):
    outcome = status = "answered"
    if point.reason is not None:
        kind = base.NotRun
        if isinstance(point.reason, base.UnknownReason):
            kind = base.Unknown
        problem = routing.make_problem(kind(reason=point.reason))
        outcome = problem.headers[routing.HEADER_OUTCOME]
        status = f"{problem.status} `{point.reason.value}`"
    return (
        f"| {point.step} | {point.failure} | {point.request} "
        f"| {outcome} | {status} |"
    )


@pytest.mark.parametrize(
    "point",
    failure_points.FAILURE_POINTS,
    ids=lambda p: f"{p.step}-{p.failure}-{p.request}".replace(" ", "_"),
)
def test_failure_has_the_listed_outcome(point):
    async def scenario():
        deployment = testing.Deployment(
            row=testing.make_row(servers=1, slots=1, **point.row)
        )
        await deployment.start()
        outcome = await point.provoke(deployment)
        await asyncio.sleep(0.1)
        if point.reason is None:
            assert isinstance(outcome, base.Answered), outcome
        else:
            assert outcome.reason is point.reason
        runs = [
            run.idempotency_key == failure_points.KEY
            for server in deployment.servers.values()
            for run in server.runs
        ]
        assert sum(runs) <= 1
        if isinstance(outcome, base.NotRun):
            assert not any(runs) or point.step == "remembered"

    testing.run_manual(scenario())


def test_table_covers_every_reason():
    covered = {point.reason for point in failure_points.FAILURE_POINTS}
    all_reasons = {*base.NotRunReason, *base.UnknownReason}
    assert all_reasons - covered == FRONTEND_REASONS | REDIRECT_REASONS


def test_document_shows_the_table():
    documented = [
        line
        for line in DOCUMENT.read_text().splitlines()
        if line.startswith("| ") and not line.startswith("| step")
    ]
    assert documented == [
        _render(point) for point in failure_points.FAILURE_POINTS
    ]
