"""Chooses the servers that get keys.

The load pattern: all keys of a draining server or of an evacuated zone, up to
several hundred segments, need new holders at once, while the other servers
are unevenly loaded. Each choice counts towards the load of the chosen server
immediately, and the loads of all servers are computed for many choices
together, since that takes some milliseconds.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.ranges import _key_load
from tarragonhinge.ranges import _lease
from tarragonhinge.ranges import _lease_map
from tarragonhinge.ranges import _planner
from tarragonhinge.ranges import _service_times

#: Fraction of a server's capacity that is planned for during its warm-up.
COLD_CAPACITY_RATIO = 0.6

#: Difference in utilization from the best server up to which a busy one has
#: room for keys of its region. With a larger one, the planner of load
#: balancing would move the keys once more.
ROOM_UTILIZATION_GAP = _planner.MIN_UTILIZATION_GAP / 2

#: Time for which the computed loads of the servers are used.
BALANCE_MAX_AGE_MS = 100


def find_common_regions(
    routes: Iterable[catalog.Route], service: base.ServiceName
) -> frozenset[base.RegionName]:
    """Return the regions that all routes to a service allow.

    Empty if each route allows all regions, or if the routes have no region in
    common: a key may then be owned anywhere.

    Examples
    --------
    >>> find_common_regions([], base.ServiceName("ledger"))
    frozenset()
    """
    allowed = [
        frozenset(route.allowed_regions)
        for route in routes
        if route.allowed_regions
        and any(target.service == service for target in route.targets)
    ]
    return frozenset.intersection(*allowed) if allowed else frozenset()


class Targets:
    """Servers that may hold keys of one service, with their loads.

    Parameters
    ----------
    service : ServiceName
        Service that the keys belong to.
    view : View
        Source of the server entries, routes and evacuated zones.
    zones : mapping
        Region of each availability zone.
    lease_map : LeaseMap
        Leases of the service.
    load : KeyLoad
        Requests by key.
    service_times : ServiceTimes
        Service times of the servers.
    find_rate_limit : callable
        Returns the requests per second that a server takes, or None.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        service: base.ServiceName,
        view: catalog.View,
        zones: Mapping[base.ZoneName, base.RegionName],
        lease_map: _lease_map.LeaseMap,
        load: _key_load.KeyLoad,
        service_times: _service_times.ServiceTimes,
        find_rate_limit: Callable[[catalog.ServerEntry], float | None],
        clock: base.Clock,
    ) -> None:
        self._service = service
        self._view = view
        self._zones = zones
        self._lease_map = lease_map
        self._load = load
        self._service_times = service_times
        self._find_rate_limit = find_rate_limit
        self._clock = clock
        # Objects of the view that the entries were computed from; the view
        # replaces them when they change.
        self._entries_source: tuple[object, ...] = (None, None, None)
        self._entries: list[catalog.ServerEntry] = []
        self._regions: frozenset[base.RegionName] = frozenset()
        self._first_listed_at: dict[base.ServerId, int] = {}
        self._balance: _planner.Balance | None = None
        self._balance_made_at = 0

    def list_entries(self) -> list[catalog.ServerEntry]:
        """Return the servers that may get keys.

        Servers in evacuated zones may not, nor may servers outside the
        regions that all routes to the service allow, unless there are no
        servers inside.
        """
        view = self._view
        source = (view.servers, view.evacuated_zones, view.table)
        if any(
            new is not old
            for new, old in zip(source, self._entries_source, strict=True)
        ):
            self._entries_source = source
            self._entries = self._filter_entries()
        return self._entries

    def _filter_entries(self) -> list[catalog.ServerEntry]:
        entries = [
            entry
            for entry in self._view.list_servers(self._service)
            if entry.zone not in self._view.evacuated_zones
        ]
        self._regions = frozenset()
        if self._view.table is not None:
            self._regions = find_common_regions(
                self._view.table.routes, self._service
            )
        allowed = [e for e in entries if self.find_region(e) in self._regions]
        return allowed or entries

    def explain_leaving(self, entry: catalog.ServerEntry) -> str | None:
        """Return why a holder must give up its keys; None if it need not."""
        if (
            entry.state is not catalog.ServerState.READY
            or entry.service != self._service
        ):
            return "holder_leaves"
        if entry.zone in self._view.evacuated_zones:
            return "zone_evacuated"
        others = self.list_entries()
        if (
            self.find_region(entry) not in self._regions
            and others
            and self.find_region(others[0]) in self._regions
        ):
            return "region_not_allowed"
        return None

    def may_hold(self, entry: catalog.ServerEntry) -> bool:
        """Return whether a server may get keys."""
        return self.explain_leaving(entry) is None

    def get_newest_age_ms(self) -> int:
        """Return the time since a server was listed for the first time."""
        newest_at = max(self._first_listed_at.values(), default=0)
        return self._clock.read_boottime() - newest_at

    def list_capacities(self) -> list[_planner.Capacity]:
        """Return the capacity of each server that may get keys."""
        now = self._clock.read_boottime()
        capacities = []
        for entry in self.list_entries():
            first_listed_at = self._first_listed_at.setdefault(
                entry.server, now
            )
            service_ms = self._service_times.get_service_ms(entry.server)
            requests_per_s = entry.slots * base.MS_PER_S / service_ms
            if now - first_listed_at < entry.cold_ms:
                requests_per_s *= COLD_CAPACITY_RATIO
            rate_limit = self._find_rate_limit(entry)
            if rate_limit is not None:
                requests_per_s = min(requests_per_s, rate_limit)
            capacities.append(
                _planner.Capacity(
                    server=entry.server,
                    requests_per_s=requests_per_s,
                    slots=entry.slots,
                )
            )
        return capacities

    def make_balance(self) -> _planner.Balance:
        """Return the present keys, load and capacity of the servers."""
        return _planner.Balance(
            owners=self._lease_map.make_owner_map(),
            profile=self._load.make_profile(),
            capacities=self.list_capacities(),
        )

    def get_balance(self) -> _planner.Balance:
        """Return a balance that may be slightly older.

        Choices of targets are applied to it.
        """
        now = self._clock.read_boottime()
        if (
            self._balance is None
            or now - self._balance_made_at >= BALANCE_MAX_AGE_MS
        ):
            self._balance = self.make_balance()
            self._balance_made_at = now
        return self._balance

    def choose(
        self, lease: _lease.Lease, *, region: base.RegionName | None = None
    ) -> catalog.ServerEntry | None:
        """Return the server with the lowest utilization if it had the lease.

        The present holder is chosen only if there is no other server; another
        incarnation of it counts as another server. Servers that do not answer
        grants are chosen only if all others do not, either, since a grant
        without an answer has to expire before the keys go elsewhere.

        Parameters
        ----------
        lease : Lease
            Lease that needs a holder.
        region : RegionName or None
            Region whose servers are preferred while one of them has room.

        Returns
        -------
        ServerEntry or None
            None if no server may get keys.
        """
        balance = self.get_balance()
        entries = [
            entry
            for entry in self.list_entries()
            if entry.server in balance.demand
        ]
        others = [
            entry
            for entry in entries
            if (entry.server, entry.born_ms) != (lease.server, lease.born_ms)
        ]
        if not others:
            return entries[0] if entries else None
        load = balance.profile.sum_range(lease.first, lease.last)

        def compute_utilization(entry: catalog.ServerEntry) -> float:
            demand = balance.demand[entry.server] + load
            return demand / balance.capacity[entry.server]

        unanswered = {
            other.server
            for other in self._lease_map.leases
            if other.is_unanswered
        }
        answering = [e for e in others if e.server not in unanswered]
        candidates = answering or others
        if region is not None:
            room = max(
                max(balance.busy_utilization.values()),
                min(map(compute_utilization, candidates))
                + ROOM_UTILIZATION_GAP,
            )
            near = [
                entry
                for entry in candidates
                if self.find_region(entry) == region
                and compute_utilization(entry) < room
            ]
            candidates = near or candidates
        chosen = min(
            candidates,
            key=lambda entry: (
                compute_utilization(entry),
                len(balance.ranges_by_server[entry.server]),
            ),
        )
        balance.add(chosen.server, lease.first, lease.last)
        return chosen

    def find_region(
        self, entry: catalog.ServerEntry
    ) -> base.RegionName | None:
        """Return the region of a server, or None if it is unknown."""
        return self._zones.get(entry.zone)
