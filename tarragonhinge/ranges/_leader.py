"""Manages the key ranges of one service on the coordinator."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import functools

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.ranges import _evacuation
from tarragonhinge.ranges import _grants
from tarragonhinge.ranges import _key_load
from tarragonhinge.ranges import _lease
from tarragonhinge.ranges import _lease_map
from tarragonhinge.ranges import _mover
from tarragonhinge.ranges import _planner
from tarragonhinge.ranges import _recorder
from tarragonhinge.ranges import _renewer
from tarragonhinge.ranges import _service_times
from tarragonhinge.ranges import _targets

#: Interval between checks for evacuations, plans and merges that are due.
CHECK_INTERVAL_MS = 100

#: Interval between plans of load balancing.
PLAN_INTERVAL_MS = 500

#: Time without a new server after which the initial ranges are assigned.
SERVER_DISCOVERY_MS = 700

#: Interval between merges of adjacent leases.
MERGE_INTERVAL_MS = 3_000

#: Number of moves in progress from which no further moves are planned for
#: load balancing.
MAX_ACTIVE_MOVES = 8

#: Time after a move in which load balancing does not move the keys again.
MOVE_COOLDOWN_MS = 2_000

#: Age of the store's last response from which no move is started, since the
#: new holder could not be recorded.
MAX_STORE_AGE_MS = 2_500


class RangeLeader:
    """Assigns the keys of one service while this instance coordinates.

    Parameters
    ----------
    service : ServiceName
        Service that the keys belong to.
    recorder : RangeRecorder
        Writes the stored record.
    view : View
        Source of the server entries; the owner map is published in it.
    grants : GrantClient
        Sends grants and releases.
    get_store_age : callable
        Returns the age of the store's last response in milliseconds.
    zones : mapping
        Region of each availability zone.
    find_rate_limit : callable
        Returns the requests per second that a server takes, or None.
    may_renew : callable
        Returns whether this instance may still act as coordinator; if so,
        no other instance can have moved keys.
    is_view_confirmed : bool
        Whether the former coordinator confirmed its owner map after the store
        had come back from a copy; it could not record any new holder since.
    inherited_until : int
        Time until which the previous coordinator may have sent grants
        (boot time).
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    grant_limit_ms : int
        Upper bound of a grant's duration.

    Attributes
    ----------
    knows_holders : bool
        Whether the published owner map names the only server that may hold a
        key. Before, it is what this instance knew as a follower.
    """

    def __init__(
        self,
        *,
        service: base.ServiceName,
        recorder: _recorder.RangeRecorder,
        view: catalog.View,
        grants: _grants.GrantClient,
        get_store_age: Callable[[], int],
        zones: Mapping[base.ZoneName, base.RegionName] | None = None,
        find_rate_limit: Callable[
            [catalog.ServerEntry], float | None
        ] = lambda _: None,
        may_renew: Callable[[], bool],
        is_view_confirmed: bool = False,
        inherited_until: int,
        log: events.EventLog,
        clock: base.Clock,
        grant_limit_ms: int = _renewer.GRANT_HOLD_MS,
    ) -> None:
        self._service = service
        self._recorder = recorder
        self._view = view
        self._get_store_age = get_store_age
        self._may_renew = may_renew
        self._is_view_confirmed = is_view_confirmed
        self._inherited_until = inherited_until
        self._log = log
        self._clock = clock
        self._load = _key_load.KeyLoad(clock=clock)
        self._service_times = _service_times.ServiceTimes()
        self._lease_map = _lease_map.LeaseMap(service=service, view=view)
        self._renewer = _renewer.Renewer(
            service=service,
            lease_map=self._lease_map,
            recorder=recorder,
            view=view,
            grants=grants,
            may_renew=may_renew,
            log=log,
            clock=clock,
            hold_ms=min(_renewer.GRANT_HOLD_MS, grant_limit_ms),
        )
        self._targets = _targets.Targets(
            service=service,
            view=view,
            zones=zones or {},
            lease_map=self._lease_map,
            load=self._load,
            service_times=self._service_times,
            find_rate_limit=find_rate_limit,
            clock=clock,
        )
        self._mover = _mover.Mover(
            service=service,
            lease_map=self._lease_map,
            recorder=recorder,
            renewer=self._renewer,
            view=view,
            may_hold=self._targets.may_hold,
            grants=grants,
            log=log,
            clock=clock,
        )
        self._progress = _evacuation.Progress(
            service=service, view=view, log=log, clock=clock
        )
        self._planned_at = 0
        self._merged_at = 0
        self._group: asyncio.TaskGroup | None = None
        self.knows_holders = False

    @property
    def evacuated_count(self) -> int:
        """Number of segments that have to leave a zone or region yet."""
        return self._progress.left

    @property
    def record_bytes(self) -> int:
        """Length of the last record written, in bytes of base64."""
        return self._recorder.encoded_bytes

    def count_moving(self) -> int:
        """Return the number of segments that move."""
        return sum(lease.is_moving for lease in self._lease_map.leases)

    def record_keys(self, keys: Sequence[int]) -> None:
        """Count the requests that an instance reported, one for each key."""
        self._load.add(keys)

    def record_service_time(
        self, server: base.ServerId, *, count: int, mean_ms: float
    ) -> None:
        """Add an instance's report on a server's service time."""
        self._service_times.record(server, count=count, mean_ms=mean_ms)

    async def run(self) -> None:
        """Manage the service's keys until cancelled.

        Raises
        ------
        LeadershipLostError
            If another instance has become the coordinator; raised inside
            an exception group.
        """
        await self._recorder.load()
        expires_at = _lease.compute_expiry(
            self._inherited_until, self._renewer.hold_ms
        )
        known = self._view.owners.get(self._service, catalog.OwnerMap())
        for segment in known.segments:
            self._recorder.skip_fences(segment.fence)
        if self._recorder.is_outdated:
            wait_ms, problem = 0, self._find_view_problem(known)
            if problem:
                # Servers that the record does not name may hold its keys.
                wait_ms = max(0, expires_at - self._clock.read_boottime())
            else:
                self._recorder.adopt(known)
            self._log.write(
                events.RecordOutdated(
                    service=self._service,
                    wait_ms=wait_ms,
                    moving=_count_moving(known),
                    problem=problem,
                )
            )
            await self._clock.sleep(wait_ms)
        self._lease_map.adopt(
            self._recorder.owners,
            expires_at=expires_at,
            now=self._clock.read_boottime(),
        )
        self.knows_holders = True
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self._recorder.run())
            group.create_task(self._renewer.run())
            while True:
                self._run_due_work()
                await self._clock.sleep(CHECK_INTERVAL_MS)

    def _find_view_problem(self, known: catalog.OwnerMap) -> str:
        """Return why the view may not name the holders, or an empty text."""
        if not self._is_view_confirmed:
            return "unconfirmed"
        if self._recorder.is_damaged:
            # It may name holders that were recorded after the confirmation.
            return "damaged_record"
        return "" if known.segments else "no_owners"

    def record_again(self) -> None:
        """Write the record once more, since the store has lost it."""
        self._recorder.record_again()

    def _run_due_work(self) -> None:
        """Start evacuations, balancing and merges that are due."""
        if not self._may_renew():
            return
        now = self._clock.read_boottime()
        if not self._lease_map.leases:
            self._assign_initial_ranges()
            return
        is_store_reachable = self._get_store_age() < MAX_STORE_AGE_MS
        if not is_store_reachable:
            return
        self._evacuate()
        if now - self._planned_at >= PLAN_INTERVAL_MS and self._rebalance():
            self._planned_at = now
        if now - self._merged_at >= MERGE_INTERVAL_MS:
            self._merged_at = now
            self._merge()

    def _assign_initial_ranges(self) -> None:
        """Assign all keys to servers, since no holders are recorded yet."""
        capacities = self._targets.list_capacities()
        if not capacities:
            return
        if self._targets.get_newest_age_ms() < SERVER_DISCOVERY_MS:
            return
        now = self._clock.read_boottime()
        leases = []
        for first, last, server in _planner.divide_evenly(capacities):
            entry = self._view.servers[server]
            lease = _lease.Lease(
                first=first,
                last=last,
                server=server,
                born_ms=entry.born_ms,
                fence=self._recorder.allocate_fence(),
                expires_at=now,
                is_moving=True,
            )
            leases.append(lease)
            self._lease_map.add(lease)
        self._lease_map.publish()
        self._group.create_task(
            self._mover.assign_initial(leases, self._targets.choose)
        )

    def _evacuate(self) -> None:
        """Move keys away from servers that may not keep them.

        These drain, are no longer listed, or are in an evacuated zone.
        """
        leaving = self._list_leaving()
        self._progress.record(leaving)
        if not leaving:
            return
        movable = leaving
        if not self._targets.list_entries() or not (
            self._recorder.check_writable()
        ):
            # A listed holder still serves its keys; no server can take them
            # over, or a new holder can't be recorded.
            movable = [item for item in leaving if item.entry is None]
        if not movable:
            return
        balance = self._targets.get_balance()
        for item in _evacuation.choose_batch(movable, balance.profile):
            self._start_evacuation(item, balance)

    def _list_leaving(self) -> list[_evacuation.LeavingLease]:
        """Return the leases that have to leave their holders."""
        leaving = []
        for lease in self._lease_map.leases:
            if lease.is_moving:
                continue
            entry = self._renewer.find_holder(lease)
            reason = "holder_gone"
            if entry is not None:
                reason = self._targets.explain_leaving(entry)
            if reason is not None:
                leaving.append(
                    _evacuation.LeavingLease(
                        lease=lease, entry=entry, reason=reason
                    )
                )
        return leaving

    def _start_evacuation(
        self, item: _evacuation.LeavingLease, balance: _planner.Balance
    ) -> None:
        lease, region = item.lease, None
        pieces = _evacuation.DRAIN_PIECES
        if item.is_batched:
            region = self._targets.find_region(item.entry)
            pieces = _evacuation.count_pieces(
                balance.profile.sum_range(lease.first, lease.last),
                list(balance.capacity.values()),
            )
        if self._recorder.is_full:
            pieces = 1
        lease.is_moving = True
        move = functools.partial(
            self._mover.move,
            lease,
            _planner.divide_by_load(
                lease.first, lease.last, balance.profile, pieces=pieces
            ),
            lambda piece: self._targets.choose(piece, region=region),
            reason=item.reason,
        )
        self._group.create_task(
            self._progress.follow(move) if item.is_batched else move()
        )

    def _rebalance(self) -> bool:
        """Start moves that balance the load.

        Returns
        -------
        bool
            False if moves are planned but can't be recorded yet, so that
            the next check plans again.
        """
        self._load.decay()
        if self._mover.active >= MAX_ACTIVE_MOVES or self._recorder.is_full:
            return True
        now = self._clock.read_boottime()
        pinned = {
            lease.first: True
            for lease in self._lease_map.leases
            if lease.is_moving or now - lease.assigned_at < MOVE_COOLDOWN_MS
        }
        balance = self._targets.make_balance()
        if not balance.capacity:
            return True
        busiest = max(balance.capacity, key=balance.get_utilization)
        utilization, mean_utilization = (
            balance.get_utilization(busiest),
            balance.get_mean_utilization(),
        )
        moves = _planner.plan_moves(balance, pinned=pinned)
        if moves and not self._recorder.check_writable():
            return False
        self._log.write(
            events.Planned(
                service=self._service,
                requests_per_s=round(balance.profile.total, 1),
                busiest=busiest,
                use=round(utilization, 2),
                mean_use=round(mean_utilization, 2),
                service_ms=int(self._service_times.get_service_ms(busiest)),
                mean_service_ms=int(self._service_times.get_mean_ms()),
                moves=len(moves),
            )
        )
        moves_by_lease: dict[_lease.Lease, list[_planner.PlannedMove]] = {}
        for move in moves:
            lease = self._find_lease(move)
            if lease is not None:
                moves_by_lease.setdefault(lease, []).append(move)
        for lease, planned in moves_by_lease.items():
            targets = {move.first: move.target for move in planned}
            lease.is_moving = True
            self._group.create_task(
                self._mover.move(
                    lease,
                    [(move.first, move.last) for move in planned],
                    lambda piece, targets=targets: self._choose_planned_target(
                        piece, targets
                    ),
                    reason="balance",
                )
            )
        return True

    def _find_lease(self, move: _planner.PlannedMove) -> _lease.Lease | None:
        """Return the lease that contains the keys of a planned move."""
        for lease in self._lease_map.leases:
            if (
                lease.first <= move.first
                and move.last <= lease.last
                and lease.server == move.source
                and not lease.is_moving
            ):
                return lease
        return None

    def _choose_planned_target(
        self, lease: _lease.Lease, targets: dict[int, base.ServerId]
    ) -> catalog.ServerEntry | None:
        entry = self._view.servers.get(targets.get(lease.first, ""))
        if entry is not None and self._targets.may_hold(entry):
            return entry
        return self._targets.choose(lease)

    def _merge(self) -> None:
        """Merge adjacent leases of the same holder to reduce renewals."""
        for left, right in self._lease_map.list_mergeable():
            if self._renewer.find_holder(left) is not None:
                # There must be no await between the check and the merge, or
                # a renewal of either lease could start in between.
                merged = self._lease_map.merge(left, right)
                now = self._clock.read_boottime()
                merged.renew_at = now + self._renewer.renewal_interval_ms
                self._group.create_task(self._refence_merged(merged))

    async def _refence_merged(self, merged: _lease.Lease) -> None:
        await self._renewer.refence(merged)
        merged.renew_at = self._clock.read_boottime()
        self._lease_map.publish()


def _count_moving(owners: catalog.OwnerMap) -> int:
    moving = catalog.SegmentState.MOVING
    return sum(segment.state is moving for segment in owners.segments)
