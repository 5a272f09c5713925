"""Backend servers that take fenced grants of key ranges, in memory."""

import asyncio
import dataclasses

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import ranges

#: Factor by which a server's clock may be slow.
SLOW_CLOCK = 1.02


@dataclasses.dataclass(kw_only=True, slots=True)
class _Hold:
    """Keys that a server holds until its clock says so."""

    first: int
    last: int
    fence: int
    until: float


@dataclasses.dataclass(kw_only=True, slots=True)
class ServerFaults:
    """What is wrong with one server.

    Parameters
    ----------
    is_silent : bool
        Whether it neither hears nor answers.
    late_ms : int
        Delay after which orders are carried out, unanswered; 0 for none.
    work_ms : int
        How long work on released keys still runs.
    """

    is_silent: bool = False
    late_ms: int = 0
    work_ms: int = 0


class KeyServer:
    """One incarnation of a server.

    Parameters
    ----------
    entry : ServerEntry
        What it says of itself.
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
        self._holds: list[_Hold] = []
        self._seen: list[tuple[int, int, int]] = []

    def list_held_ranges(self) -> list[_Hold]:
        """Return what it holds now."""
        now = self._clock.now()
        self._holds = [hold for hold in self._holds if hold.until > now]
        return list(self._holds) if self.is_up else []

    def holds_key(self, key: int) -> bool:
        """Return whether it holds a key now."""
        return any(h.first <= key <= h.last for h in self.list_held_ranges())

    def apply_grant(
        self, grant: ranges.Grant, *, arrived_at: int
    ) -> ranges.GrantResult:
        """Carry out a grant whose time counts from its arrival."""
        for first, last, fence in self._seen:
            overlaps = first <= grant.last and grant.first <= last
            if overlaps and fence > grant.fence:
                return ranges.GrantResult.FENCED
        self._seen.append((grant.first, grant.last, grant.fence))
        self._cut(grant.first, grant.last)
        until = arrived_at + grant.hold_ms * SLOW_CLOCK
        self._holds.append(
            _Hold(
                first=grant.first,
                last=grant.last,
                fence=grant.fence,
                until=until,
            )
        )
        return ranges.GrantResult.HELD

    def apply_release(self, release: ranges.Release) -> None:
        """Stop to hold keys, and refuse older grants of them."""
        self._seen.append((release.first, release.last, release.fence))
        self._cut(release.first, release.last)

    def _cut(self, first: int, last: int) -> None:
        kept = []
        for hold in self._holds:
            if hold.last < first or hold.first > last:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(dataclasses.replace(hold, last=first - 1))
            if hold.last > last:
                kept.append(dataclasses.replace(hold, first=last + 1))
        self._holds = kept


class KeyFleet:
    """Servers of one service, and the check that no key has two holders.

    Parameters
    ----------
    clock : Clock
        True time.

    Attributes
    ----------
    violations : list of str
        What went wrong.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self.servers: list[KeyServer] = []
        self.violations: list[str] = []
        self._taken: list[tuple[int, int, int, KeyServer]] = []

    def start(self, entry: catalog.ServerEntry) -> KeyServer:
        """Start a server; one that had the address has ended."""
        for server in self.servers:
            if server.entry.address == entry.address:
                server.is_up = False
        server = KeyServer(entry=entry, clock=self._clock)
        self.servers.append(server)
        return server

    def find(self, address: base.Address) -> KeyServer | None:
        """Return the running server at an address."""
        for server in self.servers:
            if server.entry.address == address and server.is_up:
                return server
        return None

    def check(self) -> None:
        """Note keys with two holders."""
        holds = sorted(
            (hold.first, hold.last, server.entry.server)
            for server in self.servers
            for hold in server.list_held_ranges()
        )
        for left, right in zip(holds, holds[1:], strict=False):
            if right[0] <= left[1] and right[2] != left[2]:
                self.violations.append(
                    f"{self._clock.now()}: {left} and {right}"
                )

    def note_taken(self, server: KeyServer, grant: ranges.Grant) -> None:
        """Check a grant's fencing token against those of other servers."""
        for first, last, fence, other in self._taken:
            overlaps = first <= grant.last and grant.first <= last
            if other is not server and overlaps and fence >= grant.fence:
                self.violations.append(
                    f"{self._clock.now()}: {server.entry.server} took "
                    f"{grant.first}-{grant.last} with {grant.fence}, "
                    f"{other.entry.server} had {fence}"
                )
        self._taken.append((grant.first, grant.last, grant.fence, server))

    def count_unowned_keys(self) -> int:
        """Return how many keys no server holds."""
        held = sum(
            hold.last - hold.first + 1
            for server in self.servers
            for hold in server.list_held_ranges()
        )
        return catalog.KEY_COUNT - held


class MemoryGrantClient(ranges.GrantClient):
    """One instance's orders to the servers of a fleet.

    Parameters
    ----------
    fleet : KeyFleet
        The servers.
    clock : Clock
        The instance's clock.

    Attributes
    ----------
    max_hold_ms : int
        Longest time for which a grant was asked to last.
    """

    #: Time after which an order without an answer is given up.
    TIMEOUT_MS = 700

    #: Time on the network, one way.
    TRAVEL_MS = 10

    def __init__(self, *, fleet: KeyFleet, clock: base.Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._late: set[asyncio.Task] = set()
        self._lines: dict[base.Address, KeyServer] = {}
        self._numbers: dict[base.Address, int] = {}
        self.is_cut_off = False
        self.max_hold_ms = 0

    def is_connected(
        self, holder: ranges.Holder, connection_id: ranges.ConnectionId
    ) -> bool:
        """Return whether a connection is still the one to a holder."""
        server = self._fleet.find(holder.address)
        present = self._lines.get(holder.address)
        return (
            server is not None
            and present is server
            and self._numbers[holder.address] == connection_id
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
        """Grant a range, or renew it."""
        if connection_id is not None and not self.is_connected(
            holder, connection_id
        ):
            return ranges.GrantReply(result=ranges.GrantResult.UNKNOWN)
        result = await self._send(holder, grant)
        number = None
        if result is not ranges.GrantResult.UNKNOWN:
            number = ranges.ConnectionId(self._numbers[holder.address])
        return ranges.GrantReply(result=result, connection_id=number)

    async def _send(
        self, holder: ranges.Holder, grant: ranges.Grant
    ) -> ranges.GrantResult:
        self.max_hold_ms = max(self.max_hold_ms, grant.hold_ms)
        await self._clock.sleep(self.TRAVEL_MS)
        server = self._find(holder.address)
        was_open = self._lines.pop(holder.address, None)
        if was_open not in (None, server):
            # The kept connection led to a process that has ended.
            return ranges.GrantResult.UNKNOWN
        if server is None or server.faults.late_ms:
            if server is not None:
                self._apply_late(server, grant)
            await self._clock.sleep(self.TIMEOUT_MS)
            return ranges.GrantResult.UNKNOWN
        if was_open is None:
            self._numbers[holder.address] = (
                self._numbers.get(holder.address, 0) + 1
            )
        self._lines[holder.address] = server
        result = server.apply_grant(grant, arrived_at=self._clock.now())
        if result is ranges.GrantResult.HELD:
            self._fleet.note_taken(server, grant)
        self._fleet.check()
        await self._clock.sleep(self.TRAVEL_MS)
        return result

    def _apply_late(self, server: KeyServer, grant: ranges.Grant) -> None:
        arrived_at = self._clock.now()

        async def apply() -> None:
            await self._clock.sleep(server.faults.late_ms)
            if server.is_up:
                server.apply_grant(grant, arrived_at=arrived_at)
                self._fleet.check()

        task = asyncio.create_task(apply())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def release(
        self,
        holder: ranges.Holder,
        release: ranges.Release,
        *,
        timeout_ms: int,
    ) -> str | None:
        """Take a range back."""
        await self._clock.sleep(self.TRAVEL_MS)
        server = self._find(holder.address)
        if server is None or server.faults.late_ms:
            await self._clock.sleep(timeout_ms)
            return None
        server.apply_release(release)
        await self._clock.sleep(server.faults.work_ms + self.TRAVEL_MS)
        return "handover"
