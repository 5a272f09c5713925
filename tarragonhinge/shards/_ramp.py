"""Slow start of servers that come new or come back."""

from collections.abc import Iterable
from collections.abc import Mapping

from tarragonhinge import base

#: Time in which a new server reaches its full share.
RAMP_MS = 30_000

#: Share of its weight with which a new server starts.
RAMP_FLOOR = 0.1


class ServerRamp:
    """Lowers the weights of servers that became usable lately.

    Servers that already own partitions when the leadership begins, and
    all servers of a shard that has no owners yet, count as warm.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._since: dict[base.ServerId, int] = {}

    def mark_warm(self, names: Iterable[base.ServerId]) -> None:
        """Count servers as having had their share for long."""
        for name in names:
            self._since[name] = self._clock.now() - RAMP_MS

    def scale(
        self, weights: Mapping[base.ServerId, float]
    ) -> dict[base.ServerId, float]:
        """Return the weights in force now.

        A server that is missing from `weights` starts anew when it is
        back.
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
    return min(1.0, RAMP_FLOOR + (1 - RAMP_FLOOR) * age_ms / RAMP_MS)
