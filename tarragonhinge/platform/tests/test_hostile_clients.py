"""Clients that nobody controls: an instance process survives each crowd.

In a trial such clients ended a process, which ran out of memory. Each test
checks that it lives, stays within the memory and the descriptors of its
machine, and answers an ordinary request while the crowd is connected. No test
checks a time or a share of served requests.
"""

import asyncio

import pytest

from tarragonhinge.platform.tests import hostile_clients

MEMORY_MB = 100
MAX_BODY_BYTES = 8 * hostile_clients.BYTES_PER_MB

#: Number of bytes by which a body that stops short lacks its end.
MISSING_BYTES = 1_000

#: Descriptors of the machine that files may take.
RESERVED_DESCRIPTORS = 200

PART = b"b" * 65_536


def _check(instance):
    assert instance.is_running()
    assert instance.read_peak_bytes() <= (
        MEMORY_MB * hostile_clients.BYTES_PER_MB
    )


async def _send_body(writer, byte_count, *, pause_s=0.0):
    while byte_count > 0:
        part = PART[:byte_count]
        writer.write(part)
        await writer.drain()
        byte_count -= len(part)
        await asyncio.sleep(pause_s)


async def _send_with_length(instance):
    _, writer = await instance.connect()
    length = f"Content-Length: {MAX_BODY_BYTES}"
    writer.write(hostile_clients.make_head("POST", "/upload/1", length))
    await _send_body(writer, MAX_BODY_BYTES - MISSING_BYTES)


async def _send_by_pieces(instance):
    _, writer = await instance.connect()
    length = f"Content-Length: {MAX_BODY_BYTES}"
    writer.write(hostile_clients.make_head("POST", "/upload/1", length))
    await _send_body(writer, MAX_BODY_BYTES - MISSING_BYTES, pause_s=0.01)


async def _send_in_chunks(instance):
    _, writer = await instance.connect()
    coding = "Transfer-Encoding: chunked"
    writer.write(hostile_clients.make_head("POST", "/upload/1", coding))
    for _ in range(MAX_BODY_BYTES // len(PART)):
        writer.write(b"%x\r\n%b\r\n" % (len(PART), PART))
        await writer.drain()


async def _send_in_small_chunks(instance):
    _, writer = await instance.connect()
    coding = "Transfer-Encoding: chunked"
    writer.write(hostile_clients.make_head("POST", "/upload/1", coding))
    piece = b"400\r\n%b\r\n" % PART[:1_024] * 64
    for _ in range(MAX_BODY_BYTES // len(PART)):
        writer.write(piece)
        await writer.drain()


@pytest.mark.parametrize(
    ("send", "host"),
    [
        (_send_with_length, 1),
        (_send_by_pieces, 2),
        (_send_in_chunks, 3),
        (_send_in_small_chunks, 4),
    ],
)
def test_bodies_that_stop_short_of_their_end(tmp_path, send, host):
    """Guards against unfinished bodies that together exceed the memory."""

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip=f"127.98.9.{host}",
            memory_mb=MEMORY_MB,
            max_body_bytes=MAX_BODY_BYTES,
        ) as instance:
            await instance.run_crowd([send(instance) for _ in range(32)])
            assert await instance.ask_until_answered()
            _check(instance)

    asyncio.run(run())


def test_large_body_is_served_beside_bodies_that_stop_short(tmp_path):
    """Guards against stalled clients that keep all memory for ever."""

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip="127.98.9.10",
            memory_mb=MEMORY_MB,
            max_body_bytes=MAX_BODY_BYTES,
        ) as instance:
            await instance.run_crowd(
                [_send_with_length(instance) for _ in range(32)]
            )
            length = f"Content-Length: {MAX_BODY_BYTES}"
            head = hostile_clients.make_head(
                "POST", "/upload/2", length, closes=True
            )
            body = bytes(MAX_BODY_BYTES)
            assert await instance.ask_until_answered(head, body)
            _check(instance)

    asyncio.run(run())


async def _send_whole(instance):
    reader, writer = await instance.connect()
    length = f"Content-Length: {MAX_BODY_BYTES}"
    writer.write(hostile_clients.make_head("POST", "/upload/1", length))
    await _send_body(writer, MAX_BODY_BYTES)
    await reader.read(1)


def test_whole_bodies_that_wait_for_busy_servers(tmp_path):
    """Guards against requests at busy servers that exceed the memory."""

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip="127.98.9.5",
            memory_mb=MEMORY_MB,
            max_body_bytes=MAX_BODY_BYTES,
        ) as instance:
            for server in instance.servers:
                server.work_allowed.clear()
            await instance.run_crowd(
                [_send_whole(instance) for _ in range(32)]
            )
            for server in instance.servers:
                server.work_allowed.set()
            assert await instance.ask_until_answered()
            _check(instance)

    asyncio.run(run())


async def _send_ahead(instance):
    reader, writer = await instance.connect()
    # The responses stay unread.
    writer.transport.pause_reading()
    field = "X-Padding: " + "p" * 4_096
    request = hostile_clients.make_head("GET", "/safe/1", field)
    for _ in range(256):
        writer.write(request)
        await writer.drain()
    await reader.read(1)


def test_requests_sent_ahead_with_responses_unread(tmp_path):
    """Guards against responses for slow clients that exceed the memory."""

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip="127.98.9.6",
            memory_mb=MEMORY_MB,
            max_body_bytes=MAX_BODY_BYTES,
        ) as instance:
            for server in instance.servers:
                server.padding_bytes = 1_000_000
            await instance.run_crowd(
                [_send_ahead(instance) for _ in range(24)]
            )
            assert await instance.ask_until_answered()
            _check(instance)

    asyncio.run(run())


async def _send_part_of_head(instance):
    reader, writer = await instance.connect()
    head = hostile_clients.make_head(
        "POST", "/upload/1", "X-P: " + "p" * 15_000
    )
    writer.write(head[:-2])
    await writer.drain()
    await reader.read(1)


def test_many_connections_with_a_part_of_a_head(tmp_path):
    """Guards against connections that exceed the descriptors."""
    max_descriptors = 300

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip="127.98.9.7",
            memory_mb=MEMORY_MB,
            max_body_bytes=MAX_BODY_BYTES,
            fds=max_descriptors,
        ) as instance:
            await instance.run_crowd(
                [_send_part_of_head(instance) for _ in range(200)]
            )
            limit = max_descriptors - RESERVED_DESCRIPTORS
            assert instance.count_descriptors() <= limit
            assert await instance.ask_until_answered()
            assert instance.count_descriptors() <= limit
            _check(instance)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("fields", "host"),
    [
        ([f"Content-Length: {64 << 20}"], 8),
        (["Transfer-Encoding: chunked"], 9),
    ],
)
def test_large_body_within_limits_is_served_in_calm(tmp_path, fields, host):
    """Guards against copies of a body of 64 MB on a machine with 160 MB."""
    length = 64 << 20

    async def run():
        async with hostile_clients.InstanceProcess(
            tmp_path,
            ip=f"127.98.9.{host}",
            memory_mb=160,
            max_body_bytes=64 << 20,
        ) as instance:
            head = hostile_clients.make_head(
                "POST", "/upload/1", *fields, closes=True
            )
            if "chunked" in fields[0]:
                part = b"%x\r\n%b\r\n" % (len(PART), PART)
                body = [*[part] * 1_024, b"0\r\n\r\n"]
            else:
                body = [PART] * 1_024
            async with asyncio.timeout(hostile_clients.TIMEOUT_S):
                response = await instance.request([head, *body])
            assert response.startswith(b"HTTP/1.1 200")
            received = [r for s in instance.servers for r in s.received]
            assert [len(body) for _, _, body in received] == [length]
            assert instance.read_peak_bytes() <= (
                160 * hostile_clients.BYTES_PER_MB
            )

    asyncio.run(run())
