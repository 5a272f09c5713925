"""Renews grants before they expire."""

import asyncio
from collections.abc import Callable

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.ranges import _grants
from tarragonhinge.ranges import _lease
from tarragonhinge.ranges import _lease_map
from tarragonhinge.ranges import _recorder

#: Duration of a grant. It bounds the time for which the keys of a server that
#: does not respond are unserved.
GRANT_HOLD_MS = 4_000

#: Number of renewals within the duration of a grant; two may fail before the
#: grant expires.
RENEWALS_PER_GRANT = 3

#: Delay before a renewal without a response is retried.
RETRY_INTERVAL_MS = 250

#: Shortest duration of a grant that is sent again after no response.
MIN_REPEATED_HOLD_MS = 500

#: Interval between checks for due renewals.
CHECK_INTERVAL_MS = 100


class Renewer:
    """Renews the grants of all leases that are not moving.

    Parameters
    ----------
    service : ServiceName
        Service that the keys belong to.
    lease_map : LeaseMap
        Leases of the service.
    recorder : RangeRecorder
        Records new fencing tokens in the store.
    view : View
        Source of the server entries.
    grants : GrantClient
        Sends grants.
    may_renew : callable
        Returns whether this instance may still act as coordinator; if so,
        no other instance can have moved keys.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    hold_ms : int
        Duration of a grant.

    Attributes
    ----------
    renewal_interval_ms : int
        Interval between two renewals of a grant.
    """

    def __init__(
        self,
        *,
        service: base.ServiceName,
        lease_map: _lease_map.LeaseMap,
        recorder: _recorder.RangeRecorder,
        view: catalog.View,
        grants: _grants.GrantClient,
        may_renew: Callable[[], bool],
        log: events.EventLog,
        clock: base.Clock,
        hold_ms: int,
    ) -> None:
        self._service = service
        self._lease_map = lease_map
        self._recorder = recorder
        self._view = view
        self._grants = grants
        self._may_renew = may_renew
        self._log = log
        self._clock = clock
        self.hold_ms = hold_ms
        self.renewal_interval_ms = hold_ms // RENEWALS_PER_GRANT
        self._tasks: set[asyncio.Task] = set()
        # Holders whose last grant got no response.
        self._silent: set[tuple[base.ServerId, int]] = set()

    async def run(self) -> None:
        """Renew due grants until cancelled."""
        try:
            while True:
                if self._may_renew():
                    self._start_due()
                await self._clock.sleep(CHECK_INTERVAL_MS)
        finally:
            for task in self._tasks:
                task.cancel()

    def _start_due(self) -> None:
        now = self._clock.read_boottime()
        for lease in self._lease_map.leases:
            if lease.renew_at > now or lease.is_moving or lease.renewal:
                continue
            if self.find_holder(lease) is None:
                continue
            task = asyncio.create_task(self._renew(lease))
            lease.renewal = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def find_holder(self, lease: _lease.Lease) -> catalog.ServerEntry | None:
        """Return the holder's entry; None if its incarnation is not listed."""
        entry = self._view.servers.get(lease.server)
        if entry is None or entry.born_ms != lease.born_ms:
            return None
        return entry

    async def _renew(self, lease: _lease.Lease) -> None:
        try:
            await self.refence_unless_connected(lease)
            result = await self.grant_once(lease)
            now = self._clock.read_boottime()
            if result is _grants.GrantResult.HELD:
                self.schedule_renewal(lease)
            elif result is _grants.GrantResult.FENCED:
                await self.refence(lease)
                lease.renew_at = now
            else:
                lease.renew_at = now + RETRY_INTERVAL_MS
        finally:
            lease.renewal = None

    def schedule_renewal(self, lease: _lease.Lease) -> None:
        """Set the next renewal of a grant that was just accepted."""
        now = self._clock.read_boottime()
        lease.renew_at = now + lease.granted_ms // RENEWALS_PER_GRANT

    async def refence_unless_connected(self, lease: _lease.Lease) -> None:
        """Assign a new fencing token if the connection was lost.

        A grant over a new connection may reach another incarnation of the
        holder, or another server at its address. These must not be granted
        keys with a fencing token that the holder has used.
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
        """Send one grant and extend the lease's expiry.

        The expiry is extended even without a response, since the grant may
        have arrived, but not if it was not sent.
        """
        entry = self.find_holder(lease)
        if entry is None:
            self._silent.discard((lease.server, lease.born_ms))
            return _grants.GrantResult.UNKNOWN
        lease.address = entry.address
        hold_ms = lease.granted_ms = self._compute_hold_ms(lease)
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
            result = reply.result
            lease.connection_id = reply.connection_id
            if reply.is_sent:
                lease.record_grant(
                    arrived_by=self._clock.read_boottime(), hold_ms=hold_ms
                )
                lease.is_unanswered = result is _grants.GrantResult.UNKNOWN
                if lease.is_unanswered:
                    self._silent.add((lease.server, lease.born_ms))
                else:
                    self._silent.discard((lease.server, lease.born_ms))
        if reply.is_sent and result is not _grants.GrantResult.HELD:
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

    def _compute_hold_ms(self, lease: _lease.Lease) -> int:
        """Return the duration of the next grant in milliseconds.

        A grant to a holder that did not respond expires no later than the
        previous one, except that it lasts `MIN_REPEATED_HOLD_MS` at least.
        Otherwise each attempt to reach a server that does not respond would
        delay the reassignment of its keys. This counts by holder, since the
        grants of its leases are sent one after the other.
        """
        if (lease.server, lease.born_ms) not in self._silent:
            return self.hold_ms
        left_ms = lease.expires_at - self._clock.read_boottime()
        left_ms -= _grants.TIMEOUT_MS + _lease.GRANT_TRANSIT_MS
        hold_ms = int(left_ms / _lease.CLOCK_DRIFT_FACTOR)
        return max(MIN_REPEATED_HOLD_MS, min(self.hold_ms, hold_ms))

    async def refence(self, lease: _lease.Lease) -> None:
        """Assign a higher fencing token to the holder and record it."""
        lease.fence = self._recorder.allocate_fence()
        lease.connection_id = None
        await self._recorder.commit([lease.make_segment()])


def _make_holder(entry: catalog.ServerEntry) -> _grants.Holder:
    return _grants.Holder(server=entry.server, address=entry.address)
