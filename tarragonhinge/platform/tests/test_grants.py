"""Orders to backend servers take only their own replies for confirmations."""

import asyncio
import os

import pytest

from tarragonhinge import base
from tarragonhinge.platform import _grants
from tarragonhinge.platform import standins
from tarragonhinge import ranges

RELEASED = (
    b"HTTP/1.1 200 OK\r\nTarragonhinge-Duty-Handover: token\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class _RepeatingServer:
    """Replies to the first release twice, and to no other one.

    The second reply is sent when the connection is in use again, or after it
    was idle for a moment.
    """

    def __init__(self, *, repeats_in_use):
        self._repeats_in_use = repeats_in_use
        self.release_count = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.holder = ranges.Holder(
            server=base.ServerId("i-1"),
            address=base.Address(f"127.0.0.1:{port}"),
        )
        return self

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            await self._serve_orders(reader, writer)
        except EOFError:
            writer.close()

    async def _serve_orders(self, reader, writer):
        await self._read_order(reader)
        if self.release_count > 1:
            await reader.read()
            return
        writer.write(RELEASED)
        if not self._repeats_in_use:
            writer.write(RELEASED)
        await self._read_order(reader)
        writer.write(RELEASED)
        await reader.read()

    async def _read_order(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        await reader.readexactly(length)
        self.release_count += 1


@pytest.mark.parametrize("repeats_in_use", [False, True])
def test_second_copy_of_a_reply_does_not_confirm_the_next_release(
    repeats_in_use,
):
    """The keys would be given away while their owner still works on them."""

    async def run():
        server = await _RepeatingServer(repeats_in_use=repeats_in_use).start()
        grants = _grants.PlatformGrants(clock=base.Clock())
        first = ranges.Release(first=0, last=9, fence=2)
        second = ranges.Release(first=10, last=19, fence=3)
        confirmed = await grants.release(
            server.holder, first, timeout_ms=1_000
        )
        assert confirmed == "token"
        await asyncio.sleep(0.05)
        confirmed = await grants.release(server.holder, second, timeout_ms=500)
        assert confirmed is None
        assert server.release_count == 2
        await grants.close()
        server.stop()

    asyncio.run(run())


class _ForwardingServer:
    """Replies to a release with the address of a server that confirms it."""

    async def start(self):
        self._servers = [
            await asyncio.start_server(serve, "127.0.0.1", 0)
            for serve in (self._redirect, self._confirm)
        ]
        ports = [s.sockets[0].getsockname()[1] for s in self._servers]
        self.holder = ranges.Holder(
            server=base.ServerId("i-1"),
            address=base.Address(f"127.0.0.1:{ports[0]}"),
        )
        self._location = f"http://127.0.0.1:{ports[1]}/".encode()
        return self

    def stop(self):
        for server in self._servers:
            server.close()

    async def _redirect(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 307 Temporary Redirect\r\nLocation: "
            + self._location
            + b"\r\nContent-Length: 0\r\n\r\n"
        )

    async def _confirm(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RELEASED)


# Guards against a release that the holder has not confirmed: the client asked
# the server that its reply referred to.
def test_reply_of_another_server_does_not_confirm_a_release():
    async def run():
        server = await _ForwardingServer().start()
        grants = _grants.PlatformGrants(clock=base.Clock())
        release = ranges.Release(first=0, last=9, fence=2)
        confirmed = await grants.release(
            server.holder, release, timeout_ms=500
        )
        assert confirmed is None
        await grants.close()
        server.stop()

    asyncio.run(run())


def test_grants_do_not_wait_long_for_each_other():
    """Guards against renewals that queue behind ones without a reply.

    A grant that is not sent must not count as one that may have arrived.
    """

    async def run():
        server = await _RepeatingServer(repeats_in_use=True).start()
        grants = _grants.PlatformGrants(clock=base.Clock())
        # The connection is accepted, and no reply to a grant follows.
        server.release_count = 1
        replies = await asyncio.gather(
            *(
                grants.grant(
                    server.holder,
                    ranges.Grant(first=n, last=n, fence=n + 1, hold_ms=4_000),
                    connection_id=None,
                )
                for n in range(6)
            )
        )
        results = {reply.result for reply in replies}
        assert results == {ranges.GrantResult.UNKNOWN}
        assert [reply.is_sent for reply in replies] == [True] + 5 * [False]
        assert server.release_count == 2
        await grants.close()
        server.stop()

    asyncio.run(run())


class _SteppedClock(base.Clock):
    """Clock that a test moves on."""

    now_ms = 0

    def now(self):
        return self.now_ms


def test_connections_to_owners_that_are_gone_are_closed():
    """Guards against a descriptor that each owner leaves behind."""
    owner_count = 20

    async def run():
        clock = _SteppedClock()
        grants = _grants.PlatformGrants(clock=clock)

        async def grant(name, fence):
            server = standins.StandInServer(name, is_keyed=True)
            await server.start()
            holder = ranges.Holder(
                server=base.ServerId(name),
                address=base.Address(server.address),
            )
            await grants.grant(
                holder,
                ranges.Grant(first=0, last=9, fence=fence, hold_ms=1_000),
                connection_id=None,
            )
            return server

        before = len(os.listdir("/proc/self/fd"))
        for number in range(owner_count):
            await (await grant(f"i-{number}", number)).stop()
        await asyncio.sleep(0.2)
        clock.now_ms += _grants.END_CHECK_MS
        last = await grant("last", owner_count)
        await asyncio.sleep(0.2)
        # The last owner's listener, and both ends of its connection.
        assert len(os.listdir("/proc/self/fd")) <= before + 3
        await grants.close()
        await last.stop()

    asyncio.run(run())
