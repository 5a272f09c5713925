"""Each request that is handled gets a response that a caller can read."""

import pytest

from tarragonhinge import http1
from tarragonhinge.http1.tests import caller_side
from tarragonhinge.http1.tests import test_caller_connection
from tarragonhinge.testing import run_manual

_get = test_caller_connection._get


@pytest.mark.parametrize(
    "response",
    [
        http1.HttpResponse(status=101, fields=[]),
        http1.HttpResponse(status=199, fields=[]),
        http1.HttpResponse(status=200, fields=[("content-length", "7")]),
        http1.HttpResponse(
            status=200, fields=[("transfer-encoding", "gzip, chunked")]
        ),
        http1.HttpResponse(status=200, fields=[("x y", "1")]),
        http1.HttpResponse(status=200, fields=[("x", "1\r\ny: 2")]),
        http1.HttpResponse(status=200, fields=[("x", "\u0142")]),
    ],
)
def test_response_that_cannot_be_encoded_becomes_502(response):
    """Else the connection hangs and takes requests without answers."""

    async def run():
        site = caller_side.CallerSide()
        site.responses["/1"] = response
        site.send(_get("/1") + _get("/2"))
        await caller_side.settle()
        received = site.transport.received
        assert received.startswith(b"HTTP/1.1 502")
        assert site.count_responses() == 1
        assert received.endswith(b"/2")
        assert site.connection.is_idle

    run_manual(run())


@pytest.mark.parametrize("status", [200, 204, 304, 404, 599, 999])
@pytest.mark.parametrize("method", ["GET", "HEAD", "DELETE"])
@pytest.mark.parametrize(
    "extra", ["", "Upgrade: x\r\nConnection: upgrade\r\n"]
)
def test_connection_is_kept_after_each_status(status, method, extra):
    async def run():
        site = caller_side.CallerSide()
        site.responses["/1"] = http1.HttpResponse(
            status=status, fields=[("x", "1")], body=b"body"
        )
        site.send(f"{method} /1 HTTP/1.1\r\nHost: a\r\n{extra}\r\n")
        await caller_side.settle()
        head, _, rest = site.transport.received.partition(b"\r\n\r\n")
        assert head.startswith(f"HTTP/1.1 {status}".encode())
        has_body = method != "HEAD" and status not in (204, 304)
        assert rest == (b"body" if has_body else b"")
        site.send(_get("/2"))
        await caller_side.settle()
        assert site.transport.received.endswith(b"/2")

    run_manual(run())


def test_request_to_connect_is_rejected():
    """After a success, the parser would take the rest for a tunnel."""

    async def run():
        site = caller_side.CallerSide()
        site.send("CONNECT /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        await caller_side.settle()
        assert site.transport.received.startswith(b"HTTP/1.1 501")
        assert site.handled == []
        assert site.connection.is_idle

    run_manual(run())


def test_handler_that_fails_becomes_502():
    """The failure is reported to the event loop."""

    async def run():
        site = caller_side.CallerSide()
        site.responses["/1"] = ValueError("a number is too long")
        site.send(_get("/1") + _get("/2"))
        await caller_side.settle()
        assert site.transport.received.startswith(b"HTTP/1.1 502")
        assert site.transport.received.endswith(b"/2")
        assert site.connection.is_idle

    with pytest.raises(ValueError, match="too long"):
        run_manual(run())
