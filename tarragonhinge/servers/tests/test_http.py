"""Answers of backend servers that are late, cut, crossed or missing."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import demo
from tarragonhinge import servers

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"
CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes"
CUT_CHUNK = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nyes"
STRAY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
SHED = (
    b"HTTP/1.1 503 Busy\r\nTarragonhinge-Not-Run: true\r\n"
    b"Content-Length: 0\r\n\r\n"
)
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
CLOSE = None
HANG = b""

Unknown = base.UnknownReason


class _Server:
    """Server that gives the listed answers, whatever it is asked."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.requests = []
        self.closed = 0

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
                if answer in (CUT, CUT_CHUNK):
                    break
        except asyncio.IncompleteReadError:
            self.closed += 1
        writer.close()


def _make_request(method="GET", headers=()):
    fence = servers.Fence(shard="a/b", partition=1, term=2, epoch=3)
    return servers.ServerRequest(
        fence=fence, method=method, path="/a", headers=list(headers)
    )


async def _ask(answers, requests, *, timeout_ms=5000, pause_s=0.0):
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


def _name(outcome):
    if isinstance(outcome, base.Answered):
        return (outcome.status, outcome.body)
    return outcome.reason


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (WHOLE, (200, b"yes")),
        (CUT, Unknown.ANSWER_CUT),
        (CUT_CHUNK, Unknown.ANSWER_CUT),
        (CLOSE, Unknown.ANSWER_LOST),
        (b"nonsense\r\n\r\n", Unknown.ANSWER_LOST),
        (HANG, Unknown.TIMEOUT),
        (SHED, base.NotRunReason.SERVER_SHED),
        (BUSY, (503, b"")),
    ],
)
def test_an_answer_is_whole_or_a_typed_outcome(answer, expected):
    timeout_ms = 100 if answer == HANG else 5000
    outcomes, _ = asyncio.run(
        _ask([answer], [_make_request()], timeout_ms=timeout_ms)
    )
    assert [_name(o) for o in outcomes] == [expected]


def test_an_answer_that_nobody_asked_for_reaches_nobody():
    outcomes, _ = asyncio.run(
        _ask([WHOLE + STRAY, WHOLE], [_make_request()] * 2, pause_s=0.05)
    )
    assert [_name(o) for o in outcomes] == [(200, b"yes")] * 2


def test_a_late_answer_reaches_nobody():
    outcomes, server = asyncio.run(
        _ask([HANG, WHOLE], [_make_request()] * 2, timeout_ms=200)
    )
    assert [_name(o) for o in outcomes] == [Unknown.TIMEOUT, (200, b"yes")]
    assert server.closed >= 1


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_the_client_library_sends_nothing_twice(method):
    outcomes, server = asyncio.run(
        _ask([WHOLE, CLOSE, WHOLE], [_make_request(method)] * 2)
    )
    assert _name(outcomes[1]) is Unknown.ANSWER_LOST
    assert len(server.requests) == 2


def test_fields_of_the_hop_and_forged_ones_do_not_reach_a_server():
    sent = [
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("Keep-Alive", "timeout=5"),
        ("tarragonhinge-term", "99"),
        ("TARRAGONHINGE-EPOCH", "99"),
        ("Transfer-Encoding", "chunked"),
        ("X-End", "kept"),
    ]
    _, server = asyncio.run(_ask([WHOLE], [_make_request(headers=sent)]))
    head = server.requests[0].lower()
    assert b"x-end: kept" in head
    for gone in (b"x-hop", b"keep-alive", b": 99", b"chunked"):
        assert gone not in head
    assert head.count(b"tarragonhinge-term: 2") == 1
