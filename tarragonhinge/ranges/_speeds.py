"""Measured speed of servers, from the reports of all instances."""

from tarragonhinge import base

#: Answers after which older ones count half.
MEMORY = 40

#: Answers that the mean of the service counts as.
PRIOR = 5

#: Service time before the first report.
INITIAL_MS = 250.0


class SpeedBook:
    """Mean service times by server."""

    def __init__(self) -> None:
        self._servers: dict[base.ServerId, tuple[float, float]] = {}
        self._all = (0.0, 0.0)

    def record(
        self, server: base.ServerId, *, count: int, mean_ms: float
    ) -> None:
        """Learn from a report."""
        known, mean = self._servers.get(server, (0.0, 0.0))
        self._servers[server] = _blend(known, mean, count, mean_ms)
        self._all = _blend(*self._all, count, mean_ms, memory=10 * MEMORY)

    def get_mean_ms(self) -> float:
        """Return the mean service time of the service."""
        return self._all[1] if self._all[0] else INITIAL_MS

    def get_service_ms(self, server: base.ServerId) -> float:
        """Return the likely service time of a server."""
        count, mean = self._servers.get(server, (0.0, 0.0))
        prior_ms = self.get_mean_ms()
        return (count * mean + PRIOR * prior_ms) / (count + PRIOR)


def _blend(
    known: float, mean: float, count: int, mean_ms: float, memory: int = MEMORY
) -> tuple[float, float]:
    """Return count and mean with `count` answers more."""
    kept = known * 0.5 ** (count / memory)
    total = kept + count
    return total, (kept * mean + count * mean_ms) / total
