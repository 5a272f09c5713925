"""Objects of requests that have ended are freed without the collector.

The interpreter's collector counts objects, not bytes, and may not run for a
long time. What a request holds must not depend on it.
"""

import asyncio
import contextlib
import gc

import pytest

from tarragonhinge import http1
from tarragonhinge import jobs
from tarragonhinge import memory
from tarragonhinge.platform import standins
from tarragonhinge.platform.tests import deployment
from tarragonhinge.platform.tests import hostile_clients

#: Size of large responses, which a client that reads nothing does not take.
RESPONSE_BYTES = 4_000_000

#: Time that requests take to arrive and to be sent on, in seconds.
SETTLE_S = 0.3

TARGET = "/x/1"
BODY = b"b" * 1_000


def _count_held():
    """Return the number of objects that belong to requests of callers."""
    return sum(
        isinstance(item, jobs.Job | memory.Usage)
        or (isinstance(item, http1.HttpRequest) and item.target == TARGET)
        or (
            isinstance(item, http1.HttpResponse)
            and len(item.body) >= RESPONSE_BYTES
        )
        for item in gc.get_objects()
    )


async def _send(method="GET", *fields, target=TARGET, count=1, byte_count=0):
    reader, writer = await asyncio.open_connection(
        f"{deployment.SUBNET}.1", 8100
    )
    length = f"Content-Length: {len(BODY)}"
    head = hostile_clients.make_head(method, target, length, *fields)
    writer.write((head + BODY[byte_count:]) * count)
    return reader, writer


async def _leave_at_work(site, *, resets, **more):
    for server in site.servers:
        server.work_allowed.clear()
    _, writer = await _send(count=3, **more)
    await asyncio.sleep(SETTLE_S)
    hostile_clients.leave(writer, resets=resets)


async def _leave_within_body(site, *, resets):
    _, writer = await _send("POST", byte_count=100)
    await asyncio.sleep(SETTLE_S)
    hostile_clients.leave(writer, resets=resets)


async def _leave_unread(site, *, resets):
    for server in site.servers:
        server.padding_bytes = RESPONSE_BYTES
    _, writer = await _send(count=6)
    writer.transport.pause_reading()
    await asyncio.sleep(SETTLE_S)
    hostile_clients.leave(writer, resets=resets)


async def _leave_after_failover(site):
    for server in site.servers:
        server.mode = "silent"
    _, writer = await _send()
    await site.wait(lambda: sum(len(s.executed) for s in site.servers) > 1)
    hostile_clients.leave(writer, resets=True)


async def _read_and_leave(site, mode="ok", *fields):
    for server in site.servers:
        server.mode = mode
    reader, writer = await _send("GET", *fields)
    await hostile_clients.read_response(reader)
    hostile_clients.leave(writer, resets=False)


async def _send_invalid_chunk(site):
    reader, writer = await asyncio.open_connection(
        f"{deployment.SUBNET}.1", 8100
    )
    coding = "Transfer-Encoding: chunked"
    head = hostile_clients.make_head("POST", TARGET, coding)
    writer.write(head + b"3e8\r\n" + BODY + b"\r\ninvalid\r\n")
    await reader.read()
    hostile_clients.leave(writer, resets=False)


async def _forward(site):
    """Send a request by way of another instance, until a server runs it."""
    network = site.networks[f"{deployment.SUBNET}.1"]
    site.cut([network], standins.CutForm.REFUSING)
    await site.wait(site.instances[0].gateway.monitor.get_closed_count)
    for server in site.servers:
        server.work_allowed.clear()
    reader, writer = await _send()
    await site.wait(lambda: any(s.executed for s in site.servers))
    return reader, writer


async def _leave_forwarded(site):
    _, writer = await _forward(site)
    hostile_clients.leave(writer, resets=True)


async def _lose_other_instance(site):
    reader, writer = await _forward(site)
    await site.end_instance(site.instances[1])
    await hostile_clients.read_response(reader)
    hostile_clients.leave(writer, resets=False)


ENDINGS = {
    "answered": _read_and_leave,
    "refused": lambda site: _read_and_leave(site, "shed"),
    "failed": lambda site: _read_and_leave(site, "error"),
    "reset-by-server": lambda site: _read_and_leave(site, "reset"),
    "cut-by-server": lambda site: _read_and_leave(site, "cut"),
    "invalid-response": lambda site: _read_and_leave(site, "zero"),
    "foreign-response": lambda site: _read_and_leave(site, "foreign"),
    "deadline": lambda site: _read_and_leave(
        site, "hang", "Tarragonhinge-Deadline-Ms: 200"
    ),
    "invalid-chunk": _send_invalid_chunk,
    "left-by-reset": lambda site: _leave_at_work(site, resets=True),
    "left-orderly": lambda site: _leave_at_work(site, resets=False),
    "left-unsafe": lambda site: _leave_at_work(
        site, resets=True, target="/u/1"
    ),
    "left-within-body": lambda site: _leave_within_body(site, resets=True),
    "left-orderly-within-body": lambda site: _leave_within_body(
        site, resets=False
    ),
    "left-unread": lambda site: _leave_unread(site, resets=True),
    "left-orderly-unread": lambda site: _leave_unread(site, resets=False),
    "left-after-failover": _leave_after_failover,
    "forwarded-left": _leave_forwarded,
    "forwarded-lost": _lose_other_instance,
}


@pytest.fixture
def _uncollected():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("_uncollected")
@pytest.mark.parametrize("name", ENDINGS)
def test_ended_requests_are_freed(name):
    """Guards against cycles of references that hold requests."""

    async def run():
        async with deployment.Deployment(instances=2, servers=3) as site:
            before = _count_held()
            with contextlib.suppress(OSError, EOFError):
                await ENDINGS[name](site)
            await site.wait(lambda: _count_held() <= before)

    asyncio.run(run())
