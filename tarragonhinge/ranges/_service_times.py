"""Service times of servers, estimated from the instances' reports."""

from tarragonhinge import base

#: Half-life of a response's weight, as a number of later responses.
HALF_LIFE_ANSWERS = 40

#: Weight of the service's mean in a server's estimate, as a number of
#: responses.
PRIOR_ANSWERS = 5

#: Service time assumed before the first report.
INITIAL_SERVICE_MS = 250.0


class ServiceTimes:
    """Mean service times by server."""

    def __init__(self) -> None:
        self._servers: dict[base.ServerId, tuple[float, float]] = {}
        self._all = (0.0, 0.0)

    def record(
        self, server: base.ServerId, *, count: int, mean_ms: float
    ) -> None:
        """Add the mean of `count` responses to the estimates."""
        previous_count, mean = self._servers.get(server, (0.0, 0.0))
        self._servers[server] = _blend(previous_count, mean, count, mean_ms)
        self._all = _blend(
            *self._all, count, mean_ms, half_life=10 * HALF_LIFE_ANSWERS
        )

    def get_mean_ms(self) -> float:
        """Return the mean service time over all servers."""
        return self._all[1] if self._all[0] else INITIAL_SERVICE_MS

    def get_service_ms(self, server: base.ServerId) -> float:
        """Return a server's service time, shrunk towards the mean."""
        count, mean = self._servers.get(server, (0.0, 0.0))
        prior_ms = self.get_mean_ms()
        return (count * mean + PRIOR_ANSWERS * prior_ms) / (
            count + PRIOR_ANSWERS
        )


def _blend(
    previous_count: float,
    mean: float,
    count: int,
    mean_ms: float,
    half_life: int = HALF_LIFE_ANSWERS,
) -> tuple[float, float]:
    """Return the decayed count and mean after `count` more responses."""
    decayed = previous_count * 0.5 ** (count / half_life)
    total = decayed + count
    return total, (decayed * mean + count * mean_ms) / total
