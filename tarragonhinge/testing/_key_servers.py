"""In-memory backend servers that accept fenced grants of key ranges."""

import asyncio
import dataclasses

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import ranges

#: Ratio of true time to time on the clock of a slow server.
SLOW_CLOCK_RATIO = 1.02

_UNSENT = ranges.GrantReply(result=ranges.GrantResult.UNKNOWN, is_sent=False)


@dataclasses.dataclass(kw_only=True, slots=True)
class _HeldRange:
    """Granted key range, with the true time at which the grant expires."""

    first: int
    last: int
    fence: int
    expires_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class ServerFaults:
    """Faults of one server.

    Parameters
    ----------
    is_silent : bool
        Whether messages neither reach the server nor are answered.
    late_ms : int
        Delay after which grants are applied without an answer; 0 for a
        server that applies and answers them at once.
    work_ms : int
        Time that requests in flight still take after a release.
    rejects_grants : bool
        Whether grants are neither accepted nor fenced.
    loses_answers : bool
        Whether grants of keys that another server has handed over are
        applied without an answer.
    """

    is_silent: bool = False
    rejects_grants: bool = False
    loses_answers: bool = False
    late_ms: int = 0
    work_ms: int = 0


class KeyServer:
    """One incarnation of a server.

    Parameters
    ----------
    entry : ServerEntry
        Catalog entry of the server.
    clock : Clock
        True time.
    """

    def __init__(
        self, *, entry: catalog.ServerEntry, clock: base.Clock
    ) -> None:
        self.entry = entry
        self.faults = ServerFaults()
        self.is_up = True
        self._clock = clock
        self._ranges: list[_HeldRange] = []
        self._applied: list[tuple[int, int, int]] = []

    def list_held_ranges(self) -> list[_HeldRange]:
        """Return the key ranges that the server owns now."""
        now = self._clock.now()
        self._ranges = [held for held in self._ranges if held.expires_at > now]
        return list(self._ranges) if self.is_up else []

    def holds_key(self, key: int) -> bool:
        """Return whether the server owns a key now."""
        return any(r.first <= key <= r.last for r in self.list_held_ranges())

    def apply_grant(
        self, grant: ranges.Grant, *, arrived_at: int
    ) -> ranges.GrantResult:
        """Apply a grant, whose duration counts from its arrival.

        The grant is fenced if a newer grant or release of an overlapping
        range was applied before.
        """
        for first, last, fence in self._applied:
            overlaps = first <= grant.last and grant.first <= last
            if overlaps and fence > grant.fence:
                return ranges.GrantResult.FENCED
        self._applied.append((grant.first, grant.last, grant.fence))
        self._remove(grant.first, grant.last)
        expires_at = arrived_at + grant.hold_ms * SLOW_CLOCK_RATIO
        self._ranges.append(
            _HeldRange(
                first=grant.first,
                last=grant.last,
                fence=grant.fence,
                expires_at=expires_at,
            )
        )
        return ranges.GrantResult.HELD

    def apply_release(self, release: ranges.Release) -> None:
        """Release a key range and refuse older grants of it."""
        self._applied.append((release.first, release.last, release.fence))
        self._remove(release.first, release.last)

    def _remove(self, first: int, last: int) -> None:
        remaining = []
        for held in self._ranges:
            if held.last < first or held.first > last:
                remaining.append(held)
                continue
            if held.first < first:
                remaining.append(dataclasses.replace(held, last=first - 1))
            if held.last > last:
                remaining.append(dataclasses.replace(held, first=last + 1))
        self._ranges = remaining


class KeyFleet:
    """Servers of one service, with checks of exclusive ownership.

    Parameters
    ----------
    clock : Clock
        True time.

    Attributes
    ----------
    servers : list of KeyServer
        All incarnations, including those that have ended.
    violations : list of str
        Descriptions of the violations found so far.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self.servers: list[KeyServer] = []
        self.violations: list[str] = []
        self._grants: list[tuple[int, int, int, KeyServer]] = []

    def start(self, entry: catalog.ServerEntry) -> KeyServer:
        """Start a server, and end a running one at the same address."""
        for server in self.servers:
            if server.entry.address == entry.address:
                server.is_up = False
        server = KeyServer(entry=entry, clock=self._clock)
        self.servers.append(server)
        return server

    def find(self, address: base.Address) -> KeyServer | None:
        """Return the running server at an address, or None."""
        for server in self.servers:
            if server.entry.address == address and server.is_up:
                return server
        return None

    def check(self) -> None:
        """Record a violation for each key range with two owners."""
        held_ranges = sorted(
            (held.first, held.last, server.entry.server)
            for server in self.servers
            for held in server.list_held_ranges()
        )
        for left, right in zip(held_ranges, held_ranges[1:], strict=False):
            if right[0] <= left[1] and right[2] != left[2]:
                self.violations.append(
                    f"{self._clock.now()}: {left} and {right}"
                )

    def check_grant(self, server: KeyServer, grant: ranges.Grant) -> None:
        """Check a grant's fencing token against those of other servers.

        Records a violation if another server has accepted an overlapping
        range with the same or a later token.
        """
        for first, last, fence, other in self._grants:
            overlaps = first <= grant.last and grant.first <= last
            if other is not server and overlaps and fence >= grant.fence:
                self.violations.append(
                    f"{self._clock.now()}: {server.entry.server} accepted "
                    f"{grant.first}-{grant.last} with token {grant.fence}, "
                    f"{other.entry.server} had token {fence}"
                )
        self._grants.append((grant.first, grant.last, grant.fence, server))

    def count_unowned_keys(self) -> int:
        """Return how many keys no server owns."""
        owned = sum(
            held.last - held.first + 1
            for server in self.servers
            for held in server.list_held_ranges()
        )
        return catalog.KEY_COUNT - owned


class MemoryGrantClient(ranges.GrantClient):
    """Client with which one instance sends grants to the servers.

    Parameters
    ----------
    fleet : KeyFleet
        The servers.
    clock : Clock
        Clock of the instance.

    Attributes
    ----------
    is_cut_off : bool
        Whether the instance reaches no server.
    max_hold_ms : int
        Longest duration of a grant sent so far.
    """

    #: Time after which a call without an answer fails.
    TIMEOUT_MS = 700

    #: One-way delay of the network.
    NETWORK_DELAY_MS = 10

    def __init__(self, *, fleet: KeyFleet, clock: base.Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._late_tasks: set[asyncio.Task] = set()
        self._connections: dict[base.Address, KeyServer] = {}
        # A connection is used by one call at a time.
        self._locks: dict[base.Address, asyncio.Lock] = {}
        self._connection_ids: dict[base.Address, int] = {}
        self.is_cut_off = False
        self.max_hold_ms = 0

    def is_connected(
        self, holder: ranges.Holder, connection_id: ranges.ConnectionId
    ) -> bool:
        """Return whether a connection to a holder is still open."""
        server = self._fleet.find(holder.address)
        connected = self._connections.get(holder.address)
        return (
            server is not None
            and connected is server
            and self._connection_ids[holder.address] == connection_id
        )

    def _find(self, address: base.Address) -> KeyServer | None:
        server = self._fleet.find(address)
        if server is None or self.is_cut_off or server.faults.is_silent:
            return None
        return server

    async def grant(
        self,
        holder: ranges.Holder,
        grant: ranges.Grant,
        *,
        connection_id: ranges.ConnectionId | None,
    ) -> ranges.GrantReply:
        """Grant or renew a key range.

        A grant for a connection that is no longer open is not sent.
        """
        lock = self._locks.setdefault(holder.address, asyncio.Lock())
        wait_s = ranges.CONNECTION_WAIT_MS / base.MS_PER_S
        try:
            async with asyncio.timeout(wait_s):
                await lock.acquire()
        except TimeoutError:
            return dataclasses.replace(_UNSENT, connection_id=connection_id)
        try:
            return await self._send_alone(holder, grant, connection_id)
        finally:
            lock.release()

    async def _send_alone(
        self,
        holder: ranges.Holder,
        grant: ranges.Grant,
        connection_id: ranges.ConnectionId | None,
    ) -> ranges.GrantReply:
        if connection_id is not None and not self.is_connected(
            holder, connection_id
        ):
            return _UNSENT
        result = await self._send(holder, grant)
        new_id = None
        if result is not ranges.GrantResult.UNKNOWN:
            new_id = ranges.ConnectionId(self._connection_ids[holder.address])
        return ranges.GrantReply(result=result, connection_id=new_id)

    async def _send(
        self, holder: ranges.Holder, grant: ranges.Grant
    ) -> ranges.GrantResult:
        self.max_hold_ms = max(self.max_hold_ms, grant.hold_ms)
        await self._clock.sleep(self.NETWORK_DELAY_MS)
        server = self._find(holder.address)
        connected = self._connections.pop(holder.address, None)
        if connected not in (None, server):
            # The persistent connection led to a process that has ended.
            return ranges.GrantResult.UNKNOWN
        if server is None or server.faults.late_ms:
            if server is not None:
                self._apply_late(server, grant)
            await self._clock.sleep(self.TIMEOUT_MS)
            return ranges.GrantResult.UNKNOWN
        if connected is None:
            self._connection_ids[holder.address] = (
                self._connection_ids.get(holder.address, 0) + 1
            )
        self._connections[holder.address] = server
        if server.faults.rejects_grants:
            return ranges.GrantResult.UNKNOWN
        result = server.apply_grant(grant, arrived_at=self._clock.now())
        if result is ranges.GrantResult.HELD:
            self._fleet.check_grant(server, grant)
        self._fleet.check()
        if server.faults.loses_answers and grant.handover:
            del self._connections[holder.address]
            await self._clock.sleep(self.TIMEOUT_MS)
            return ranges.GrantResult.UNKNOWN
        await self._clock.sleep(self.NETWORK_DELAY_MS)
        return result

    def _apply_late(self, server: KeyServer, grant: ranges.Grant) -> None:
        arrived_at = self._clock.now()

        async def apply() -> None:
            await self._clock.sleep(server.faults.late_ms)
            if server.is_up:
                server.apply_grant(grant, arrived_at=arrived_at)
                self._fleet.check()

        task = asyncio.create_task(apply())
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)

    async def release(
        self,
        holder: ranges.Holder,
        release: ranges.Release,
        *,
        timeout_ms: int,
    ) -> str | None:
        """Release a key range.

        Returns
        -------
        str or None
            Handover for the next holder; None if the server does not answer
            within `timeout_ms`.
        """
        await self._clock.sleep(self.NETWORK_DELAY_MS)
        server = self._find(holder.address)
        if server is None or server.faults.late_ms:
            await self._clock.sleep(timeout_ms)
            return None
        server.apply_release(release)
        await self._clock.sleep(server.faults.work_ms + self.NETWORK_DELAY_MS)
        return "handover"
