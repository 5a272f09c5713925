"""What a leader sees of a server's health."""

from collections.abc import Mapping

from tarragonhinge import base

#: Weight of a new request in the error ratio.
SMOOTHING = 0.2

#: Time in which an error ratio halves while nothing is sent.
HALF_LIFE_MS = 2000

#: Error ratio from which a server is avoided.
AVOID_RATIO = 0.5

#: Largest part of the weight that may be avoided at once.
AVOID_PART = 0.5


class ServerHealth:
    """Ratio of failed requests, as the leader sees them.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._ratio = 0.0
        self._recorded_at = clock.now()

    def compute_error_ratio(self) -> float:
        """Return the ratio, which fades so that a server is tried again."""
        age_ms = self._clock.now() - self._recorded_at
        return self._ratio * 0.5 ** (age_ms / HALF_LIFE_MS)

    def record(self, *, failed: bool) -> None:
        """Learn from a finished request."""
        ratio = self.compute_error_ratio()
        self._ratio = ratio + SMOOTHING * (failed - ratio)
        self._recorded_at = self._clock.now()


def list_avoided(
    ratios: Mapping[str, float], weights: Mapping[str, float]
) -> set[str]:
    """Return the servers to avoid, the worst first.

    The rest keeps at least `AVOID_PART` of the weight, or it would
    drown in the load of those avoided.

    Examples
    --------
    >>> sorted(list_avoided({"s0": 0.9, "s1": 0.8, "s2": 0.0},
    ...                     {"s0": 1.0, "s1": 1.0, "s2": 1.0}))
    ['s0']
    """
    left = AVOID_PART * sum(weights.values())
    avoided = set()
    for name in sorted(ratios, key=lambda name: (-ratios[name], name)):
        left -= weights[name]
        if ratios[name] < AVOID_RATIO or left < 0:
            break
        avoided.add(name)
    return avoided
