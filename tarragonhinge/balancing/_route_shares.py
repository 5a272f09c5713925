"""Decides whether less urgent requests may join a standing queue.

The load pattern: a burst of less urgent requests at servers whose queues
stand, beside urgent ones with a short objective. The urgent ones are admitted
only as far as they can be in time; the others, which can wait for longer,
would take each place that is left, and be served more often.

At a server with a standing queue, a less urgent request therefore waits at the
instance. It is sent when the queue is gone, or if its route is served much
less often than all requests of the service, so that no route starves.
"""

from collections.abc import Iterable
import math

from tarragonhinge.balancing import _standing_queue
from tarragonhinge.balancing import _urgent_routes
from tarragonhinge import base

#: Fraction of the share of all requests that were sent below which a route
#: goes like an urgent one. Callers need a quarter; an instance sees only a
#: part of the requests.
FLOOR_FRACTION = 0.4

#: Smallest number of requests of a route lately that show its share.
MIN_ASKED = 3.0

#: Time constant of the counts.
MEMORY_MS = 8_000.0

#: Maximum number of routes counted for a service.
MAX_TRACKED_ROUTES = 256


_BUSY = frozenset({_standing_queue.Contention.BUSY})
_RECENT_OR_BUSY = _BUSY | {_standing_queue.Contention.RECENT}


class _Count:
    """Requests that were placed and that were sent to a server, lately."""

    __slots__ = ("asked", "counted_at", "sent")

    def __init__(self, now: int) -> None:
        self.asked = self.sent = 0.0
        self.counted_at = now

    def decay(self, now: int) -> None:
        factor = math.exp((self.counted_at - now) / MEMORY_MS)
        self.asked *= factor
        self.sent *= factor
        self.counted_at = now


class RouteShares:
    """Share of the requests of each route that were sent to a server.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._counts: dict[base.ServiceName, dict[str, _Count]] = {}

    def record(
        self, service: base.ServiceName, route: str, *, was_sent: bool
    ) -> None:
        """Count a request of a route once it is placed or refused."""
        counts = self._counts.setdefault(service, {})
        now = self._clock.now()
        count = counts.pop(route, None) or _Count(now)
        counts[route] = count
        count.decay(now)
        count.asked += 1
        count.sent += was_sent
        if len(counts) > MAX_TRACKED_ROUTES:
            del counts[next(iter(counts))]

    def get_yielding(
        self,
        service: base.ServiceName,
        route: str,
        urgent: Iterable[_urgent_routes.UrgentRoute],
    ) -> frozenset[_standing_queue.Contention]:
        """Return at which servers a route yields to more urgent ones.

        Parameters
        ----------
        service : ServiceName
            The service.
        route : str
            The route.
        urgent : iterable of UrgentRoute
            Routes in demand that are more urgent.
        """
        counts = self._counts.get(service, {})
        own = counts.get(route)
        if own is None:
            return _BUSY
        if self._is_starved(counts, own):
            return frozenset()
        for other in urgent:
            count = counts.get(other.name)
            if count and count.sent * own.asked < own.sent * count.asked:
                return _RECENT_OR_BUSY
        return _BUSY

    def _is_starved(self, counts: dict[str, _Count], own: _Count) -> bool:
        """Return whether a route is served much less often than all."""
        now = self._clock.now()
        for count in counts.values():
            count.decay(now)
        if own.asked < MIN_ASKED:
            return False
        asked = sum(count.asked for count in counts.values())
        sent = sum(count.sent for count in counts.values())
        return own.sent * asked < FLOOR_FRACTION * sent * own.asked
