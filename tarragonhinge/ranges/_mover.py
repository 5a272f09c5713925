"""Moves keys from one server to another.

The order is what keeps a key with one holder: requests are held back,
the holder releases the keys or its grant lapses, the new holder is
recorded, and only then is it granted the keys.
"""

import asyncio
from collections.abc import Callable

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.ranges import _grants
from tarragonhinge.ranges import _lease
from tarragonhinge.ranges import _lease_book
from tarragonhinge.ranges import _recorder
from tarragonhinge.ranges import _renewer

#: Time for the instances to hear that keys move, before the release.
NOTICE_MS = 45

#: Longest wait for one answer to a release.
RELEASE_WAIT_MS = 2_000

#: Pause between two attempts.
REPEAT_MS = 150

#: Time after which a new holder that answers no grant is given up.
GRANT_PATIENCE_MS = 1_500

#: Chooses the new holder of a range; None if there is no server.
TargetChooser = Callable[[_lease.Lease], catalog.ServerEntry | None]


class Mover:
    """Carries out moves of one service.

    Parameters
    ----------
    service : ServiceName
        The service.
    book : LeaseBook
        The leases.
    recorder : RangeRecorder
        Records new holders.
    renewer : Renewer
        Sends grants.
    view : View
        Entries of servers.
    grants : GrantClient
        Delivers releases.
    log : EventLog
        Where events are written.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        service: base.ServiceName,
        book: _lease_book.LeaseBook,
        recorder: _recorder.RangeRecorder,
        renewer: _renewer.Renewer,
        view: catalog.View,
        grants: _grants.GrantClient,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._service = service
        self._book = book
        self._recorder = recorder
        self._renewer = renewer
        self._view = view
        self._grants = grants
        self._log = log
        self._clock = clock
        self.active = 0

    async def settle(
        self, leases: list[_lease.Lease], choose: TargetChooser
    ) -> None:
        """Record first holders together, and grant each its keys."""
        self.active += 1
        try:
            await self._recorder.commit([x.make_segment() for x in leases])
            await asyncio.gather(
                *(self._settle_one(lease, choose) for lease in leases)
            )
        finally:
            self.active -= 1

    async def _settle_one(
        self, lease: _lease.Lease, choose: TargetChooser
    ) -> None:
        if not await self._grant(lease, ""):
            await self._move_one(lease, choose, "first_holder_gone")

    async def move(
        self,
        lease: _lease.Lease,
        pieces: list[tuple[int, int]],
        choose: TargetChooser,
        *,
        reason: str,
    ) -> None:
        """Move pieces of a lease, each to the holder that is chosen."""
        self.active += 1
        try:
            lease.is_moving = True
            if lease.renewal is not None:
                await asyncio.wait([lease.renewal])
            parts = self._book.split(lease, pieces)
            moving = [p for p in parts if (p.first, p.last) in set(pieces)]
            for part in parts:
                part.is_moving = part in moving
            self._book.publish()
            await self._clock.sleep(NOTICE_MS)
            await asyncio.gather(
                *(self._move_one(part, choose, reason) for part in moving)
            )
        finally:
            self.active -= 1

    async def _move_one(
        self, lease: _lease.Lease, choose: TargetChooser, reason: str
    ) -> None:
        """Move a whole lease until some server holds it."""
        while True:
            began_at = self._clock.read_boot()
            source = lease.server
            fence = self._recorder.take_fence()
            handover = await self._take_back(lease, fence)
            target = choose(lease)
            while target is None:
                await self._clock.sleep(REPEAT_MS)
                target = choose(lease)
            lease.server, lease.born_ms = target.server, target.born_ms
            lease.fence = fence
            lease.connection_id, lease.is_unanswered = None, False
            lease.settled_at = self._clock.read_boot()
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
                elapsed_ms=self._clock.read_boot() - began_at,
                reason=reason,
            )
        )

    async def _take_back(self, lease: _lease.Lease, fence: int) -> str | None:
        """Return once the holder surely holds the keys no more."""
        while True:
            left_ms = lease.lapses_at - self._clock.read_boot()
            if left_ms <= 0:
                return None
            # A new incarnation is asked too: the last grants may have
            # reached it before its entry did.
            entry = self._view.servers.get(lease.server)
            address = self._find_address(lease, entry)
            if address is not None:
                handover = await self._grants.release(
                    _grants.Holder(server=lease.server, address=address),
                    _grants.Release(
                        first=lease.first, last=lease.last, fence=fence
                    ),
                    timeout_ms=min(RELEASE_WAIT_MS, left_ms),
                )
                if handover is not None:
                    return handover
            left_ms = lease.lapses_at - self._clock.read_boot()
            await self._clock.sleep(max(0, min(REPEAT_MS, left_ms)))

    def _find_address(
        self, lease: _lease.Lease, entry: catalog.ServerEntry | None
    ) -> base.Address | None:
        """Return where the holder listens, also after its entry went."""
        if entry is not None:
            lease.address = entry.address
        return lease.address

    async def _grant(self, lease: _lease.Lease, handover: str) -> bool:
        """Grant keys to their recorded holder; False to give it up."""
        ends_at = self._clock.read_boot() + GRANT_PATIENCE_MS
        while True:
            result = await self._renewer.grant_once(lease, handover=handover)
            now = self._clock.read_boot()
            if result is _grants.GrantResult.HELD:
                lease.is_moving = False
                self._renewer.schedule(lease)
                self._book.publish()
                return True
            if result is _grants.GrantResult.FENCED:
                await self._renewer.refence(lease)
                continue
            if now >= ends_at or self._renewer.find_holder(lease) is None:
                return False
            await self._clock.sleep(REPEAT_MS)
            # The holder may have taken the grant, and another server its
            # address.
            await self._renewer.refence_unless_connected(lease)
