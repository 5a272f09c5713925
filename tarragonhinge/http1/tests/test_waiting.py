"""Waits of a caller's connection for requests and for its caller."""

import asyncio

import pytest

from tarragonhinge.http1.tests import caller_side
from tarragonhinge.http1.tests import test_caller_connection
from tarragonhinge.testing import run_manual

_get = test_caller_connection._get

IDLE_TIMEOUT_S = caller_side.LIMITS.idle_timeout_ms / 1_000


def test_full_pipeline_waits_without_spinning(monkeypatch):
    """The event loop was kept busy while the caller read no responses."""
    wait = asyncio.wait
    count = 0

    async def count_waits(*args, **kwargs):
        nonlocal count
        count += 1
        return await wait(*args, **kwargs)

    async def run():
        site = caller_side.CallerSide()
        site.transport.is_slow = True
        site.send("".join(_get(f"/{n}") for n in range(40)))
        await caller_side.settle(1_000)
        assert len(site.handled) < 40
        site.transport.flush()
        await caller_side.settle(1_000)
        assert len(site.handled) == site.count_responses() == 40

    monkeypatch.setattr(asyncio, "wait", count_waits)
    run_manual(run())
    assert count < 200


def test_idle_time_counts_from_last_response():
    """Callers reuse a connection for most of the timeout after it."""

    async def run():
        site = caller_side.CallerSide()
        site.gates["/1"] = asyncio.Event()
        site.send(_get("/1"))
        await asyncio.sleep(0.9 * IDLE_TIMEOUT_S)
        site.gates["/1"].set()
        await asyncio.sleep(0.8 * IDLE_TIMEOUT_S)
        site.send(_get("/2"))
        await caller_side.settle()
        assert site.count_responses() == 2

    run_manual(run())


@pytest.mark.parametrize("has_request", [False, True])
def test_connection_closes_after_idle_timeout(has_request):
    async def run():
        site = caller_side.CallerSide()
        start_s = asyncio.get_running_loop().time()
        if has_request:
            site.send(_get("/1"))
        await asyncio.wait([site.task])
        elapsed_s = asyncio.get_running_loop().time() - start_s
        assert elapsed_s == pytest.approx(IDLE_TIMEOUT_S, rel=0.01)

    run_manual(run())


@pytest.mark.parametrize("text", [_get("/1"), _get("/1")[:-1]])
def test_request_that_arrives_with_idle_timeout_is_read(text):
    """Its bytes have left the socket, so that it would be lost unseen."""

    async def run():
        site = caller_side.CallerSide()
        loop = asyncio.get_running_loop()
        loop.call_at(loop.time() + IDLE_TIMEOUT_S, site.send, text)
        await asyncio.sleep(IDLE_TIMEOUT_S)
        await caller_side.settle()
        site.send(_get("/1")[len(text) :])
        await caller_side.settle()
        assert site.count_responses() == 1

    run_manual(run())


def test_unsent_response_is_not_closed_by_idle_timeout():
    """A stop would not wait for it any more."""

    async def run():
        site = caller_side.CallerSide()
        site.transport.is_slow = True
        site.send(_get("/1"))
        await asyncio.sleep(2.5 * IDLE_TIMEOUT_S)
        assert not site.task.done()
        site.transport.flush()
        await caller_side.settle()
        site.send(_get("/2"))
        await caller_side.settle()
        assert site.count_responses() == 2

    run_manual(run())


@pytest.mark.parametrize("is_stopping", [False, True])
def test_interim_response_waits_for_earlier_responses(is_stopping):
    """It would be taken for one to an earlier request."""

    async def run():
        site = caller_side.CallerSide()
        site.gates["/1"] = asyncio.Event()
        site.send(_get("/1"))
        site.send(
            "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
            "Expect: 100-continue\r\n\r\n"
        )
        await caller_side.settle()
        assert site.transport.received == b""
        site.is_stopping = is_stopping
        site.gates["/1"].set()
        await asyncio.sleep(1)
        _, _, behind = site.transport.received.partition(b"\r\n\r\n/1")
        assert site.count_responses() == 1
        assert behind.startswith(b"HTTP/1.1 100") is not is_stopping
        site.send("body")
        await caller_side.settle()
        assert site.count_responses() == 2 - is_stopping

    run_manual(run())
