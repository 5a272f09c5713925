"""Connections to backend servers and load estimates of them."""

from collections.abc import Sequence
import dataclasses
import math
import random

from tarragonhinge.balancing import _fleet_size
from tarragonhinge.balancing import _leaving_servers
from tarragonhinge.balancing import _pace
from tarragonhinge.balancing import _path
from tarragonhinge.balancing import _placement
from tarragonhinge.balancing import _route_sizes
from tarragonhinge.balancing import _server_load
from tarragonhinge.balancing import _server_waits
from tarragonhinge.balancing import _urgent_routes
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import http1
from tarragonhinge import limits

#: Network round-trip time to assume before a connection has measured it, in
#: milliseconds by distance.
_DEFAULT_ROUND_TRIP_MS = {
    _placement.Distance.ZONE: 1.0,
    _placement.Distance.REGION: 3.0,
    _placement.Distance.REMOTE: 42.0,
}

#: Fraction of a server's connections that one instance may open.
INSTANCE_CONNECTION_FRACTION = 0.25

#: Maximum number of connections from one instance to one server.
MAX_CONNECTIONS_PER_SERVER = 24


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLink:
    """Connections to one incarnation of a server and its load estimate.

    Parameters
    ----------
    entry : ServerEntry
        Entry of the server in the catalog.
    distance : Distance
        Network distance of the server.
    pool : ConnectionPool
        Connections to the server.
    load : ServerLoad
        Load estimate of the server.
    path : Path
        Evidence of whether this instance reaches the server.
    waits : ServerWaits
        Waits of all servers, which outlast their links.
    """

    entry: catalog.ServerEntry
    distance: _placement.Distance
    pool: http1.ConnectionPool
    load: _server_load.ServerLoad
    path: _path.Path
    waits: _server_waits.ServerWaits

    @property
    def incarnation(self) -> limits.Incarnation:
        """Server and start time, by which limits are kept."""
        return self.entry.server, self.entry.born_ms

    def get_wait_ms(self) -> int:
        """Return the time left for which the server wants no requests."""
        return self.waits.get_ms(self.incarnation)

    def get_round_trip_ms(self) -> float:
        """Return the network round-trip time."""
        return (
            self.pool.min_connect_ms or _DEFAULT_ROUND_TRIP_MS[self.distance]
        )

    def is_out_of_reach(self, *, fresh: bool) -> bool:
        """Return whether no request can be sent to the server from here.

        An open connection may live on while new ones are refused.

        Parameters
        ----------
        fresh : bool
            As for `ConnectionPool.acquire`.
        """
        if not self.path.is_closed:
            return False
        return not (self.path.is_refused and self.pool.has_idle(fresh=fresh))

    def make_candidate(
        self,
        *,
        route: str | None = None,
        fresh: bool = False,
        urgent: Sequence[_urgent_routes.UrgentRoute] = (),
    ) -> _placement.Candidate:
        """Return the server's estimates as input for placement.

        Parameters
        ----------
        route : str or None
            Route of the request; None for any of the service's requests.
        fresh : bool
            As for `ConnectionPool.acquire`.
        urgent : sequence of UrgentRoute
            Routes whose requests must not wait for long behind this one.
        """
        return _placement.Candidate(
            server=self.entry.server,
            distance=self.distance,
            round_trip_ms=self.get_round_trip_ms(),
            wait_ms=self.load.estimate_wait_ms(),
            service_ms=self.load.estimate_service_ms(route),
            error_ratio=self.load.health.compute_error_ratio(),
            is_cooling_down=self.load.is_cooling_down(),
            closed_ms=self.get_wait_ms(),
            is_out_of_reach=self.is_out_of_reach(fresh=fresh),
            wait_limit_ms=self._compute_wait_limit_ms(route, urgent),
            is_full=self.load.is_full(),
            pace_wait_ms=self.load.estimate_pace_wait_ms(),
            standing_wait_ms=self.load.estimate_standing_wait_ms(),
            contention=self.load.get_contention(),
        )

    def _compute_wait_limit_ms(
        self, route: str | None, urgent: Sequence[_urgent_routes.UrgentRoute]
    ) -> float:
        return min(
            (
                _urgent_routes.compute_wait_limit_ms(
                    objective_ms=other.objective_ms,
                    round_trip_ms=self.get_round_trip_ms(),
                    urgent_service_ms=self.load.estimate_service_ms(
                        other.name
                    ),
                    own_service_ms=self.load.estimate_service_ms(route),
                    slots=self.load.slots,
                )
                for other in urgent
            ),
            default=math.inf,
        )


class ServerLinks:
    """Links to the servers of the view, created on first use.

    Parameters
    ----------
    view : View
        Servers to link to.
    zone : ZoneName
        Availability zone of this instance.
    zones : mapping
        Region of each availability zone.
    fleet_size : FleetSize
        Number of instances.
    leaving : LeavingServers
        Servers that say that they leave.
    clock : Clock
        This process's clock.
    rng : random.Random or None
        Spreads the first requests to servers that have come up.
    budget : ConnectionBudget or None
        Bound on the connections to all servers; unbounded if None.

    Attributes
    ----------
    route_sizes : RouteSizes
        Bytes that the requests of each route take.
    """

    def __init__(
        self,
        *,
        view: catalog.View,
        zone: base.ZoneName,
        zones: dict[base.ZoneName, base.RegionName],
        fleet_size: _fleet_size.FleetSize,
        leaving: _leaving_servers.LeavingServers,
        clock: base.Clock,
        rng: random.Random | None = None,
        budget: http1.ConnectionBudget | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._budget = budget
        self._view = view
        self._zone = zone
        self._zones = zones
        self._fleet_size = fleet_size
        self._leaving = leaving
        self._clock = clock
        self._links: dict[base.ServerId, ServerLink] = {}
        self._evacuated: frozenset[base.ZoneName] = frozenset()
        self._service_times: dict[
            base.ServiceName, _server_load.ServiceTime
        ] = {}
        self._waits = _server_waits.ServerWaits(clock=clock)
        self.route_sizes = _route_sizes.RouteSizes()
        view.changes.subscribe(self._prune)

    def _prune(self, _: None) -> None:
        """Close the links to incarnations that are no longer listed.

        Servers of a zone that is taken back begin with a low pace.
        """
        evacuated = self._view.evacuated_zones
        for server, link in list(self._links.items()):
            entry = self._view.servers.get(server)
            if not link.entry.is_same_incarnation(entry):
                link.pool.close()
                del self._links[server]
            elif link.entry.zone in self._evacuated - evacuated:
                link.load.restart_pace()
        self._evacuated = evacuated

    def find(self, server: base.ServerId) -> ServerLink | None:
        """Return the link to a server, or None if there is no entry."""
        entry = self._view.servers.get(server)
        if entry is None:
            return None
        link = self._links.get(server)
        if link is None:
            link = self._make_link(entry)
            self._links[server] = link
        return link

    def is_current(self, link: ServerLink) -> bool:
        """Return whether a link is in use for its server."""
        return self._links.get(link.entry.server) is link

    def is_keyed(self, link: ServerLink) -> bool:
        """Return whether the server's service is keyed."""
        table = self._view.table
        service = table.find_service(link.entry.service) if table else None
        return service is not None and service.keyed

    def exclude_crashed(self, incarnation: limits.Incarnation) -> None:
        """Send nothing to a server that an instance has seen to crash."""
        server, born_ms = incarnation
        entry = self._view.servers.get(server)
        if entry is not None and entry.born_ms == born_ms:
            self.find(server).load.record_crashed()

    def list_ready(self, service: base.ServiceName) -> list[ServerLink]:
        """Return links to the ready servers of a service, same zone first."""
        entries = self._view.list_servers(service)
        links = [self.find(entry.server) for entry in entries]
        return sorted(links, key=lambda link: link.distance.value != "zone")

    def list_pool_limits(self, service: base.ServiceName) -> list[int]:
        """Return the number of connections allowed to each ready server."""
        return [link.pool.limit for link in self.list_ready(service)]

    def estimate_service_ms(
        self, service: base.ServiceName, route: str
    ) -> float:
        """Return a route's service time at an average server; 0 if unknown."""
        service_time = self._service_times.get(service)
        return service_time.estimate_ms(route) if service_time else 0.0

    def list_all(self) -> list[ServerLink]:
        """Return the existing links."""
        return list(self._links.values())

    def get_work_ratio(self, service: base.ServiceName, route: str) -> float:
        """Return a route's service time relative to that of its service."""
        service_time = self._service_times.get(service)
        if service_time is None:
            return 1.0
        return service_time.estimate_ms(route) / service_time.mean_ms

    def accepts_work(self, link: ServerLink, *, keyed: bool) -> bool:
        """Return whether a server still accepts new requests.

        A draining server that owns keys accepts requests for them until
        the keys have moved, or its time is over.
        """
        entry = self._view.servers.get(link.entry.server)
        if not link.entry.is_same_incarnation(entry):
            return False
        if keyed:
            return not self._leaving.is_over(link.incarnation)
        return entry.state is catalog.ServerState.READY

    def list_reported(self) -> list[ServerLink]:
        """Return the existing links whose loads other instances need."""
        now = self._clock.now()
        keyed = self.list_keyed()
        paced = [
            link
            for link in self._links.values()
            if link.load.pace is not None and link.load.pace.is_active(now)
        ]
        is_keyed = {link.entry.server for link in keyed}
        return keyed + [
            link for link in paced if link.entry.server not in is_keyed
        ]

    def list_pace_limits(self) -> dict[base.ServerId, float]:
        """Return the limits of the servers that have one now."""
        limits_by_server = {
            server: link.load.get_pace_limit()
            for server, link in self._links.items()
            if link.load.pace is not None
        }
        return {s: n for s, n in limits_by_server.items() if n < math.inf}

    def count_standing(self) -> int:
        """Return the number of servers whose queues stand."""
        links = self._links.values()
        return sum(link.load.estimate_standing_wait_ms() > 0 for link in links)

    def count_opened(self) -> int:
        """Return the number of attempts to connect to the listed servers."""
        return sum(link.pool.opened_count for link in self._links.values())

    def list_keyed(self) -> list[ServerLink]:
        """Return the existing links to servers of keyed services."""
        if self._view.table is None:
            return []
        services = set(self._view.table.list_keyed())
        return [
            link
            for link in self._links.values()
            if link.entry.service in services
        ]

    def _make_link(self, entry: catalog.ServerEntry) -> ServerLink:
        service = None
        if self._view.table is not None:
            service = self._view.table.find_service(entry.service)
        is_keyed = service is not None and service.keyed
        max_connections = (
            service.max_connections if service else MAX_CONNECTIONS_PER_SERVER
        )
        load = _server_load.ServerLoad(
            slots=entry.slots,
            service_time=self._service_times.setdefault(
                entry.service, _server_load.ServiceTime()
            ),
            clock=self._clock,
            get_sender_count=self._fleet_size.get if is_keyed else lambda: 1,
            pace=_pace.ServerPace(slots=entry.slots)
            if service and service.warm_up_ms
            else None,
            get_fleet_size=self._fleet_size.get,
            rng=self._rng,
        )
        if entry.cold_ms:
            load.set_cold(entry.cold_ms)
        if service and self._has_just_started(entry, service):
            load.restart_pace()
        return ServerLink(
            entry=entry,
            distance=self._compute_distance(entry.zone),
            pool=http1.ConnectionPool(
                address=entry.address,
                clock=self._clock,
                limit=min(
                    MAX_CONNECTIONS_PER_SERVER,
                    int(max_connections * INSTANCE_CONNECTION_FRACTION),
                ),
                budget=self._budget,
            ),
            load=load,
            path=_path.Path(clock=self._clock),
            waits=self._waits,
        )

    def _has_just_started(
        self, entry: catalog.ServerEntry, service: catalog.Service
    ) -> bool:
        """Return whether a server has started while others were running.

        An instance that has just started itself knows no server either.
        """
        age_ms = self._clock.read_wall_time() - entry.born_ms
        return entry.cold_ms > 0 or age_ms < service.warm_up_ms

    def _compute_distance(self, zone: base.ZoneName) -> _placement.Distance:
        if zone == self._zone:
            return _placement.Distance.ZONE
        if self._zones.get(zone) == self._zones.get(self._zone):
            return _placement.Distance.REGION
        return _placement.Distance.REMOTE
