"""Decides which servers may get a request at all.

The decision about a server has this order: (1) its state: it is listed and
does not drain; (2) the regions that the request's route allows; (3) the
evacuation of its zone; (4) the wait that it asks for; (5) free capacity and
the cost of distance; (6) the limit that it names. `find_obstacle` decides (1)
to (3), which no other server's load can change, `_placement.place` (4) and
(5), and the permits that `Placer` acquires (6).

A server may become ineligible while a request waits for it or while a
connection is opened. Therefore the sender decides once more just before it
writes.
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from tarragonhinge.balancing import _admission
from tarragonhinge.balancing import _links
from tarragonhinge.balancing import _view_waiter
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import jobs
from tarragonhinge import limits

#: Time before the end of an evacuation's bound at which its servers get no
#: requests for their keys either. An instance may hear of the evacuation 2.3 s
#: after the store acknowledged it, and the request has to arrive.
OWNER_MARGIN_MS = 2_500


class Obstacle(enum.Enum):
    """Reason why a server may not get a request.

    STATE: it drains or is not listed; REGION: it is in no region that the
    route allows; EVACUATED: its zone is evacuated.
    """

    STATE = "server_leaving"
    REGION = "region_not_allowed"
    EVACUATED = "zone_evacuated"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conditions:
    """What the decision depends on beside the server and the request.

    Parameters
    ----------
    zones : mapping
        Region of each availability zone.
    evacuated_since : mapping
        Time at which this instance heard of the evacuation of a zone.
    owner_grace_ms : int
        Time from then on for which the owner of a key there gets its
        requests.
    """

    zones: Mapping[base.ZoneName, base.RegionName]
    evacuated_since: Mapping[base.ZoneName, int]
    owner_grace_ms: int


def find_obstacle(
    entry: catalog.ServerEntry,
    *,
    regions: frozenset[base.RegionName] | None,
    keyed: bool,
    accepts_work: bool,
    now: int,
    conditions: Conditions,
) -> Obstacle | None:
    """Return why a server may not get a request; None if it may.

    Parameters
    ----------
    entry : ServerEntry
        Entry of the server.
    regions : frozenset of RegionName or None
        Regions that the request's route allows; None for all.
    keyed : bool
        Whether the server owns the request's key.
    accepts_work : bool
        Whether its state allows the request.
    now : int
        Current time.
    conditions : Conditions
        Regions of the zones, and evacuated zones.
    """
    if not accepts_work:
        return Obstacle.STATE
    # The region of a zone that the settings lack is None, which is never
    # allowed.
    if regions is not None and conditions.zones.get(entry.zone) not in regions:
        return Obstacle.REGION
    if entry.zone in conditions.evacuated_since and not (
        keyed and _is_in_grace(entry.zone, now, conditions)
    ):
        return Obstacle.EVACUATED
    return None


def _is_in_grace(
    zone: base.ZoneName, now: int, conditions: Conditions
) -> bool:
    since = conditions.evacuated_since[zone]
    return now - since < conditions.owner_grace_ms


def pick_reason(excluded: Mapping[Obstacle, int]) -> Obstacle:
    """Return why no server may get a request.

    Once the evacuation ends, servers in the allowed regions may get it.
    """
    if Obstacle.EVACUATED in excluded:
        return Obstacle.EVACUATED
    return next(iter(excluded))


class Eligibility:
    """Applies the decision to the current routes and evacuations.

    Parameters
    ----------
    links : ServerLinks
        Links to the servers, which know their state.
    view : View
        Routes in force, and evacuated zones.
    zones : mapping
        Region of each availability zone.
    evacuate_ms : int
        Time after the store acknowledged an evacuation from which nothing may
        be sent there.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        links: _links.ServerLinks,
        view: catalog.View,
        zones: Mapping[base.ZoneName, base.RegionName],
        evacuate_ms: int,
        clock: base.Clock,
    ) -> None:
        self._links = links
        self._view = view
        self._clock = clock
        self._memory_ms = evacuate_ms
        self._since: dict[base.ZoneName, int] = {}
        self._ended_at: dict[base.ZoneName, int] = {}
        self._conditions = Conditions(
            zones=zones,
            evacuated_since={},
            owner_grace_ms=max(0, evacuate_ms - OWNER_MARGIN_MS),
        )
        self._table: catalog.RoutingTable | None = None
        self._regions: dict[str, frozenset[base.RegionName] | None] = {}
        self._waiter = _view_waiter.ViewWaiter(view=view)
        self._update(None)
        view.changes.subscribe(self._update)

    @property
    def evacuated_since(self) -> Mapping[base.ZoneName, int]:
        """Time at which this instance heard of each evacuation in force."""
        return self._conditions.evacuated_since

    def has_grace(self, zone: base.ZoneName) -> bool:
        """Return whether owners of keys in an evacuated zone get requests."""
        return _is_in_grace(zone, self._clock.now(), self._conditions)

    def _update(self, _: None) -> None:
        """Record new routes, and the time of a change of evacuations."""
        if self._view.table is not self._table:
            self._table = self._view.table
            self._regions = self._index_regions()
        zones = self._view.evacuated_zones
        if zones != self.evacuated_since.keys():
            self._record_zones(zones)

    def _index_regions(
        self,
    ) -> dict[str, frozenset[base.RegionName] | None]:
        """Return the allowed regions by route.

        Routes whose name is used twice are left out, since a name does not
        tell them apart.
        """
        routes = self._table.routes if self._table is not None else ()
        uses = collections.Counter(route.name for route in routes)
        return {
            route.name: frozenset(route.allowed_regions) or None
            for route in routes
            if uses[route.name] == 1
        }

    def _record_zones(self, zones: frozenset[base.ZoneName]) -> None:
        """Record evacuations that have begun or ended.

        One that is heard of again shortly after its end has the time at which
        it began: an instance may follow two sources one after the other of
        which one is late, and the bound counts from the first.
        """
        now = self._clock.now()
        for zone in self.evacuated_since.keys() - zones:
            self._ended_at[zone] = now
        for zone, ended_at in list(self._ended_at.items()):
            if now - ended_at >= self._memory_ms:
                del self._ended_at[zone], self._since[zone]
        for zone in zones:
            self._since.setdefault(zone, now)
            self._ended_at.pop(zone, None)
        self._conditions = dataclasses.replace(
            self._conditions,
            evacuated_since={zone: self._since[zone] for zone in zones},
        )

    def get_regions(self, job: jobs.Job) -> frozenset[base.RegionName] | None:
        """Return the regions that a request's route allows; None for all.

        The list in force counts, since a request may have waited for longer
        than a change may take. To one that another instance has forwarded,
        that instance's list applies, too, which may be newer.
        """
        route = job.route
        sent = frozenset(route.allowed_regions) or None
        current = self._regions.get(route.name, sent)
        if not job.is_forwarded or sent is None:
            return current
        return sent if current is None else sent & current

    def is_restricted(self, job: jobs.Job) -> bool:
        """Return whether any listed server may be ineligible."""
        return bool(self.evacuated_since) or self.get_regions(job) is not None

    def find_obstacle(
        self, link: _links.ServerLink, job: jobs.Job
    ) -> Obstacle | None:
        """Return why a server may not get a request; None if it may."""
        keyed = job.key is not None
        return find_obstacle(
            link.entry,
            regions=self.get_regions(job),
            keyed=keyed,
            accepts_work=self._links.accepts_work(link, keyed=keyed),
            now=self._clock.now(),
            conditions=self._conditions,
        )

    async def wait(
        self, job: jobs.Job, link: _links.ServerLink, *, wait_ms: int
    ) -> None:
        """Wait for a time, or until a server may no longer get a request."""
        ends_at = self._clock.now() + wait_ms
        while (left_ms := ends_at - self._clock.now()) > 0:
            if self.find_obstacle(link, job) is not None:
                return
            await self._waiter.wait(timeout_ms=left_ms)

    def list_ready(
        self, job: jobs.Job
    ) -> tuple[list[_links.ServerLink], dict[Obstacle, int]]:
        """Return the ready servers that may get a request without a key.

        Returns
        -------
        tuple of list and dict
            Links to the servers, and the number of other ready servers by
            obstacle.
        """
        ready = self._links.list_ready(job.service.name)
        if not self.is_restricted(job):
            return ready, {}
        return self._divide(ready, self.get_regions(job))

    def count_ready(
        self, route: catalog.Route, service: base.ServiceName
    ) -> tuple[int, dict[Obstacle, int]]:
        """Return how many ready servers may get a route's requests.

        Returns
        -------
        tuple of int and dict
            Number of these servers, and of the others by obstacle.
        """
        eligible, excluded = self._divide(
            self._links.list_ready(service),
            frozenset(route.allowed_regions) or None,
        )
        return len(eligible), excluded

    def _divide(
        self,
        ready: list[_links.ServerLink],
        regions: frozenset[base.RegionName] | None,
    ) -> tuple[list[_links.ServerLink], dict[Obstacle, int]]:
        """Return the eligible ones of ready servers, and count the others."""
        now = self._clock.now()
        eligible = []
        excluded: dict[Obstacle, int] = {}
        for link in ready:
            obstacle = find_obstacle(
                link.entry,
                regions=regions,
                keyed=False,
                accepts_work=True,
                now=now,
                conditions=self._conditions,
            )
            if obstacle is None:
                eligible.append(link)
            else:
                excluded[obstacle] = excluded.get(obstacle, 0) + 1
        return eligible, excluded

    def select(
        self, servers: Collection[limits.Incarnation], job: jobs.Job
    ) -> Collection[limits.Incarnation]:
        """Return the servers that may get a request."""
        if not self.is_restricted(job):
            return servers
        links = [self._links.find(server) for server, _ in servers]
        return tuple(
            link.incarnation
            for link in links
            if link is not None
            and link.incarnation in servers
            and self.find_obstacle(link, job) is None
        )

    def compute_retry_after_ms(
        self, obstacle: Obstacle, links: Sequence[_links.ServerLink]
    ) -> int:
        """Return the delay before a retry if no server is eligible.

        Nobody knows when a route's regions have servers again; of an
        evacuation, the time that is left is estimated by its age.
        """
        since = [
            self.evacuated_since[link.entry.zone]
            for link in links
            if link.entry.zone in self.evacuated_since
        ]
        if obstacle is not Obstacle.EVACUATED or not since:
            return _admission.MAX_OUTAGE_DELAY_MS
        return _admission.compute_outage_delay_ms(
            self._clock.now() - min(since)
        )
