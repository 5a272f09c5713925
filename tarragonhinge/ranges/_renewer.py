"""Keeps grants alive."""

import asyncio
from collections.abc import Callable

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.ranges import _grants
from tarragonhinge.ranges import _lease
from tarragonhinge.ranges import _lease_book
from tarragonhinge.ranges import _recorder

#: How long a grant lasts without renewal.  It bounds the time for which
#: the keys of a silent server are unserved.
HOLD_MS = 4_000

#: Renewals in the time of a grant: two may fail before it lapses.
RENEWALS = 3

#: Time after which a renewal without an answer is repeated.
REPEAT_MS = 250

#: Shortest time for which a grant is asked that is sent again.
REPEAT_HOLD_MS = 500

#: Interval at which due renewals are looked for.
TICK_MS = 100


class Renewer:
    """Renews the grants of all leases that rest.

    Parameters
    ----------
    service : ServiceName
        The service.
    book : LeaseBook
        The leases.
    recorder : RangeRecorder
        Records new fencing tokens.
    view : View
        Entries of servers.
    grants : GrantClient
        Delivers grants.
    may_renew : callable
        Whether no other instance can have moved keys meanwhile.
    log : EventLog
        Where events are written.
    clock : Clock
        This process's clock.
    hold_ms : int
        How long a grant lasts.

    Attributes
    ----------
    renew_ms : int
        Interval of renewals.
    """

    def __init__(
        self,
        *,
        service: base.ServiceName,
        book: _lease_book.LeaseBook,
        recorder: _recorder.RangeRecorder,
        view: catalog.View,
        grants: _grants.GrantClient,
        may_renew: Callable[[], bool],
        log: events.EventLog,
        clock: base.Clock,
        hold_ms: int,
    ) -> None:
        self._service = service
        self._book = book
        self._recorder = recorder
        self._view = view
        self._grants = grants
        self._may_renew = may_renew
        self._log = log
        self._clock = clock
        self.hold_ms = hold_ms
        self.renew_ms = hold_ms // RENEWALS
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Renew until cancelled."""
        try:
            while True:
                if self._may_renew():
                    self._start_due()
                await self._clock.sleep(TICK_MS)
        finally:
            for task in self._tasks:
                task.cancel()

    def _start_due(self) -> None:
        now = self._clock.read_boot()
        for lease in self._book.leases:
            if lease.renew_at > now or lease.is_moving or lease.renewal:
                continue
            if self.find_holder(lease) is None:
                continue
            task = asyncio.create_task(self._renew(lease))
            lease.renewal = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def find_holder(self, lease: _lease.Lease) -> catalog.ServerEntry | None:
        """Return the holder's entry, if it still runs."""
        entry = self._view.servers.get(lease.server)
        if entry is None or entry.born_ms != lease.born_ms:
            return None
        return entry

    async def _renew(self, lease: _lease.Lease) -> None:
        try:
            await self.refence_unless_connected(lease)
            result = await self.grant_once(lease)
            now = self._clock.read_boot()
            if result is _grants.GrantResult.HELD:
                self.schedule(lease)
            elif result is _grants.GrantResult.FENCED:
                await self.refence(lease)
                lease.renew_at = now
            else:
                lease.renew_at = now + REPEAT_MS
        finally:
            lease.renewal = None

    def schedule(self, lease: _lease.Lease) -> None:
        """Set when a grant that was just taken is renewed."""
        now = self._clock.read_boot()
        lease.renew_at = now + lease.granted_ms // RENEWALS

    async def refence_unless_connected(self, lease: _lease.Lease) -> None:
        """Take a new fencing token where another server may answer.

        Over another connection a grant may reach another incarnation,
        or another server at the holder's address, which must not get
        keys with a fencing token that the holder had.
        """
        entry = self.find_holder(lease)
        if entry is None:
            return
        if lease.connection_id is None or not self._grants.is_connected(
            _make_holder(entry), lease.connection_id
        ):
            await self.refence(lease)

    async def grant_once(
        self, lease: _lease.Lease, *, handover: str = ""
    ) -> _grants.GrantResult:
        """Send one grant and account for when it can have arrived."""
        entry = self.find_holder(lease)
        if entry is None:
            return _grants.GrantResult.UNKNOWN
        lease.address = entry.address
        hold_ms = lease.granted_ms = self._compute_hold(lease)
        reply = _grants.GrantReply(result=_grants.GrantResult.UNKNOWN)
        try:
            reply = await self._grants.grant(
                _make_holder(entry),
                _grants.Grant(
                    first=lease.first,
                    last=lease.last,
                    fence=lease.fence,
                    hold_ms=hold_ms,
                    handover=handover,
                ),
                connection_id=lease.connection_id,
            )
        finally:
            lease.note_grant(
                arrived_by=self._clock.read_boot(), hold_ms=hold_ms
            )
            result = reply.result
            lease.is_unanswered = result is _grants.GrantResult.UNKNOWN
            lease.connection_id = reply.connection_id
        if result is not _grants.GrantResult.HELD:
            self._log.write(
                events.GrantFailed(
                    service=self._service,
                    server=lease.server,
                    first=lease.first,
                    last=lease.last,
                    fence=lease.fence,
                    outcome=result.value,
                )
            )
        return result

    def _compute_hold(self, lease: _lease.Lease) -> int:
        """Return for how long to grant.

        A grant that is sent again because no answer came ends no later
        than the one before, so that the keys of a server that has fallen
        silent are not bound by each attempt to reach it.
        """
        if not lease.is_unanswered:
            return self.hold_ms
        left_ms = lease.lapses_at - self._clock.read_boot()
        left_ms -= _grants.TIMEOUT_MS + _lease.TRAVEL_MS
        hold_ms = int(left_ms / _lease.CLOCK_FACTOR)
        return max(REPEAT_HOLD_MS, min(self.hold_ms, hold_ms))

    async def refence(self, lease: _lease.Lease) -> None:
        """Record a higher fencing token for the same holder."""
        lease.fence = self._recorder.take_fence()
        lease.connection_id = None
        await self._recorder.commit([lease.make_segment()])


def _make_holder(entry: catalog.ServerEntry) -> _grants.Holder:
    return _grants.Holder(server=entry.server, address=entry.address)
