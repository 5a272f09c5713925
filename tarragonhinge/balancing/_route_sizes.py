"""Bytes that requests of each route and their responses take on the way.

The load pattern: traffic between availability zones and between regions is
billed by the byte, and some routes carry ten times as much as others at the
same servers. A large request is worth a longer wait at a near server than a
small one.
"""

#: Size to assume before the first response, and size of the header fields of
#: a request and its response, in bytes.
INITIAL_BYTES = 2_000
HEADER_BYTES = 600

#: Weight of a new size in the mean of a route.
SIZE_WEIGHT = 0.05

#: Maximum number of routes whose sizes are kept.
MAX_TRACKED_ROUTES = 1_024


class RouteSizes:
    """Mean sizes by route, as this instance has seen them."""

    def __init__(self) -> None:
        self._routes: dict[str, tuple[int, float]] = {}

    def record(self, route: str, *, body_bytes: int) -> None:
        """Record the bodies of a request and its response, in bytes."""
        count, mean = self._routes.pop(route, (0, 0.0))
        weight = max(SIZE_WEIGHT, 1 / (count + 1))
        size = body_bytes + HEADER_BYTES
        self._routes[route] = (count + 1, mean + weight * (size - mean))
        if len(self._routes) > MAX_TRACKED_ROUTES:
            del self._routes[next(iter(self._routes))]

    def get_bytes(self, route: str) -> float:
        """Return the mean size of a route's requests with responses."""
        _, mean = self._routes.get(route, (0, float(INITIAL_BYTES)))
        return mean
