"""Crowds of clients, replayed against the account without a network."""

import asyncio

import pytest

from tarragonhinge import memory
from tarragonhinge.testing import run_manual

BUDGET_BYTES = 24_000_000
LARGE_BYTES = 7_000_000
SMALL_BYTES = 60_000


class _Client:
    """A client whose moves a test sets."""

    def __init__(self, account, *, awaits_client=True):
        self.moved = self.unread = 0
        self.is_closed = False
        self.memory = memory.ClientMemory(
            account=account,
            connection_bytes=1_000,
            get_moved=lambda: self.moved,
            awaits_client=lambda: awaits_client,
            close_stalled=self._close,
            get_unread=lambda: self.unread,
        )
        self.usage = self.memory.open_usage()

    def _close(self, holding):
        self.is_closed = True
        self.memory.close()

    async def receive(self, count):
        await self.usage.grow(memory.Kind.REQUEST, count)


def test_stalled_crowd_makes_room_for_others():
    """Guards against unfinished bodies that keep all memory for ever."""

    async def run():
        account = memory.MemoryAccount(budget_bytes=BUDGET_BYTES)
        crowd = [_Client(account) for _ in range(3)]
        for client in crowd:
            await client.receive(LARGE_BYTES)
            client.moved = LARGE_BYTES
        await asyncio.sleep(3)
        await _Client(account).receive(LARGE_BYTES)
        assert sum(client.is_closed for client in crowd) == 1

    run_manual(run())


@pytest.mark.parametrize("awaits_client", [False, True])
def test_client_that_moves_or_waits_for_a_server_is_not_closed(awaits_client):
    """Guards against closing a client whose request is being handled."""

    async def run():
        account = memory.MemoryAccount(budget_bytes=BUDGET_BYTES)
        crowd = [
            _Client(account, awaits_client=awaits_client) for _ in range(3)
        ]
        for client in crowd:
            await client.receive(LARGE_BYTES)
        task = asyncio.create_task(_Client(account).receive(LARGE_BYTES))
        while not task.done():
            await asyncio.sleep(0.05)
            for client in crowd:
                client.moved += awaits_client * 50_000
        with pytest.raises(memory.FullError) as caught:
            await task
        assert caught.value.retry_after_ms > 0
        assert not any(client.is_closed for client in crowd)
        await _Client(account).receive(SMALL_BYTES)

    run_manual(run())


def test_memory_that_is_released_goes_to_the_request_that_waits():
    """Guards against a lost wake-up, and memory that stays counted."""

    async def run():
        account = memory.MemoryAccount(budget_bytes=BUDGET_BYTES)
        crowd = [_Client(account) for _ in range(3)]
        for client in crowd:
            await client.receive(LARGE_BYTES)
        waiting, left = _Client(account), _Client(account)
        tasks = [
            asyncio.create_task(client.receive(LARGE_BYTES))
            for client in (waiting, left)
        ]
        await asyncio.sleep(0.01)
        tasks[1].cancel()
        crowd[0].memory.close()
        await tasks[0]
        for client in (*crowd, waiting, left):
            client.memory.close()
            client.memory.close()
        assert [account.get_used(kind) for kind in memory.Kind] == [0, 0, 0]

    run_manual(run())


def test_requests_sent_ahead_leave_room_for_the_first_ones():
    """Guards against responses that wait behind one without memory."""

    async def run():
        account = memory.MemoryAccount(budget_bytes=BUDGET_BYTES)
        client = _Client(account)
        ahead = [client.memory.open_usage(is_ahead=True) for _ in range(3)]
        kind = memory.Kind.RESPONSE
        assert [usage.try_grow(kind, LARGE_BYTES) for usage in ahead] == [
            True,
            False,
            False,
        ]
        await client.receive(LARGE_BYTES)
        ahead[1].promote()
        assert ahead[1].try_grow(kind, LARGE_BYTES)

    run_manual(run())


@pytest.mark.parametrize("memory_mb", [160, 552, None])
def test_one_largest_body_fits_into_each_machine(memory_mb):
    async def run():
        budget_bytes = memory.compute_budget(
            memory_mb and memory_mb * 1_000_000
        )
        account = memory.MemoryAccount(budget_bytes=budget_bytes)
        await _Client(account).receive((64 << 20) + 200_000)

    run_manual(run())


@pytest.mark.parametrize(
    ("end", "left"),
    [
        (lambda client: client.usage.release(memory.Kind.REQUEST), [0, 5]),
        (lambda client: client.usage.release(memory.Kind.RESPONSE), [5, 0]),
        (lambda client: client.usage.release(memory.Kind.REQUEST, 1), [5, 5]),
        (lambda client: client.usage.close(), [0, 0]),
        (lambda client: client.memory.close(), [0, 0]),
    ],
)
def test_buffers_hold_nothing_that_is_not_counted(end, left):
    """Guards against references that keep bytes which count as free."""

    async def run():
        account = memory.MemoryAccount(budget_bytes=BUDGET_BYTES)
        client = _Client(account)
        buffers = []
        for kind in (memory.Kind.REQUEST, memory.Kind.RESPONSE):
            assert client.usage.try_grow(kind, 5)
            buffers.append(client.usage.make_buffer(kind))
            buffers[-1] += b"bytes"
        end(client)
        assert [len(buffer) for buffer in buffers] == left

    run_manual(run())


@pytest.mark.parametrize(
    ("resident_bytes", "large_bytes", "small_count", "is_short"),
    [
        (68_000_000, 22_000_000, 149, False),
        (72_000_000, 18_000_000, 124, False),
        (80_000_000, 10_000_000, 74, True),
        (89_000_000, 1_000_000, 18, True),
        (300_000_000, 0, 12, True),
    ],
)
def test_what_is_resident_corrects_the_budget(
    resident_bytes, large_bytes, small_count, is_short
):
    """Guards against memory that nothing counts.

    Small requests keep the reserve.
    """

    async def run():
        sizes = [resident_bytes]
        account = memory.MemoryAccount(
            budget_bytes=BUDGET_BYTES, read_resident=lambda: sizes[-1]
        )
        account.read_resident()
        assert account.is_short is is_short
        client = _Client(account)
        fits = [
            client.usage.try_grow(memory.Kind.REQUEST, count)
            for count in (
                large_bytes + 200_000,
                max(170_000, large_bytes - 2_000),
            )
        ]
        assert fits == [False, large_bytes > 0]
        client.usage.close()
        crowd = [client.memory.open_usage() for _ in range(small_count + 1)]
        fits = [u.try_grow(memory.Kind.REQUEST, 160_000) for u in crowd]
        assert fits == [True] * small_count + [False]
        # What is counted and resident is explained.
        sizes.append(68_000_000 + account.used_bytes)
        account.read_resident()
        assert account.uncounted_bytes == 0
        assert not account.is_short

    run_manual(run())


def test_waiting_requests_continue_once_memory_is_given_back():
    """Guards against requests that wait although there is room again."""

    async def run():
        sizes = [300_000_000]
        account = memory.MemoryAccount(
            budget_bytes=BUDGET_BYTES, read_resident=lambda: sizes[-1]
        )
        client = _Client(account)
        waiting = asyncio.create_task(client.receive(LARGE_BYTES))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        sizes.append(68_000_000)
        account.read_resident()
        await waiting

    run_manual(run())


@pytest.mark.parametrize(
    ("kind", "is_granted"),
    [(memory.Kind.REQUEST, False), (memory.Kind.RESPONSE, True)],
)
def test_unread_bytes_leave_less_to_requests(kind, is_granted):
    """Guards against a response that waits for what waits for itself."""

    async def run():
        account = memory.MemoryAccount(budget_bytes=BUDGET_BYTES)
        client = _Client(account)
        client.unread = BUDGET_BYTES - LARGE_BYTES
        client.memory.set_paused(True)
        assert client.usage.try_grow(kind, LARGE_BYTES) is is_granted
        client.memory.close()
        assert account.unread_bytes == 0
        assert _Client(account).usage.try_grow(kind, LARGE_BYTES)

    run_manual(run())


@pytest.mark.parametrize("is_own", [False, True])
def test_idle_client_with_a_large_window_makes_room(is_own):
    """Guards against receive buffers that can be filled beside a body."""

    async def run():
        account = memory.MemoryAccount(budget_bytes=BUDGET_BYTES)
        idle = _Client(account)
        idle.memory.set_window(BUDGET_BYTES - LARGE_BYTES)
        client = idle if is_own else _Client(account)
        assert client.usage.try_grow(memory.Kind.REQUEST, SMALL_BYTES)
        await client.receive(LARGE_BYTES)
        assert idle.is_closed is not is_own
        idle.memory.close()
        assert account.window_bytes == 0

    run_manual(run())
