"""Answers of backend servers that are late, truncated, mixed up or missing."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import demo
from tarragonhinge import servers

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes"
TRUNCATED_CHUNK = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nyes"
)
UNREQUESTED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
SHED = (
    b"HTTP/1.1 503 Busy\r\nTarragonhinge-Not-Run: true\r\n"
    b"Content-Length: 0\r\n\r\n"
)
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
CLOSE = None
HANG = b""

Unknown = base.UnknownReason


class _Server:
    """Server that sends the listed answers in turn, whatever the request."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.requests = []
        self.disconnect_count = 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                answer = self.answers.pop(0)
                if answer is CLOSE:
                    break
                writer.write(answer)
                await writer.drain()
                if answer in (TRUNCATED, TRUNCATED_CHUNK):
                    break
        except asyncio.IncompleteReadError:
            self.disconnect_count += 1
        writer.close()


def _make_request(method="GET", headers=()):
    fence = servers.Fence(shard="a/b", partition=1, term=2, epoch=3)
    return servers.ServerRequest(
        fence=fence, method=method, path="/a", headers=list(headers)
    )


async def _dispatch_all(answers, requests, *, timeout_ms=5000, pause_s=0.0):
    server = _Server(answers)
    address = demo.find_free_address("127.0.0.1")
    host, port = address.split(":")
    listener = await asyncio.start_server(server.serve, host, int(port))
    client = servers.HttpServerClient(address=address, connection_limit=1)
    outcomes = []
    for request in requests:
        outcomes.append(await client.dispatch(request, timeout_ms=timeout_ms))
        await asyncio.sleep(pause_s)
    await client.close()
    listener.close()
    return outcomes, server


def _summarize(outcome):
    if isinstance(outcome, base.Answered):
        return (outcome.status, outcome.body)
    return outcome.reason


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (COMPLETE, (200, b"yes")),
        (TRUNCATED, Unknown.ANSWER_CUT),
        (TRUNCATED_CHUNK, Unknown.ANSWER_CUT),
        (CLOSE, Unknown.ANSWER_LOST),
        (b"nonsense\r\n\r\n", Unknown.ANSWER_LOST),
        (HANG, Unknown.TIMEOUT),
        (SHED, base.NotRunReason.SERVER_SHED),
        (BUSY, (503, b"")),
    ],
)
def test_answer_is_complete_or_a_typed_outcome(answer, expected):
    timeout_ms = 100 if answer == HANG else 5000
    outcomes, _ = asyncio.run(
        _dispatch_all([answer], [_make_request()], timeout_ms=timeout_ms)
    )
    assert [_summarize(o) for o in outcomes] == [expected]


def test_unrequested_answer_is_discarded():
    outcomes, _ = asyncio.run(
        _dispatch_all(
            [COMPLETE + UNREQUESTED, COMPLETE],
            [_make_request()] * 2,
            pause_s=0.05,
        )
    )
    assert [_summarize(o) for o in outcomes] == [(200, b"yes")] * 2


def test_late_answer_is_discarded():
    outcomes, server = asyncio.run(
        _dispatch_all([HANG, COMPLETE], [_make_request()] * 2, timeout_ms=200)
    )
    assert [_summarize(o) for o in outcomes] == [
        Unknown.TIMEOUT,
        (200, b"yes"),
    ]
    assert server.disconnect_count >= 1


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_client_library_does_not_resend(method):
    outcomes, server = asyncio.run(
        _dispatch_all([COMPLETE, CLOSE, COMPLETE], [_make_request(method)] * 2)
    )
    assert _summarize(outcomes[1]) is Unknown.ANSWER_LOST
    assert len(server.requests) == 2


def test_hop_by_hop_and_forged_fields_are_not_forwarded():
    headers = [
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("Keep-Alive", "timeout=5"),
        ("tarragonhinge-term", "99"),
        ("TARRAGONHINGE-EPOCH", "99"),
        ("Transfer-Encoding", "chunked"),
        ("X-End", "kept"),
    ]
    _, server = asyncio.run(
        _dispatch_all([COMPLETE], [_make_request(headers=headers)])
    )
    head = server.requests[0].lower()
    assert b"x-end: kept" in head
    for absent in (b"x-hop", b"keep-alive", b": 99", b"chunked"):
        assert absent not in head
    assert head.count(b"tarragonhinge-term: 2") == 1
