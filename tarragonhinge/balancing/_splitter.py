"""Distributes a route's requests over its targets by weight."""

from collections.abc import Sequence

from tarragonhinge import base
from tarragonhinge import catalog


class TargetSplitter:
    """Smooth weighted round robin over the targets of a route.

    Each request goes to the target that is furthest behind its share, so
    that even a small number of requests is distributed by weight.
    """

    def __init__(self) -> None:
        self._targets: tuple[catalog.Target, ...] = ()
        self._credits: list[float] = []

    def pick(self, targets: Sequence[catalog.Target]) -> base.ServiceName:
        """Return the service for the next request."""
        if tuple(targets) != self._targets:
            self._targets = tuple(targets)
            self._credits = [0.0] * len(targets)
        total = sum(target.weight for target in targets)
        if total <= 0:
            return targets[0].service
        for index, target in enumerate(targets):
            self._credits[index] += target.weight / total
        best = max(range(len(targets)), key=self._credits.__getitem__)
        self._credits[best] -= 1
        return targets[best].service
