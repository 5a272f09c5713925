"""Error ratio of a server, and which servers to avoid."""

from collections.abc import Mapping

from tarragonhinge import base

#: Weight of a new request in the moving average of the error ratio.
ERROR_RATIO_WEIGHT = 0.2

#: Half-life of an error ratio while no requests are sent.
ERROR_RATIO_HALF_LIFE_MS = 2000

#: Error ratio from which a server is avoided.
AVOIDED_ERROR_RATIO = 0.5

#: Maximum fraction of the total weight of servers that may be avoided.
MAX_AVOIDED_WEIGHT_FRACTION = 0.5


class ServerHealth:
    """Ratio of failed requests at a server, as seen by one instance.

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
        """Return the error ratio, which decays without new requests.

        The decay lets an avoided server be tried again.
        """
        age_ms = self._clock.now() - self._recorded_at
        return self._ratio * 0.5 ** (age_ms / ERROR_RATIO_HALF_LIFE_MS)

    def record(self, *, failed: bool) -> None:
        """Record the result of a request."""
        ratio = self.compute_error_ratio()
        self._ratio = ratio + ERROR_RATIO_WEIGHT * (failed - ratio)
        self._recorded_at = self._clock.now()


def list_avoided(
    ratios: Mapping[str, float], weights: Mapping[str, float]
) -> set[str]:
    """Return the servers to avoid because of their error ratio.

    Servers with the highest error ratios are avoided first.  The avoided
    servers have at most `MAX_AVOIDED_WEIGHT_FRACTION` of the total weight,
    since the other servers have to run their requests.

    Parameters
    ----------
    ratios : mapping
        Error ratio of each server.
    weights : mapping
        Weight of each server.

    Examples
    --------
    >>> sorted(list_avoided({"s0": 0.9, "s1": 0.8, "s2": 0.0},
    ...                     {"s0": 1.0, "s1": 1.0, "s2": 1.0}))
    ['s0']
    """
    avoidable_weight = MAX_AVOIDED_WEIGHT_FRACTION * sum(weights.values())
    avoided = set()
    for name in sorted(ratios, key=lambda name: (-ratios[name], name)):
        avoidable_weight -= weights[name]
        if ratios[name] < AVOIDED_ERROR_RATIO or avoidable_weight < 0:
            break
        avoided.add(name)
    return avoided
