"""What operators see of evacuated zones and restricted routes."""

from collections.abc import Mapping

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import catalog


class StateReport:
    """Reports which servers get no requests, and what is still there.

    Parameters
    ----------
    view : View
        Routes, servers and owners of keys.
    links : ServerLinks
        Links to the servers.
    eligibility : Eligibility
        Decides which servers may get a request at all.
    zones : mapping
        Region of each availability zone.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        view: catalog.View,
        links: balancing.ServerLinks,
        eligibility: balancing.Eligibility,
        zones: Mapping[base.ZoneName, base.RegionName],
        clock: base.Clock,
    ) -> None:
        self._view = view
        self._links = links
        self._eligibility = eligibility
        self._zones = zones
        self._clock = clock

    def count_in_flight(self) -> int:
        """Return the requests of this instance in evacuated zones."""
        return sum(
            self._count_in_flight(z) for z in self._view.evacuated_zones
        )

    def count_segments(self) -> int:
        """Return the segments of keys owned in evacuated zones."""
        return sum(self._count_segments(z) for z in self._view.evacuated_zones)

    def describe(self) -> dict:
        """Return evacuated zones and restricted routes for the state dump."""
        since = self._eligibility.evacuated_since
        now = self._clock.now()
        table = self._view.table
        return {
            "evacuated_zones": {
                zone: {
                    "region": self._zones.get(zone),
                    "heard_ms_ago": now - since[zone],
                    "owners_get_requests": self._eligibility.has_grace(zone),
                    "servers": len(self._list_servers(zone)),
                    "in_flight": self._count_in_flight(zone),
                    "segments": self._count_segments(zone),
                }
                for zone in sorted(since)
            },
            "restricted_routes": [
                self._describe_route(route)
                for route in (table.routes if table is not None else ())
                if route.allowed_regions
            ],
        }

    def _describe_route(self, route: catalog.Route) -> dict:
        services = {}
        for target in route.targets:
            count, excluded = self._eligibility.count_ready(
                route, target.service
            )
            services[target.service] = {
                "servers": count,
                "excluded": {o.value: n for o, n in excluded.items()},
            }
        return {
            "name": route.name,
            "allowed_regions": route.allowed_regions,
            "services": services,
        }

    def _list_servers(self, zone: base.ZoneName) -> set[base.ServerId]:
        return {
            entry.server
            for entry in self._view.servers.values()
            if entry.zone == zone
        }

    def _count_in_flight(self, zone: base.ZoneName) -> int:
        return sum(
            link.load.in_flight
            for link in self._links.list_all()
            if link.entry.zone == zone
        )

    def _count_segments(self, zone: base.ZoneName) -> int:
        servers = self._list_servers(zone)
        return sum(
            segment.server in servers
            for owners in self._view.owners.values()
            for segment in owners.segments
        )
