"""Slow start of servers that are new or have come back."""

from collections.abc import Iterable
from collections.abc import Mapping

from tarragonhinge import base

#: Time in which a new server reaches its full weight.
RAMP_MS = 30_000

#: Fraction of its weight with which a new server starts.
INITIAL_WEIGHT_RATIO = 0.1


class ServerRamp:
    """Lowers the weights of servers that became usable recently.

    Servers that already own partitions when the leadership begins, and
    all servers of a shard without owners, start with their full weight.

    Parameters
    ----------
    clock : Clock
        Clock of this process.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._since: dict[base.ServerId, int] = {}

    def mark_warm(self, names: Iterable[base.ServerId]) -> None:
        """Give servers their full weight without a slow start."""
        for name in names:
            self._since[name] = self._clock.now() - RAMP_MS

    def scale(
        self, weights: Mapping[base.ServerId, float]
    ) -> dict[base.ServerId, float]:
        """Return the weights, lowered for servers in their slow start.

        A server that is missing from `weights` begins a new slow start
        when it comes back.
        """
        now = self._clock.now()
        for name in list(self._since):
            if name not in weights:
                del self._since[name]
        return {
            name: weight
            * _compute_factor(now - self._since.setdefault(name, now))
            for name, weight in weights.items()
        }


def _compute_factor(age_ms: int) -> float:
    return min(
        1.0,
        INITIAL_WEIGHT_RATIO + (1 - INITIAL_WEIGHT_RATIO) * age_ms / RAMP_MS,
    )
