"""Waits of a caller's connection for requests and for its caller."""

import asyncio

from tarragonhinge.http1.tests import caller_side
from tarragonhinge.http1.tests import test_caller_connection
from tarragonhinge.testing import run_manual

_get = test_caller_connection._get


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
