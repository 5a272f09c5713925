"""Request smuggling, and damaged requests and responses.

Hypothesis derives the examples from the source of each test function, so that
a rename within one changes its examples.
"""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from tarragonhinge import http1
from tarragonhinge.http1.tests import test_caller_connection
from tarragonhinge.http1.tests import test_server_connection

_SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None
)

_HIDDEN = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
_CHUNKED = f"{len(_HIDDEN):x}\r\n{_HIDDEN}\r\n0\r\n\r\n"

#: Header fields that define the length of a body, most of them invalid.
_FRAMINGS = [
    f"Content-Length: {len(_HIDDEN)}",
    f"Content-Length: +{len(_HIDDEN)}",
    f"Content-Length:  {len(_HIDDEN)} ",
    f"Content-Length : {len(_HIDDEN)}",
    f"Content-Length: {len(_HIDDEN)},{len(_HIDDEN)}",
    f"Content-Length: 0x{len(_HIDDEN):x}",
    "Content-Length: 4",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: Chunked",
    "Transfer-Encoding: chunked, identity",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding:\tchunked",
]


@_SETTINGS
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(_FRAMINGS),
        min_size=2,
        max_size=3,
        unique=True,
    ),
    strategies.sampled_from([_HIDDEN, _CHUNKED]),
)
def test_a_request_inside_a_body_is_never_handled(framings, body):
    """Two different statements of a body's length are one too many."""
    head = "\r\n".join(["POST /a HTTP/1.1", "Host: a", *framings])

    async def run():
        async with test_caller_connection._Site() as site:
            site.send(f"{head}\r\n\r\n{body}")
            site.writer.write_eof()
            await site.reader.read()
            targets = [request.target for request in site.requests]
            assert "/hidden" not in targets

    asyncio.run(run())


@_SETTINGS
@hypothesis.given(strategies.data())
def test_damaged_requests_end_the_connection_or_are_answered(data):
    text = "".join(
        [
            test_caller_connection._get("/1"),
            test_caller_connection._post("/2", "body"),
            test_caller_connection._get("/3"),
        ]
    ).encode()
    first = data.draw(strategies.integers(0, len(text)))
    last = data.draw(strategies.integers(first, len(text)))
    damaged = text[:first] + data.draw(strategies.binary()) + text[last:]

    async def run():
        async with test_caller_connection._Site() as site:
            site.writer.write(damaged)
            site.writer.write_eof()
            async with asyncio.timeout(10):
                answers = await site.reader.read()
                await asyncio.wait([site.task])
            assert site.task.exception() is None
            assert answers.count(b"HTTP/1.1 200") <= len(site.requests)
            assert site.running == 0

    asyncio.run(run())


@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize(
    "length", range(1, len(test_server_connection.MATCHING), 3)
)
def test_truncated_response_is_an_error(length, closes):
    async def run():
        server = test_server_connection._ScriptedServer(
            [test_server_connection.MATCHING[:length]], closes=closes
        )
        async with server.connect() as connection:
            exchange = asyncio.create_task(
                test_server_connection._exchange(connection)
            )
            done, _ = await asyncio.wait([exchange], timeout=0.05)
            if not closes:
                assert not done
                exchange.cancel()
            elif not done:
                await asyncio.wait([exchange])
            if closes:
                assert isinstance(exchange.exception(), http1.ExchangeError)

    asyncio.run(run())
