"""Owns the keys of one service: plans, grants, renews and moves."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.ranges import _grants
from tarragonhinge.ranges import _key_load
from tarragonhinge.ranges import _lease
from tarragonhinge.ranges import _lease_book
from tarragonhinge.ranges import _mover
from tarragonhinge.ranges import _planner
from tarragonhinge.ranges import _recorder
from tarragonhinge.ranges import _renewer
from tarragonhinge.ranges import _speeds

#: Interval at which holders that went are looked for.
TICK_MS = 100

#: Interval of plans for balance.
PLAN_MS = 500

#: Time without a new server after which keys are first divided.
GATHER_MS = 700

#: Interval of merges.
MERGE_MS = 3_000

#: Moves for balance that may be under way at once.
ACTIVE_LIMIT = 8

#: Time for which moved keys stay where they are.
REST_MS = 2_000

#: Pieces into which the keys of a lost server are divided.
VACATE_PIECES = 3

#: Age of the last word from the store from which nothing is moved for
#: balance, since the move could not be recorded.
STORE_AGE_MS = 2_500

#: Part of its capacity that a server is trusted with while it is cold.
COLD_PART = 0.6


class RangeLeader:
    """Leads one service while this instance coordinates.

    Parameters
    ----------
    service : ServiceName
        The service.
    recorder : RangeRecorder
        The stored record.
    view : View
        Entries of servers; owner maps are published there.
    grants : GrantClient
        Delivers grants and releases.
    get_store_age : callable
        Returns how long ago the store answered, in milliseconds.
    may_renew : callable
        Whether no other instance can have moved keys meanwhile.
    inherited_until : int
        Until when a former coordinator may have sent grants (boot time).
    log : EventLog
        Where events are written.
    clock : Clock
        This process's clock.
    grant_limit_ms : int
        Longest time for which keys may be granted.
    """

    def __init__(
        self,
        *,
        service: base.ServiceName,
        recorder: _recorder.RangeRecorder,
        view: catalog.View,
        grants: _grants.GrantClient,
        get_store_age: Callable[[], int],
        may_renew: Callable[[], bool],
        inherited_until: int,
        log: events.EventLog,
        clock: base.Clock,
        grant_limit_ms: int = _renewer.HOLD_MS,
    ) -> None:
        self._service = service
        self._recorder = recorder
        self._view = view
        self._get_store_age = get_store_age
        self._may_renew = may_renew
        self._inherited_until = inherited_until
        self._log = log
        self._clock = clock
        self._load = _key_load.KeyLoad(clock=clock)
        self._speeds = _speeds.SpeedBook()
        self._book = _lease_book.LeaseBook(service=service, view=view)
        self._renewer = _renewer.Renewer(
            service=service,
            book=self._book,
            recorder=recorder,
            view=view,
            grants=grants,
            may_renew=may_renew,
            log=log,
            clock=clock,
            hold_ms=min(_renewer.HOLD_MS, grant_limit_ms),
        )
        self._mover = _mover.Mover(
            service=service,
            book=self._book,
            recorder=recorder,
            renewer=self._renewer,
            view=view,
            grants=grants,
            log=log,
            clock=clock,
        )
        self._seen_at: dict[base.ServerId, int] = {}
        self._planned_at = 0
        self._merged_at = 0
        self._group: asyncio.TaskGroup | None = None

    def record_keys(self, keys: Sequence[int]) -> None:
        """Count requests that an instance reported."""
        self._load.add(keys)

    def record_speed(
        self, server: base.ServerId, *, count: int, mean_ms: float
    ) -> None:
        """Learn a server's speed from an instance's report."""
        self._speeds.record(server, count=count, mean_ms=mean_ms)

    async def run(self) -> None:
        """Lead until cancelled or deposed.

        Raises
        ------
        LeadershipLostError
            If another instance coordinates now; in an exception group.
        """
        await self._recorder.load()
        self._book.adopt(
            self._recorder.owners,
            lapses_at=_lease.compute_lapse(
                self._inherited_until, self._renewer.hold_ms
            ),
            now=self._clock.read_boot(),
        )
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self._recorder.run())
            group.create_task(self._renewer.run())
            while True:
                self._look()
                await self._clock.sleep(TICK_MS)

    def _look(self) -> None:
        """Start what is due."""
        if not self._may_renew():
            return
        now = self._clock.read_boot()
        if not self._book.leases:
            self._divide_first()
            return
        is_store_near = self._get_store_age() < STORE_AGE_MS
        if not is_store_near:
            return
        self._vacate()
        if now - self._planned_at >= PLAN_MS and self._balance():
            self._planned_at = now
        if now - self._merged_at >= MERGE_MS:
            self._merged_at = now
            self._merge()

    def _list_capacities(self) -> list[_planner.Capacity]:
        now = self._clock.read_boot()
        capacities = []
        for entry in self._view.list_servers(self._service):
            seen_at = self._seen_at.setdefault(entry.server, now)
            service_ms = self._speeds.get_service_ms(entry.server)
            requests_per_s = entry.slots * base.MS_PER_S / service_ms
            if now - seen_at < entry.cold_ms:
                requests_per_s *= COLD_PART
            capacities.append(
                _planner.Capacity(
                    server=entry.server, requests_per_s=requests_per_s
                )
            )
        return capacities

    def _divide_first(self) -> None:
        """Give all keys to servers where no record exists yet."""
        capacities = self._list_capacities()
        if not capacities:
            return
        now = self._clock.read_boot()
        if now - max(self._seen_at.values()) < GATHER_MS:
            return
        leases = []
        for first, last, server in _planner.divide_evenly(capacities):
            entry = self._view.servers[server]
            lease = _lease.Lease(
                first=first,
                last=last,
                server=server,
                born_ms=entry.born_ms,
                fence=self._recorder.take_fence(),
                lapses_at=now,
                is_moving=True,
            )
            leases.append(lease)
            self._book.add(lease)
        self._book.publish()
        self._group.create_task(
            self._mover.settle(leases, self._choose_idlest)
        )

    def _make_balance(self) -> _planner.Balance:
        return _planner.Balance(
            owners=self._book.make_map(),
            profile=self._load.make_profile(),
            capacities=self._list_capacities(),
        )

    def _choose_idlest(
        self, lease: _lease.Lease
    ) -> catalog.ServerEntry | None:
        """Return the server that is least used with a lease's load."""
        balance = self._make_balance()
        others = [s for s in balance.capacity if s != lease.server]
        if not others:
            return None
        extra = balance.profile.sum_range(lease.first, lease.last)
        server = min(
            others,
            key=lambda s: (
                (balance.demand[s] + extra) / balance.capacity[s],
                len(balance.held[s]),
            ),
        )
        return self._view.servers.get(server)

    def _vacate(self) -> None:
        """Move keys away from servers that went or leave."""
        for lease in list(self._book.leases):
            if lease.is_moving:
                continue
            entry = self._renewer.find_holder(lease)
            if (
                entry is not None
                and entry.state is catalog.ServerState.READY
                and entry.service == self._service
            ):
                continue
            if entry is not None and not self._recorder.confirm():
                # The holder serves on for a while; the store may not be
                # there to record another one.
                continue
            pieces = _planner.divide_by_load(
                lease.first,
                lease.last,
                self._load.make_profile(),
                pieces=VACATE_PIECES,
            )
            lease.is_moving = True
            self._start_move(
                lease,
                pieces,
                self._choose_idlest,
                reason="holder_gone" if entry is None else "holder_leaves",
            )

    def _balance(self) -> bool:
        """Start moves that even out the load; False to plan again soon."""
        self._load.decay()
        if self._mover.active >= ACTIVE_LIMIT:
            return True
        now = self._clock.read_boot()
        resting = {
            lease.first: True
            for lease in self._book.leases
            if lease.is_moving or now - lease.settled_at < REST_MS
        }
        balance = self._make_balance()
        if not balance.capacity:
            return True
        busiest = max(balance.capacity, key=balance.get_use)
        use, mean_use = balance.get_use(busiest), balance.get_mean_use()
        moves = _planner.plan_moves(balance, resting=resting)
        if moves and not self._recorder.confirm():
            return False
        self._log.write(
            events.Planned(
                service=self._service,
                requests_per_s=round(balance.profile.total, 1),
                busiest=busiest,
                use=round(use, 2),
                mean_use=round(mean_use, 2),
                service_ms=int(self._speeds.get_service_ms(busiest)),
                mean_service_ms=int(self._speeds.get_mean_ms()),
                moves=len(moves),
            )
        )
        by_lease: dict[_lease.Lease, list[_planner.PlannedMove]] = {}
        for move in moves:
            lease = self._find_lease(move)
            if lease is not None:
                by_lease.setdefault(lease, []).append(move)
        for lease, planned in by_lease.items():
            targets = {move.first: move.target for move in planned}
            lease.is_moving = True
            self._start_move(
                lease,
                [(move.first, move.last) for move in planned],
                lambda part, targets=targets: self._choose_planned(
                    part, targets
                ),
                reason="balance",
            )
        return True

    def _find_lease(self, move: _planner.PlannedMove) -> _lease.Lease | None:
        """Return the lease that a planned move takes a piece of."""
        for lease in self._book.leases:
            if (
                lease.first <= move.first
                and move.last <= lease.last
                and lease.server == move.source
                and not lease.is_moving
            ):
                return lease
        return None

    def _choose_planned(
        self, lease: _lease.Lease, targets: dict[int, base.ServerId]
    ) -> catalog.ServerEntry | None:
        entry = self._view.servers.get(targets.get(lease.first, ""))
        if entry is not None and entry.state is catalog.ServerState.READY:
            return entry
        return self._choose_idlest(lease)

    def _start_move(
        self,
        lease: _lease.Lease,
        pieces: list[tuple[int, int]],
        choose: _mover.TargetChooser,
        *,
        reason: str,
    ) -> None:
        self._group.create_task(
            self._mover.move(lease, pieces, choose, reason=reason)
        )

    def _merge(self) -> None:
        """Join neighbours of one holder, so that fewer are renewed."""
        for left, right in self._book.list_mergeable():
            if self._renewer.find_holder(left) is not None:
                # At once, before a renewal of either can begin.
                merged = self._book.merge(left, right)
                now = self._clock.read_boot()
                merged.renew_at = now + self._renewer.renew_ms
                self._group.create_task(self._settle_merged(merged))

    async def _settle_merged(self, merged: _lease.Lease) -> None:
        await self._renewer.refence(merged)
        merged.renew_at = self._clock.read_boot()
        self._book.publish()
