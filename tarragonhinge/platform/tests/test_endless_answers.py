"""Grants and releases whose answers never end are given up, within bounds."""

import asyncio
import tracemalloc

import pytest

from tarragonhinge import base
from tarragonhinge.http1.tests import endless_server
from tarragonhinge.platform import _grants
from tarragonhinge import ranges

#: Number of calls at the same time, each over a connection of its own.
CALLS = 8

#: Half of the memory of a small instance, which has 200 MB.
LIMIT_BYTES = 100_000_000

#: Timeout of a release.
RELEASE_TIMEOUT_MS = 3_000

#: Most that a server sends of one answer, in bytes: twice the largest body
#: that is read, with room for buffers.
ANSWER_BYTES = 32_000_000


async def _grant(grants, holder):
    reply = await grants.grant(
        holder,
        ranges.Grant(first=0, last=9, fence=2, hold_ms=1_000),
        connection_id=None,
    )
    assert reply.connection_id is None


async def _release(grants, holder):
    await grants.release(
        holder,
        ranges.Release(first=0, last=9, fence=2),
        timeout_ms=RELEASE_TIMEOUT_MS,
    )


# Guards against a coordinator that keeps what a faulty server sends without
# end, and runs out of memory.
@pytest.mark.parametrize("call", [_grant, _release])
@pytest.mark.parametrize(("beginning", "part"), endless_server.FORMS)
def test_endless_answers_are_given_up(beginning, part, call):
    async def run():
        server = endless_server.EndlessServer(beginning, part)
        grants = _grants.PlatformGrants(clock=base.Clock())
        async with server:
            await asyncio.gather(
                *(
                    call(
                        grants,
                        ranges.Holder(
                            server=base.ServerId(f"s{number}"),
                            address=server.address,
                        ),
                    )
                    for number in range(CALLS)
                )
            )
            await grants.close()

    tracemalloc.start()
    try:
        asyncio.run(run())
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < LIMIT_BYTES


# Guards against a coordinator that is busy with a faulty server, so that its
# event loop stands still: it read such answers until their timeout.
@pytest.mark.parametrize("call", [_grant, _release])
@pytest.mark.parametrize(("beginning", "part"), endless_server.FORMS)
def test_little_is_read_of_an_endless_answer(beginning, part, call):
    async def run():
        grants = _grants.PlatformGrants(clock=base.Clock())
        async with endless_server.EndlessServer(beginning, part) as server:
            holder = ranges.Holder(
                server=base.ServerId("s1"), address=server.address
            )
            await call(grants, holder)
            await grants.close()
            assert server.sent_bytes < ANSWER_BYTES

    asyncio.run(run())
