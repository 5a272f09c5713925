"""Account of the memory that clients make this process hold."""

import asyncio
import collections
from collections.abc import Callable
import enum
import math

from tarragonhinge import base
from tarragonhinge.memory import _budget
from tarragonhinge.memory import _buffer
from tarragonhinge.memory import _choice

#: Size up to which a request may use the reserve: a body of 64 KB, its head,
#: and the state of a request.
SMALL_BYTES = 160 << 10

#: Part of the budget that only small requests may use. With it, a body of
#: 64 MB still fits into a machine with 160 MB.
RESERVE_FRACTION = 1 / 12

#: Part of the budget for requests that are sent ahead on their connection.
AHEAD_FRACTION = 1 / 2

#: Size up to which the receive buffer of a connection does not count.
SMALL_WINDOW_BYTES = 65_536

#: Parts of the budget that may be missing from it before memory counts as
#: short, and until it no longer does.
SHORT_FRACTION = 1 / 4
RELIEVED_FRACTION = 1 / 8

#: Age from which resident memory is read again before a large request.
READ_INTERVAL_MS = 20

#: Longest wait for memory. It exceeds the time after which a stalled client
#: is closed, so that its memory goes to the requests that wait.
WAIT_MS = 1_500

#: Interval at which stalled clients are looked for while requests wait.
CHECK_INTERVAL_MS = 100

#: Number of waiting requests that are tried whenever memory is released.
MAX_TRIES = 64

#: Bounds of the time after which a refused client is asked to return, and the
#: weight of the latest request in its mean.
MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 10_000
HOLD_WEIGHT = 0.2


class FullError(base.TarragonhingeError):
    """There is no memory for a request or a response now.

    Parameters
    ----------
    retry_after_ms : int
        Time after which there is expected to be memory.
    """

    def __init__(self, *, retry_after_ms: int) -> None:
        super().__init__(
            problem="no memory for a large message",
            remedy="send it again after the stated time",
        )
        self.retry_after_ms = retry_after_ms


class Kind(enum.Enum):
    """What memory is used for.

    CONNECTION: an open connection with its buffers. REQUEST: requests that
    are received, wait or are being sent. RESPONSE: responses that are being
    received or not yet read by the client.
    """

    CONNECTION = "connection"
    REQUEST = "request"
    RESPONSE = "response"


class Usage:
    """Memory of one request and its response.

    Attributes
    ----------
    total : int
        Number of bytes that are counted.
    is_ahead : bool
        Whether the client has sent the request ahead of a response.
    """

    __slots__ = (
        "_buffers",
        "_by_kind",
        "_client",
        "_handle_promotion",
        "_opened_at",
        "is_ahead",
        "total",
    )

    def __init__(
        self, *, client: "ClientMemory", is_ahead: bool, opened_at: float
    ) -> None:
        self._client: ClientMemory | None = client
        self._by_kind = dict.fromkeys(Kind, 0)
        self._buffers: list[tuple[Kind, _buffer.Buffer]] = []
        self._opened_at = opened_at
        self._handle_promotion: Callable[[], None] | None = None
        self.is_ahead = is_ahead
        self.total = 0

    @property
    def window_bytes(self) -> int:
        """Size of the large receive buffer of its own connection."""
        return 0 if self._client is None else self._client.window_bytes

    def make_buffer(self, kind: Kind) -> _buffer.Buffer:
        """Return a buffer that is emptied when the kind is released."""
        buffer = _buffer.Buffer()
        self._buffers.append((kind, buffer))
        return buffer

    def try_grow(self, kind: Kind, count: int) -> bool:
        """Count bytes if there is room for them."""
        client = self._client
        if client is None:
            return False
        if not client.account.has_room(self, kind, count):
            return False
        self._by_kind[kind] += count
        self.total += count
        client.add(kind, count)
        return True

    async def grow(
        self, kind: Kind, count: int, *, timeout_ms: int | None = WAIT_MS
    ) -> None:
        """Count bytes as soon as there is room for them.

        Raises
        ------
        FullError
            If there is none in time.
        """
        if self.try_grow(kind, count):
            return
        if self._client is None:
            raise FullError(retry_after_ms=MIN_RETRY_AFTER_MS)
        await self._client.account.wait(
            self, kind, count, timeout_ms=timeout_ms
        )

    def promote(self) -> None:
        """Record that the request is the first of its connection now."""
        if self.is_ahead:
            self.is_ahead = False
            if self._handle_promotion is not None:
                self._handle_promotion()
            if self._client is not None:
                self._client.account.serve_waiting()

    def set_promotion_handler(self, handle: Callable[[], None] | None) -> None:
        """Name what is called when the request is promoted.

        Parameters
        ----------
        handle : callable or None
            Takes the place of the one before.
        """
        self._handle_promotion = handle

    def release(self, kind: Kind, count: int | None = None) -> None:
        """Stop to count bytes.

        Parameters
        ----------
        kind : Kind
            Kind of the bytes.
        count : int or None
            Number of bytes; None for all of the kind, whose buffers are
            emptied.
        """
        client = self._client
        if client is None:
            return
        if count is None:
            count = self._by_kind[kind]
            self._empty_buffers(kind)
        if count:
            self._by_kind[kind] -= count
            self.total -= count
            client.remove(kind, count)

    def _empty_buffers(self, kind: Kind) -> None:
        for buffer_kind, buffer in self._buffers:
            if buffer_kind is kind:
                buffer.clear()

    def close(self) -> None:
        """Stop to count anything; later calls have no effect."""
        client = self._client
        if client is None:
            return
        if self.total > SMALL_BYTES:
            client.account.record_hold(self._opened_at)
        for kind in Kind:
            self.release(kind)
        self._buffers.clear()
        self._client = None
        client.discard(self)


class ClientMemory:
    """Memory of one connection of a client.

    Parameters
    ----------
    account : MemoryAccount
        Account to which it belongs.
    connection_bytes : int
        Size of the connection itself.
    get_moved : callable
        Returns the number of bytes that the client has sent and read.
    awaits_client : callable
        Returns whether the next move is the client's.
    close_stalled : callable
        Closes the connection, since the client holds memory and moves little.
    get_unread : callable
        Returns the number of bytes that the kernel has received and this
        process not read.

    Attributes
    ----------
    held_bytes : int
        Memory of its requests and responses.
    window_bytes : int
        Size of its receive buffer in the kernel, if that is large; or 0.
    """

    def __init__(
        self,
        *,
        account: "MemoryAccount",
        connection_bytes: int,
        get_moved: Callable[[], int],
        awaits_client: Callable[[], bool],
        close_stalled: Callable[[_choice.Holding], None],
        get_unread: Callable[[], int] = lambda: 0,
    ) -> None:
        self.account = account
        self.held_bytes = 0
        self._connection_bytes = connection_bytes
        self._get_moved = get_moved
        self._get_unread = get_unread
        self._awaits_client = awaits_client
        self._close_stalled = close_stalled
        self._usages: set[Usage] = set()
        self._since = 0.0
        self._moved_before = 0
        self._is_closing = False
        self._unread_bytes = 0
        self.window_bytes = 0
        account.count(Kind.CONNECTION, connection_bytes)

    def open_usage(self, *, is_ahead: bool = False) -> Usage:
        """Return an account of a new request."""
        usage = Usage(
            client=self,
            is_ahead=is_ahead,
            opened_at=asyncio.get_running_loop().time(),
        )
        self._usages.add(usage)
        return usage

    def discard(self, usage: Usage) -> None:
        """Forget a closed account of a request."""
        self._usages.discard(usage)

    def add(self, kind: Kind, count: int) -> None:
        """Count bytes of a request."""
        before = self.held_bytes
        self.held_bytes += count
        self._update_holder()
        if before <= SMALL_BYTES < self.held_bytes or not before:
            self._restart_window()
        self.account.count(kind, count)

    def remove(self, kind: Kind, count: int) -> None:
        """Stop to count bytes of a request."""
        self.held_bytes -= count
        self._update_holder()
        self.account.count(kind, -count)

    def set_paused(self, is_paused: bool) -> None:
        """Record whether nothing reads the connection."""
        if is_paused:
            self.account.paused.add(self)
            self.update_unread()
        else:
            self.account.paused.discard(self)
            self._set_unread(0)

    def update_unread(self) -> None:
        """Count what the kernel holds of a connection that is not read."""
        self._set_unread(self._get_unread())

    def _set_unread(self, count: int) -> None:
        before, self._unread_bytes = self._unread_bytes, count
        self.account.count_unread(count - before)

    def set_window(self, count: int) -> None:
        """Record the size of its receive buffer in the kernel.

        The client can fill it at any time.
        """
        count = count if count > SMALL_WINDOW_BYTES else 0
        before, self.window_bytes = self.window_bytes, count
        if before != count:
            self._restart_window()
        self._update_holder()
        self.account.count_window(count - before)

    @property
    def may_keep_window(self) -> bool:
        """Whether the connection may stay open with its receive buffer."""
        return not self.window_bytes or self.account.has_window_room

    def _update_holder(self) -> None:
        if self.held_bytes or self.window_bytes:
            self.account.holders.add(self)
        else:
            self.account.holders.discard(self)

    def _restart_window(self) -> None:
        self._since = asyncio.get_running_loop().time()
        self._moved_before = self._get_moved()

    def observe(self, now: float) -> _choice.Holding:
        """Return what the client holds and has moved lately."""
        moved = self._get_moved()
        holding = _choice.Holding(
            client=self,
            held_bytes=self.held_bytes + self.window_bytes,
            window_ms=(now - self._since) * base.MS_PER_S,
            moved_bytes=moved - self._moved_before,
            awaits_client=not self._is_closing and self._awaits_client(),
        )
        is_complete = holding.window_ms >= _choice.MIN_WINDOW_MS
        if is_complete and not holding.is_stalled():
            self._since, self._moved_before = now, moved
        return holding

    def close_stalled(self, holding: _choice.Holding) -> None:
        """Close the connection, which then releases its memory."""
        self._is_closing = True
        self._close_stalled(holding)

    def close(self) -> None:
        """Release everything when the connection has ended."""
        for usage in list(self._usages):
            usage.close()
        self.set_paused(False)
        self.set_window(0)
        self.account.count(Kind.CONNECTION, -self._connection_bytes)
        self._connection_bytes = 0


class MemoryAccount:
    """Memory of all clients of this process.

    Small requests may use all of the budget, large ones leave the reserve to
    them. What does not fit waits, while the bytes of its client stay in the
    network; clients that stall are closed meanwhile.

    Parameters
    ----------
    budget_bytes : int
        Largest number of bytes to hold.
    read_resident : callable
        Returns the resident memory of the process, in bytes; None if it is
        not known.

    Attributes
    ----------
    resident_bytes : int
        Memory that the process held when it was last read; 0 before.
    uncounted_bytes : int
        Part of it that the account does not explain, which is missing from
        the budget.
    is_short : bool
        Whether much is missing.
    unread_bytes : int
        What the kernel holds for clients that are not read, which is missing
        from the budget for requests.
    window_bytes : int
        Size of the large receive buffers of open connections.
    holders : set of ClientMemory
        Clients that hold memory for requests or a large receive buffer.
    paused : set of ClientMemory
        Clients whose connections are not read.
    """

    def __init__(
        self,
        *,
        budget_bytes: int,
        read_resident: Callable[[], int | None] = lambda: None,
    ) -> None:
        self.budget_bytes = budget_bytes
        self._read_resident = read_resident
        self._read_at = -math.inf
        self.resident_bytes = 0
        self.uncounted_bytes = 0
        self.is_short = False
        self.unread_bytes = 0
        self.window_bytes = 0
        self.holders: set[ClientMemory] = set()
        self.paused: set[ClientMemory] = set()
        self._used = 0
        self._by_kind: collections.Counter[Kind] = collections.Counter()
        self._waiting: list[tuple[Usage, Kind, int, asyncio.Future]] = []
        self._check: asyncio.TimerHandle | None = None
        self._mean_hold_ms = 1_000.0

    def get_used(self, kind: Kind) -> int:
        """Return the number of bytes of a kind."""
        return self._by_kind[kind]

    def count(self, kind: Kind, count: int) -> None:
        """Count bytes, or stop to count them if the number is negative."""
        self._used += count
        self._by_kind[kind] += count
        if count < 0 and self._waiting:
            self.serve_waiting()

    @property
    def used_bytes(self) -> int:
        """Number of bytes that are counted."""
        return self._used

    def read_resident(self) -> None:
        """Correct the budget by what the process holds.

        What is counted but not received yet hides as much that is held but
        not counted, until it is received.
        """
        self._read_at = asyncio.get_running_loop().time()
        for client in self.paused:
            client.update_unread()
        resident_bytes = self._read_resident()
        if resident_bytes is None:
            return
        self.resident_bytes = resident_bytes
        explained = _budget.PROCESS_BYTES + self._used
        before = self.uncounted_bytes
        self.uncounted_bytes = max(0, resident_bytes - explained)
        fraction = RELIEVED_FRACTION if self.is_short else SHORT_FRACTION
        self.is_short = self.uncounted_bytes > self.budget_bytes * fraction
        if self.uncounted_bytes < before and self._waiting:
            asyncio.get_running_loop().call_soon(self.serve_waiting)

    def count_unread(self, count: int) -> None:
        """Count what the kernel holds, or stop to count it if negative."""
        self.unread_bytes += count
        if count < 0 and self._waiting:
            self.serve_waiting()

    def count_window(self, count: int) -> None:
        """Count a large receive buffer, or stop to count it if negative."""
        self.window_bytes += count
        if count < 0 and self._waiting:
            self.serve_waiting()

    @property
    def has_window_room(self) -> bool:
        """Whether all large receive buffers may be filled now."""
        reserve = self.budget_bytes * RESERVE_FRACTION
        held_bytes = self._used + self.unread_bytes + self.window_bytes
        return held_bytes <= self.budget_bytes - reserve

    def has_room(self, usage: Usage, kind: Kind, count: int) -> bool:
        """Return whether a request may use more bytes.

        Memory that is not counted leaves the reserve to small requests.  What
        the kernel holds does not keep a response from being received, since
        it may wait for just this response.  Large receive buffers, which can
        be filled at any time, concern large requests.
        """
        if count > SMALL_BYTES:
            age = asyncio.get_running_loop().time() - self._read_at
            if age * base.MS_PER_S >= READ_INTERVAL_MS:
                self.read_resident()
        reserve = self.budget_bytes * RESERVE_FRACTION
        limit = self.budget_bytes - self.uncounted_bytes
        if kind is not Kind.RESPONSE:
            limit -= self.unread_bytes
        if usage.total + count > SMALL_BYTES:
            limit -= reserve
            if kind is not Kind.RESPONSE:
                limit -= self.window_bytes - usage.window_bytes
        else:
            limit = max(reserve, limit)
        if usage.is_ahead:
            limit = min(limit, self.budget_bytes * AHEAD_FRACTION)
        return self._used + count <= limit

    async def wait(
        self, usage: Usage, kind: Kind, count: int, *, timeout_ms: int | None
    ) -> None:
        """Count bytes of a request as soon as there is room for them.

        Raises
        ------
        FullError
            If there is none in time.
        """
        loop = asyncio.get_running_loop()
        entry = (usage, kind, count, loop.create_future())
        self._waiting.append(entry)
        self._schedule_check()
        try:
            async with asyncio.timeout(
                timeout_ms and timeout_ms / base.MS_PER_S
            ):
                await entry[-1]
        except TimeoutError as error:
            raise FullError(
                retry_after_ms=self.estimate_retry_after_ms()
            ) from error
        except asyncio.CancelledError:
            if entry[-1].done() and not entry[-1].cancelled():
                usage.release(kind, count)
            raise
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)

    def serve_waiting(self) -> None:
        """Let the requests continue for which there is room now."""
        for entry in self._waiting[:MAX_TRIES]:
            usage, kind, count, granted = entry
            if not granted.done() and usage.try_grow(kind, count):
                self._waiting.remove(entry)
                granted.set_result(None)

    def estimate_retry_after_ms(self) -> int:
        """Return the time for which large requests usually hold memory."""
        return round(
            min(
                MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, self._mean_hold_ms)
            )
        )

    def record_hold(self, since: float) -> None:
        """Record for how long a large request has held memory."""
        held_ms = (asyncio.get_running_loop().time() - since) * base.MS_PER_S
        self._mean_hold_ms += HOLD_WEIGHT * (held_ms - self._mean_hold_ms)

    def _schedule_check(self) -> None:
        if self._check is None:
            self._check = asyncio.get_running_loop().call_later(
                CHECK_INTERVAL_MS / base.MS_PER_S, self._close_stalled
            )

    def _close_stalled(self) -> None:
        """Close stalled clients while requests wait for their memory."""
        self._check = None
        if not self._waiting:
            return
        self._schedule_check()
        now = asyncio.get_running_loop().time()
        chosen = _choice.choose_clients(
            [client.observe(now) for client in self.holders],
            needed_bytes=sum(entry[2] for entry in self._waiting),
        )
        for holding in chosen:
            holding.client.close_stalled(holding)
