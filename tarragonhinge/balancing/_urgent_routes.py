"""Bounds the queues in which urgent requests would have to wait.

The load pattern: short urgent requests and long requests of lower priority
run at the same servers, whose queues are first come, first served. Without a
bound the long ones, whose objective allows a long wait, fill the queues up to
that objective. Urgent requests then miss theirs, or are refused.

A request therefore waits at this instance, and not at a server, where its
work would leave a more urgent route less time than that route needs.
"""

import dataclasses

from tarragonhinge import base
from tarragonhinge import catalog

#: Time after a request of a route for which further ones are expected.
DEMAND_MS = 5_000

#: Maximum number of routes tracked for a service.
MAX_TRACKED_ROUTES = 256


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UrgentRoute:
    """A route whose requests go before those of another one.

    Parameters
    ----------
    name : str
        Name of the route.
    priority : int
        Its priority; 0 is the highest.
    objective_ms : int
        Its latency objective.
    """

    name: str
    priority: int
    objective_ms: int


class UrgentRoutes:
    """Routes of each service that requests arrive on.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._routes: dict[base.ServiceName, dict[UrgentRoute, int]] = {}

    def record(self, service: base.ServiceName, route: catalog.Route) -> None:
        """Record a request of a route."""
        key = UrgentRoute(
            name=route.name,
            priority=route.priority,
            objective_ms=route.objective_ms,
        )
        routes = self._routes.setdefault(service, {})
        routes.pop(key, None)
        routes[key] = self._clock.now()
        if len(routes) > MAX_TRACKED_ROUTES:
            del routes[next(iter(routes))]

    def list_above(
        self, service: base.ServiceName, priority: int
    ) -> list[UrgentRoute]:
        """Return the routes in demand that go before a priority."""
        since = self._clock.now() - DEMAND_MS
        return [
            route
            for route, recorded_at in self._routes.get(service, {}).items()
            if route.priority < priority and recorded_at >= since
        ]


def compute_wait_limit_ms(
    *,
    objective_ms: float,
    round_trip_ms: float,
    urgent_service_ms: float,
    own_service_ms: float,
    slots: int,
) -> float:
    """Return the queue that a request may join ahead of an urgent one.

    Parameters
    ----------
    objective_ms : float
        Latency objective of the urgent route.
    round_trip_ms : float
        Network round trip time to the server.
    urgent_service_ms, own_service_ms : float
        Service times of an urgent request and of the request itself.
    slots : int
        Number of requests that the server runs concurrently.

    Returns
    -------
    float
        Longest wait for a slot, in milliseconds; 0 if only a free slot may
        be taken.

    Examples
    --------
    >>> compute_wait_limit_ms(objective_ms=300, round_trip_ms=40,
    ...                       urgent_service_ms=60, own_service_ms=360,
    ...                       slots=3)
    80.0
    """
    spare_ms = objective_ms - round_trip_ms - urgent_service_ms
    return max(0.0, spare_ms - own_service_ms / slots)
