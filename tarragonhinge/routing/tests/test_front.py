"""What callers get from an entry over HTTP."""

import asyncio
import random

from aiohttp import test_utils
import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import routing

ROW = configuration.ServiceRow(
    service="orders", homes=["koshi"], partitions=4, body_limit=10
)


class _Entry:
    """Entry that gives one outcome to every request."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.requests = []

    async def route(self, request, *, idempotent):
        self.requests.append(request)
        return self.outcome


async def _ask(outcome, method, path, **options):
    view = configuration.TableView()
    view.advance(configuration.OperatorsTable(version=1, rows=[ROW]))
    entry = _Entry(outcome)
    front = routing.Front(
        entry=entry, view=view, region="koshi", rng=random.Random(1)
    )
    server = test_utils.TestServer(front.make_application())
    async with test_utils.TestClient(server) as client:
        answer = await client.request(method, path, **options)
        return answer, await answer.read(), entry


ANSWERED = base.Answered(status=201, headers=(("X-A", "1"),), body=b"yes")


@pytest.mark.parametrize(
    ("method", "path", "options", "status", "title"),
    [
        ("GET", "/nothing/1", {}, 404, "unknown_service"),
        ("GET", "/orders", {}, 400, "bad_request"),
        ("POST", "/orders/1", {"data": b"x" * 11}, 413, "body_too_large"),
        (
            "GET",
            "/orders/1",
            {"headers": {"Tarragonhinge-Deadline-Ms": "soon"}},
            400,
            "bad_request",
        ),
    ],
)
def test_wrong_requests_are_refused_as_not_run(
    method, path, options, status, title
):
    answer, body, entry = asyncio.run(_ask(ANSWERED, method, path, **options))
    assert answer.status == status
    problem = msgspec.json.decode(body)
    assert (problem["title"], problem["outcome"]) == (title, "not_run")
    assert answer.headers["Content-Type"] == "application/problem+json"
    assert not entry.requests


def test_an_answer_is_passed_on_whole():
    answer, body, entry = asyncio.run(_ask(ANSWERED, "PUT", "/orders/1?a=b"))
    assert (answer.status, body) == (201, b"yes")
    assert answer.headers["X-A"] == "1"
    assert answer.headers["Tarragonhinge-Outcome"] == "answered"
    assert entry.requests[0].path == "/orders/1?a=b"


@pytest.mark.parametrize(
    ("outcome", "status", "retry_after"),
    [
        (
            base.NotRun(
                reason=base.NotRunReason.OVERLOADED, retry_after_ms=1200
            ),
            503,
            "2",
        ),
        (base.Unknown(reason=base.UnknownReason.ANSWER_LOST), 504, None),
    ],
)
def test_refusals_are_problem_documents(outcome, status, retry_after):
    answer, body, _ = asyncio.run(_ask(outcome, "GET", "/orders/1"))
    assert answer.status == status
    assert answer.headers.get("Retry-After") == retry_after
    assert msgspec.json.decode(body)["remedy"]
