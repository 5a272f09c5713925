"""Moves key ranges from one server to another.

The order of the steps guarantees that a key has at most one holder:
instances stop forwarding requests, the holder releases the keys or its
grant expires, the new holder is published to the instances and recorded in
the store, and only then is the new holder granted the keys. Therefore both
the record and the published owner map name the only server that may hold a
key, also while it moves.
"""

import asyncio
from collections.abc import Callable

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.ranges import _grants
from tarragonhinge.ranges import _lease
from tarragonhinge.ranges import _lease_map
from tarragonhinge.ranges import _recorder
from tarragonhinge.ranges import _renewer

#: Delay between publishing a move and asking the holder to release the keys.
#: The other instances receive the update in this time and stop forwarding
#: requests.
MOVE_NOTICE_MS = 45

#: Upper bound of the timeout of one call that asks for a release.
RELEASE_TIMEOUT_MS = 2_000

#: Interval between attempts to release, to grant or to choose a target.
RETRY_INTERVAL_MS = 150

#: Time after which a new holder that does not accept the grant is
#: replaced by another one.
NEW_HOLDER_TIMEOUT_MS = 1_500

#: Chooses the new holder of a lease; returns None if no server is available.
TargetChooser = Callable[[_lease.Lease], catalog.ServerEntry | None]


class Mover:
    """Executes the moves of one service.

    Parameters
    ----------
    service : ServiceName
        Service that the keys belong to.
    lease_map : LeaseMap
        Leases of the service.
    recorder : RangeRecorder
        Records new holders in the store.
    renewer : Renewer
        Sends grants.
    view : View
        Source of the server entries.
    may_hold : callable
        Returns whether a server may get keys.
    grants : GrantClient
        Sends releases.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    active : int
        Number of moves in progress.
    """

    def __init__(
        self,
        *,
        service: base.ServiceName,
        lease_map: _lease_map.LeaseMap,
        recorder: _recorder.RangeRecorder,
        renewer: _renewer.Renewer,
        view: catalog.View,
        may_hold: Callable[[catalog.ServerEntry], bool],
        grants: _grants.GrantClient,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._service = service
        self._lease_map = lease_map
        self._recorder = recorder
        self._renewer = renewer
        self._view = view
        self._may_hold = may_hold
        self._grants = grants
        self._log = log
        self._clock = clock
        self.active = 0

    async def assign_initial(
        self, leases: list[_lease.Lease], choose_target: TargetChooser
    ) -> None:
        """Record the first holders in one write and grant them their keys."""
        self.active += 1
        try:
            await self._recorder.commit(
                [initial.make_segment() for initial in leases]
            )
            await asyncio.gather(
                *(self._assign_lease(lease, choose_target) for lease in leases)
            )
        finally:
            self.active -= 1

    async def _assign_lease(
        self, lease: _lease.Lease, choose_target: TargetChooser
    ) -> None:
        if not await self._grant(lease, ""):
            await self._move_lease(lease, choose_target, "first_holder_gone")

    async def move(
        self,
        lease: _lease.Lease,
        pieces: list[tuple[int, int]],
        choose_target: TargetChooser,
        *,
        reason: str,
    ) -> None:
        """Move pieces of a lease to the holders that `choose_target` picks.

        Parameters
        ----------
        lease : Lease
            Lease to split.
        pieces : list of tuple of int
            First and last key of each piece.
        choose_target : callable
            Chooses the new holder of each piece.
        reason : str
            Reason written to the log.
        """
        self.active += 1
        try:
            lease.is_moving = True
            if lease.renewal is not None:
                await asyncio.wait([lease.renewal])
            parts = self._lease_map.split(lease, pieces)
            moving = [p for p in parts if (p.first, p.last) in set(pieces)]
            for part in parts:
                part.is_moving = part in moving
            self._lease_map.publish()
            await self._clock.sleep(MOVE_NOTICE_MS)
            await asyncio.gather(
                *(
                    self._move_lease(part, choose_target, reason)
                    for part in moving
                )
            )
        finally:
            self.active -= 1

    async def _move_lease(
        self, lease: _lease.Lease, choose_target: TargetChooser, reason: str
    ) -> None:
        """Move a lease as a whole; retry until a server accepts it."""
        while True:
            began_at = self._clock.read_boottime()
            source = lease.server
            fence = self._recorder.allocate_fence()
            handover = await self._reclaim(lease, fence)
            target = choose_target(lease)
            while target is None:
                await self._clock.sleep(RETRY_INTERVAL_MS)
                target = choose_target(lease)
            lease.server, lease.born_ms = target.server, target.born_ms
            lease.fence = fence
            lease.connection_id, lease.is_unanswered = None, False
            lease.assigned_at = self._clock.read_boottime()
            self._publish_holder()
            await self._recorder.commit([lease.make_segment()])
            if await self._grant(lease, handover or ""):
                break
        self._log.write(
            events.SegmentMoved(
                service=self._service,
                first=lease.first,
                last=lease.last,
                source=source,
                target=lease.server,
                fence=lease.fence,
                handover=bool(handover),
                elapsed_ms=self._clock.read_boottime() - began_at,
                reason=reason,
            )
        )

    def _publish_holder(self) -> None:
        """Publish a new holder before it is granted its keys.

        A successor that finds the record outdated after a restore of the
        store takes the holders from the published owner map.
        """
        self._lease_map.publish()

    async def _reclaim(self, lease: _lease.Lease, fence: int) -> str | None:
        """Wait until the holder has released the keys or its grant expired.

        Returns
        -------
        str or None
            Handover token from the holder; None if the grant expired.
        """
        while True:
            left_ms = lease.expires_at - self._clock.read_boottime()
            if left_ms <= 0:
                return None
            # The release is also sent to a new incarnation of the holder,
            # which may have received the last grants before its entry
            # arrived here.
            entry = self._view.servers.get(lease.server)
            address = self._find_address(lease, entry)
            if address is not None:
                handover = await self._grants.release(
                    _grants.Holder(server=lease.server, address=address),
                    _grants.Release(
                        first=lease.first, last=lease.last, fence=fence
                    ),
                    timeout_ms=min(RELEASE_TIMEOUT_MS, left_ms),
                )
                if handover is not None:
                    return handover
            left_ms = lease.expires_at - self._clock.read_boottime()
            await self._clock.sleep(max(0, min(RETRY_INTERVAL_MS, left_ms)))

    def _find_address(
        self, lease: _lease.Lease, entry: catalog.ServerEntry | None
    ) -> base.Address | None:
        """Return the holder's address, also after its entry was removed."""
        if entry is not None:
            lease.address = entry.address
        return lease.address

    async def _grant(self, lease: _lease.Lease, handover: str) -> bool:
        """Grant a lease to its recorded holder.

        Returns
        -------
        bool
            False if the holder did not accept in time, or did not accept and
            may no longer get keys.
        """
        ends_at = self._clock.read_boottime() + NEW_HOLDER_TIMEOUT_MS
        while True:
            result = await self._renewer.grant_once(lease, handover=handover)
            now = self._clock.read_boottime()
            if result is _grants.GrantResult.HELD:
                lease.is_moving = False
                self._renewer.schedule_renewal(lease)
                self._lease_map.publish()
                return True
            if result is _grants.GrantResult.FENCED:
                await self._renewer.refence(lease)
                continue
            holder = self._renewer.find_holder(lease)
            if now >= ends_at or holder is None or not self._may_hold(holder):
                return False
            await self._clock.sleep(RETRY_INTERVAL_MS)
            # The holder may have accepted the grant, and another server may
            # have taken over its address since then.
            await self._renewer.refence_unless_connected(lease)
