"""Requests and responses that have ended leave no bytes and descriptors.

Each case is a way in which many requests end: answered, refused, cancelled,
broken off. What the process holds is bounded by the memory and by the
descriptors of its machine, whatever it counts. No test checks a time or a
share of served requests.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import pytest

from tarragonhinge.platform.tests import hostile_clients

MEMORY_MB = 100
MAX_BODY_BYTES = 8 * hostile_clients.BYTES_PER_MB

#: Uploads of a crowd, which follow one another.
UPLOAD_COUNT = 24

#: Time after which a client leaves whose request is in progress, in seconds.
LEAVES_AFTER_S = 0.15

#: Connections on which requests are sent ahead, requests on each of them, and
#: size of the responses.
AHEAD_CONNECTIONS, AHEAD_REQUESTS, AHEAD_ROUNDS = 6, 16, 6
RESPONSE_BYTES = 1_000_000

#: Memory of a larger machine, uploads that servers work on, connections
#: beside them, and sizes of their bodies.
LARGER_MEMORY_MB = 160
WORKING_UPLOADS, WAITING_CONNECTIONS = 7, 1_200
WAITING_BODY_BYTES, SMALL_BODY_BYTES = 200_000, 60_000

#: Field that makes the head of a request long.
LONG_FIELD = "X-Padding: " + "p" * 4_000

#: Descriptors of the machine, and how many of them files may take.
MAX_DESCRIPTORS = 300
RESERVED_DESCRIPTORS = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crowd:
    """Clients and the servers that they meet."""

    run: Callable
    mode: str = "ok"
    works: bool = True
    reads_bodies: bool = True
    padding_bytes: int = 0

    def prepare(self, servers):
        for server in servers:
            server.mode = self.mode
            server.reads_bodies = self.reads_bodies
            server.padding_bytes = self.padding_bytes
            if not self.works:
                server.work_allowed.clear()


def _restore(servers):
    for server in servers:
        server.mode, server.padding_bytes = "ok", 0
        server.reads_bodies = True
        server.work_allowed.set()


def _upload_and_stay(*fields, is_chunked=False, target="/upload/1"):
    """Return clients that keep their connections after the response."""

    async def run(instance):
        for _ in range(UPLOAD_COUNT):
            reader, writer = await instance.connect()
            await hostile_clients.send_upload(
                writer,
                MAX_BODY_BYTES,
                *fields,
                is_chunked=is_chunked,
                target=target,
            )
            await hostile_clients.read_response(reader)

    return run


def _upload_and_leave(*, resets, target="/upload/1", awaits_response=False):
    """Return clients that leave during their request or after it."""

    async def run(instance):
        for _ in range(UPLOAD_COUNT):
            reader, writer = await instance.connect()
            await hostile_clients.send_upload(
                writer, MAX_BODY_BYTES, target=target
            )
            if awaits_response:
                await hostile_clients.read_response(reader)
            else:
                await asyncio.sleep(LEAVES_AFTER_S)
            hostile_clients.leave(writer, resets=resets)

    return run


def _send_ahead_and_leave(*, resets):
    """Return clients that read no response and leave."""

    async def send(instance):
        for _ in range(AHEAD_ROUNDS):
            _, writer = await instance.connect()
            writer.transport.pause_reading()
            request = hostile_clients.make_head("GET", "/safe/1")
            writer.write(request * AHEAD_REQUESTS)
            await asyncio.sleep(4 * LEAVES_AFTER_S)
            hostile_clients.leave(writer, resets=resets)

    async def run(instance):
        await asyncio.gather(
            *(send(instance) for _ in range(AHEAD_CONNECTIONS))
        )

    return run


CROWDS = {
    "answered": Crowd(run=_upload_and_stay()),
    "answered-chunked": Crowd(run=_upload_and_stay(is_chunked=True)),
    "unrouted": Crowd(run=_upload_and_stay(target="/none/1")),
    "refused-by-server": Crowd(mode="shed", run=_upload_and_stay()),
    "deadline": Crowd(
        mode="hang", run=_upload_and_stay("Tarragonhinge-Deadline-Ms: 200")
    ),
    "reset-by-server": Crowd(
        mode="reset",
        run=_upload_and_leave(resets=False, awaits_response=True),
    ),
    "cut-by-server": Crowd(
        mode="cut", run=_upload_and_leave(resets=False, awaits_response=True)
    ),
    "retried": Crowd(
        mode="reset",
        run=_upload_and_leave(
            resets=False, target="/safe/1", awaits_response=True
        ),
    ),
    "left-by-reset": Crowd(works=False, run=_upload_and_leave(resets=True)),
    "left-orderly": Crowd(works=False, run=_upload_and_leave(resets=False)),
    "left-safe": Crowd(
        works=False, run=_upload_and_leave(resets=True, target="/safe/1")
    ),
    "left-unread-body": Crowd(
        reads_bodies=False, run=_upload_and_leave(resets=False)
    ),
    "unread-left-by-reset": Crowd(
        padding_bytes=RESPONSE_BYTES, run=_send_ahead_and_leave(resets=True)
    ),
    "unread-left-orderly": Crowd(
        padding_bytes=RESPONSE_BYTES, run=_send_ahead_and_leave(resets=False)
    ),
    "unread-errors": Crowd(
        mode="error",
        padding_bytes=RESPONSE_BYTES,
        run=_send_ahead_and_leave(resets=True),
    ),
    "foreign-responses": Crowd(
        mode="foreign",
        padding_bytes=RESPONSE_BYTES,
        run=_send_ahead_and_leave(resets=True),
    ),
}


@pytest.mark.parametrize("name", CROWDS)
def test_requests_that_have_ended_leave_no_memory(tmp_path, name):
    """Guards against bytes that are held but no longer counted."""
    crowd = CROWDS[name]

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip=f"127.98.10.{list(CROWDS).index(name) + 1}",
            memory_mb=MEMORY_MB,
            max_body_bytes=MAX_BODY_BYTES,
        ) as instance:
            crowd.prepare(instance.servers)
            await instance.run_crowd(
                [crowd.run(instance)], limit_s=hostile_clients.TIMEOUT_S
            )
            _restore(instance.servers)
            assert await instance.ask_until_answered()
            assert instance.is_running()
            assert instance.read_peak_bytes() <= (
                MEMORY_MB * hostile_clients.BYTES_PER_MB
            )

    asyncio.run(run())


async def _stop_short(instance):
    reader, writer = await instance.connect()
    length = f"Content-Length: {WAITING_BODY_BYTES}"
    writer.write(hostile_clients.make_head("POST", "/upload/1", length))
    for _ in range(3):
        writer.write(hostile_clients.PART)
        await writer.drain()
    await reader.read(1)


async def _send_small_body(instance):
    reader, writer = await instance.connect()
    await hostile_clients.send_upload(writer, SMALL_BODY_BYTES)
    await reader.read(1)


@pytest.mark.parametrize(
    ("send", "host"), [(_stop_short, 1), (_send_small_body, 2)]
)
def test_buffers_of_many_connections_are_bounded(tmp_path, send, host):
    """Guards against received bytes that nothing counts."""

    async def upload(instance):
        reader, writer = await instance.connect()
        await hostile_clients.send_upload(writer, MAX_BODY_BYTES)
        await reader.read(1)

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip=f"127.98.11.{host}",
            memory_mb=LARGER_MEMORY_MB,
            max_body_bytes=MAX_BODY_BYTES,
            fds=4_096,
        ) as instance:
            for server in instance.servers:
                server.work_allowed.clear()
            await instance.run_crowd(
                [upload(instance) for _ in range(WORKING_UPLOADS)]
                + [send(instance) for _ in range(WAITING_CONNECTIONS)]
            )
            _restore(instance.servers)
            assert await instance.ask_until_answered()
            assert instance.is_running()
            assert instance.read_peak_bytes() <= (
                LARGER_MEMORY_MB * hostile_clients.BYTES_PER_MB
            )

    asyncio.run(run())


async def _send_long_ahead(instance):
    reader, writer = await instance.connect()
    writer.transport.pause_reading()
    request = hostile_clients.make_head("GET", "/safe/1", LONG_FIELD)
    writer.write(request * 4 * AHEAD_REQUESTS)
    await writer.drain()
    await reader.read(1)


@pytest.mark.parametrize(
    ("send", "host"), [(_stop_short, 21), (_send_long_ahead, 22)]
)
def test_bytes_that_are_not_read_are_bounded(tmp_path, send, host):
    """Guards against what the kernel has received for the process.

    The platform counts it as memory of the process.
    """

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip=f"127.98.11.{host}",
            memory_mb=LARGER_MEMORY_MB,
            max_body_bytes=MAX_BODY_BYTES,
            fds=4_096,
        ) as instance:
            for server in instance.servers:
                server.work_allowed.clear()
            await instance.run_crowd(
                [send(instance) for _ in range(WAITING_CONNECTIONS)]
            )
            _restore(instance.servers)
            assert await instance.ask_until_answered()
            assert instance.is_running()
            assert instance.most_bytes <= (
                LARGER_MEMORY_MB * hostile_clients.BYTES_PER_MB
            )

    asyncio.run(run())


async def _send_ahead(instance):
    _, writer = await instance.connect()
    writer.transport.pause_reading()
    request = hostile_clients.make_head("GET", "/safe/1")
    writer.write(request * AHEAD_REQUESTS)
    await writer.drain()


@pytest.mark.parametrize("connection_count", [12, 40])
def test_connections_to_servers_leave_descriptors(tmp_path, connection_count):
    """Guards against requests sent ahead that take all descriptors."""

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip=f"127.98.11.{connection_count}",
            memory_mb=MEMORY_MB,
            max_body_bytes=MAX_BODY_BYTES,
            fds=MAX_DESCRIPTORS,
        ) as instance:
            for server in instance.servers:
                server.work_allowed.clear()
            await instance.run_crowd(
                [_send_ahead(instance) for _ in range(connection_count)]
            )
            await asyncio.sleep(1)
            _restore(instance.servers)
            assert await instance.ask_until_answered()
            assert instance.is_running()
            limit = MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
            assert instance.most_descriptors <= limit

    asyncio.run(run())
