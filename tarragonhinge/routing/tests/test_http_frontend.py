"""HTTP frontend of an entry."""

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
    """Entry that returns one outcome for every request."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.requests = []

    async def route(self, request, *, idempotent):
        self.requests.append(request)
        return self.outcome


async def _request(outcome, method, path, **options):
    view = configuration.TableView()
    view.advance(configuration.OperatorsTable(version=1, rows=[ROW]))
    entry = _Entry(outcome)
    frontend = routing.HttpFrontend(
        entry=entry, view=view, region="koshi", rng=random.Random(1)
    )
    server = test_utils.TestServer(frontend.make_application())
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
def test_invalid_requests_are_refused(method, path, options, status, title):
    answer, body, entry = asyncio.run(
        _request(ANSWERED, method, path, **options)
    )
    assert answer.status == status
    problem = msgspec.json.decode(body)
    assert (problem["title"], problem["outcome"]) == (title, "not_run")
    assert answer.headers["Content-Type"] == "application/problem+json"
    assert not entry.requests


def test_answer_is_forwarded_unchanged():
    answer, body, entry = asyncio.run(
        _request(ANSWERED, "PUT", "/orders/1?a=b")
    )
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
    answer, body, _ = asyncio.run(_request(outcome, "GET", "/orders/1"))
    assert answer.status == status
    assert answer.headers.get("Retry-After") == retry_after
    assert msgspec.json.decode(body)["remedy"]


class _SilentEntry(_Entry):
    """Entry that returns no outcome."""

    def __init__(self):
        super().__init__(None)
        self.was_called = asyncio.Event()

    async def route(self, request, *, idempotent):
        self.was_called.set()
        await asyncio.get_running_loop().create_future()


def test_aborted_request_is_answered_on_open_connection():
    """Guards against a stop that closes connections without a response."""

    async def run():
        view = configuration.TableView()
        view.advance(configuration.OperatorsTable(version=1, rows=[ROW]))
        entry = _SilentEntry()
        frontend = routing.HttpFrontend(
            entry=entry, view=view, region="koshi", rng=random.Random(1)
        )
        server = test_utils.TestServer(frontend.make_application())
        async with test_utils.TestClient(server) as client:
            sent = asyncio.create_task(client.post("/orders/1"))
            await entry.was_called.wait()
            await frontend.abort()
            answers = [await sent, await client.post("/orders/1")]
            return [
                (
                    answer.status,
                    (await answer.json(content_type=None))["title"],
                )
                for answer in answers
            ]

    assert asyncio.run(run()) == [(504, "answer_lost"), (503, "stopping")]


SMUGGLED = (
    b"GET /orders/2 HTTP/1.1\r\nHost: a\r\nTarragonhinge-Term: 9\r\n\r\n"
)
POST_HEAD = b"POST /orders/1 HTTP/1.1\r\nHost: a\r\n"


async def _send_raw(content, *, half_close=False):
    """Return the status line and the requests that reached the entry."""
    view = configuration.TableView()
    view.advance(configuration.OperatorsTable(version=1, rows=[ROW]))
    entry = _Entry(ANSWERED)
    frontend = routing.HttpFrontend(
        entry=entry, view=view, region="koshi", rng=random.Random(1)
    )
    server = test_utils.TestServer(frontend.make_application())
    async with server:
        reader, writer = await asyncio.open_connection(
            server.host, server.port
        )
        writer.write(content)
        if half_close:
            writer.write_eof()
        status = await reader.readline()
        writer.close()
    return status, entry.requests


@pytest.mark.parametrize(
    "content",
    [
        POST_HEAD
        + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"0\r\n\r\n"
        + SMUGGLED,
        POST_HEAD
        + b"Content-Length: 0\r\nContent-Length: 4\r\n\r\n"
        + SMUGGLED,
        POST_HEAD + b"Content-Length: +4\r\n\r\n" + SMUGGLED,
        POST_HEAD + b"Content-Length : 0\r\n\r\n" + SMUGGLED,
        POST_HEAD + b"Transfer-Encoding: xchunked\r\n\r\n" + SMUGGLED,
        POST_HEAD + b"X-A: b\nX-C: d\0\r\n\r\n" + SMUGGLED,
        POST_HEAD + b"X-A: " + b"b" * 20_000 + b"\r\n\r\n",
        b"GET /orders/" + b"1" * 20_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
        POST_HEAD + b"".join(b"X-%d: 1\r\n" % n for n in range(500)) + b"\r\n",
    ],
    ids=[
        "length and chunked",
        "two lengths",
        "signed length",
        "space before colon",
        "unknown coding",
        "control character",
        "large field",
        "large target",
        "many fields",
    ],
)
def test_ambiguous_or_oversized_heads_are_refused(content):
    status, requests = asyncio.run(_send_raw(content))
    assert status.startswith((b"HTTP/1.1 400", b"HTTP/1.0 400")), status
    assert not requests


def test_request_with_truncated_body_is_not_forwarded():
    content = POST_HEAD + b"Content-Length: 9\r\n\r\nhalf"
    _, requests = asyncio.run(_send_raw(content, half_close=True))
    assert not requests
