"""Connections that arrive in the turn in which a listener stops."""

import asyncio
import contextlib
import socket
import types

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import forwarding
from tarragonhinge.forwarding import _messages
from tarragonhinge.gateway import _call_handler
from tarragonhinge.gateway import _caller_listener
from tarragonhinge import http1
from tarragonhinge import memory

REQUEST = b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"


async def _handle(request):
    await asyncio.sleep(0.05)
    return http1.HttpResponse(status=200, fields=[], body=b"1")


def _make_gateway():
    return types.SimpleNamespace(
        handle=_handle,
        is_concurrent=lambda request: True,
        get_limits=catalog.CallerLimits,
        shutdown=types.SimpleNamespace(has_begun=True),
        memory=memory.MemoryAccount(budget_bytes=memory.compute_budget(None)),
        refuse_for_memory=lambda retry_after_ms: None,
        record_closed_client=lambda *arguments: None,
        compute_connection_limit=lambda fraction: 100,
    )


def _find_address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return base.Address(f"127.0.0.1:{sock.getsockname()[1]}")


@pytest.mark.parametrize("turns", range(10))
def test_connection_is_served_or_closed_at_once(turns):
    """It stayed open until the process ended, and was never read."""

    async def run():
        address = _find_address()
        listener = _caller_listener.CallerListener(
            address=address, gateway=_make_gateway()
        )
        await listener.start()
        with socket.create_connection(http1.split_address(address)) as caller:
            caller.sendall(REQUEST)
            caller.setblocking(False)
            for _ in range(turns):
                await asyncio.sleep(0)
            listener.stop_accepting()
            listener.close_idle()
            received = b""
            async with asyncio.timeout(1):
                with contextlib.suppress(ConnectionResetError):
                    received = await asyncio.get_running_loop().sock_recv(
                        caller, 1_000
                    )
        assert received == b"" or received.startswith(b"HTTP/1.1 200")
        await listener.stop()

    asyncio.run(run())


def test_new_connection_takes_the_place_of_the_longest_idle_one():
    """Guards against idle connections that take all descriptors."""

    async def run():
        address = _find_address()
        gateway = _make_gateway()
        gateway.shutdown.has_begun = False
        gateway.compute_connection_limit = lambda fraction: 2
        listener = _caller_listener.CallerListener(
            address=address, gateway=gateway
        )
        await listener.start()
        streams = []
        for _ in range(3):
            streams.append(
                await asyncio.open_connection(*http1.split_address(address))
            )
            await asyncio.sleep(0.05)
        for reader, writer in streams[1:]:
            writer.write(REQUEST)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        assert await streams[0][0].read() == b""
        for _, writer in streams:
            writer.close()
        await listener.stop()

    asyncio.run(run())


def test_refusal_for_memory_tells_another_instance_that_nothing_ran():
    """Guards against a 502 for a request that has reached no server."""
    calls = _call_handler.CallHandler(gateway=None, log=None)
    outcome, response = _messages.read_outcome(calls.refuse_for_memory(700))
    assert (response.status, dict(response.fields)["retry-after"]) == (
        503,
        "0.700",
    )
    assert outcome.kind is forwarding.OutcomeKind.REFUSED
    assert outcome.is_transferable
    assert outcome.sent_count == 0
