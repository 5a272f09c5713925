"""Chooses the servers that an instance uses first.

The load pattern: a fleet of many instances, each of which sees few requests
of a service. If each instance uses each server, a connection stays idle for
longer than it may be reused, and half of the requests open a new one, which
has a price. Servers also reset connections above a number for all instances.

An instance whose rate of requests per server is so low prefers a few servers:
those that rendezvous hashing ranks first for it, near ones before far ones, so
that all instances together use all servers evenly. They are enough for several
times its own load, and for fast and slow servers to average out. More servers
of the same order are used as soon as these have no free slot. An instance with
more requests uses all servers.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import math

from tarragonhinge.balancing import _links
from tarragonhinge.balancing import _placement
from tarragonhinge import base
from tarragonhinge import membership

#: Requests per second and server below which an instance prefers a subset,
#: and from which it uses all servers again. A connection may be idle for 1 s
#: before a request that is not idempotent.
COLD_RATE_PER_S = 0.33
WARM_RATE_PER_S = 0.66

#: Smallest number of servers of a subset: the mean speed of four servers
#: between half and 1.6 times the usual speed is rarely below 0.75.
MIN_SERVERS = 4

#: Fraction of the slots of a subset that the requests of its instance may
#: occupy, since other instances use the same servers.
OWN_SLOT_FRACTION = 0.2

#: Factor by which a subset grows if its servers have no free slot.
GROWTH_FACTOR = 2

#: Longest wait for a slot, as a fraction of the latency objective, for which a
#: server of the subset is preferred to one of all others.
MAX_WAIT_FRACTION = 0.1

#: Cost of the bytes of a request between zones, as a fraction of the
#: objective, from which servers of the own zone are ranked before those of the
#: region.
ZONE_COST_FRACTION = 0.2

#: Time constant of the measured rate.
RATE_MEMORY_MS = 8_000.0


class RequestRate:
    """Rate of the requests for one service at this instance.

    Parameters
    ----------
    now : int
        Present time in milliseconds.
    """

    def __init__(self, now: int) -> None:
        self._began_at = now
        self._counted_at = now
        self._count = 0.0

    def record(self, now: int) -> None:
        """Count a request."""
        self._decay(now)
        self._count += 1

    def _decay(self, now: int) -> None:
        self._count *= math.exp((self._counted_at - now) / RATE_MEMORY_MS)
        self._counted_at = now

    def get_per_s(self, now: int) -> float | None:
        """Return the requests per second; None if it is too early to tell."""
        age_ms = now - self._began_at
        if age_ms < RATE_MEMORY_MS / 2:
            return None
        self._decay(now)
        memory_ms = RATE_MEMORY_MS * (1 - math.exp(-age_ms / RATE_MEMORY_MS))
        return self._count / memory_ms * base.MS_PER_S


def compute_size(*, per_s: float, service_ms: float, slots: float) -> int:
    """Return the number of servers that an instance prefers.

    Parameters
    ----------
    per_s : float
        Requests per second for the service at this instance.
    service_ms : float
        Mean service time.
    slots : float
        Mean number of slots of a server.

    Examples
    --------
    >>> compute_size(per_s=5.5, service_ms=464, slots=6)
    4
    >>> compute_size(per_s=30, service_ms=464, slots=6)
    12
    """
    busy = per_s * service_ms / base.MS_PER_S
    return max(MIN_SERVERS, math.ceil(busy / (OWN_SLOT_FRACTION * slots)))


class NearSubsets:
    """Subsets of the servers of each service.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    used, exceeded : int
        Number of requests placed at servers of a subset, and of those for
        which these had no room.
    """

    def __init__(
        self, *, instance: base.InstanceId, clock: base.Clock
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._rates: dict[base.ServiceName, RequestRate] = {}
        self._active: set[base.ServiceName] = set()
        self._ranks: dict[base.ServiceName, tuple[frozenset, dict]] = {}
        self.used = 0
        self.exceeded = 0

    def record(self, service: base.ServiceName) -> None:
        """Count a request for a service."""
        now = self._clock.now()
        if service not in self._rates:
            self._rates[service] = RequestRate(now)
        self._rates[service].record(now)

    def list_growing(
        self,
        service: base.ServiceName,
        links: Sequence[_links.ServerLink],
        *,
        traffic_bytes: float,
        service_ms: float,
    ) -> Iterator[list[_links.ServerLink]]:
        """Yield the servers to use first, then more and more of them.

        Nothing is yielded if the instance uses all servers.

        Parameters
        ----------
        service : ServiceName
            The service.
        links : sequence of ServerLink
            Its servers that may run the request.
        traffic_bytes : float
            Expected size of the request and its response.
        service_ms : float
            Mean service time of its route.
        """
        if not links or not self._is_active(service, len(links)):
            return
        per_s = self._rates[service].get_per_s(self._clock.now()) or 0.0
        slots = sum(link.load.slots for link in links) / len(links)
        size = compute_size(per_s=per_s, service_ms=service_ms, slots=slots)
        if size >= len(links):
            return
        ranked = self._rank(service, links, traffic_bytes)
        while size < len(ranked):
            yield ranked[:size]
            size *= GROWTH_FACTOR

    def _is_active(self, service: base.ServiceName, servers: int) -> bool:
        """Return whether connections to all servers would go cold."""
        rate = self._rates.get(service)
        per_s = rate.get_per_s(self._clock.now()) if rate else None
        if per_s is None:
            return False
        limit_per_s = COLD_RATE_PER_S
        if service in self._active:
            limit_per_s = WARM_RATE_PER_S
        if per_s < limit_per_s * servers:
            self._active.add(service)
        else:
            self._active.discard(service)
        return service in self._active

    def _rank(
        self,
        service: base.ServiceName,
        links: Sequence[_links.ServerLink],
        traffic_bytes: float,
    ) -> list[_links.ServerLink]:
        names = frozenset(link.entry.server for link in links)
        known, ranks = self._ranks.get(service, (None, {}))
        if known is None or not names <= known:
            order = membership.rank_names(self._instance, names)
            ranks = {name: rank for rank, name in enumerate(order)}
            self._ranks[service] = names, ranks
        zone_first = is_zone_preferred(traffic_bytes)
        return sorted(
            links,
            key=lambda link: (
                _get_tier(link.distance, zone_first),
                ranks[link.entry.server],
            ),
        )


def is_zone_preferred(traffic_bytes: float) -> bool:
    """Return whether the own zone is ranked before the rest of the region.

    Examples
    --------
    >>> is_zone_preferred(2_000), is_zone_preferred(60_000)
    (False, True)
    """
    cost = _placement.CROSS_ZONE_COST_FRACTION * traffic_bytes
    return cost / _placement.COST_BYTES >= ZONE_COST_FRACTION


def _get_tier(distance: _placement.Distance, zone_first: bool) -> int:
    if distance is _placement.Distance.REMOTE:
        return 2
    return int(zone_first and distance is not _placement.Distance.ZONE)
