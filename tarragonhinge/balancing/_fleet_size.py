"""Number of instances that share a budget."""

import collections

from tarragonhinge import base

#: Size assumed until a coordinator reports one.  It is large, so that the
#: equal share of each instance in a budget is small.
DEFAULT_FLEET_SIZE = 64

#: Time for which a reported size is kept.  It is longer than the 10 s window
#: of the retry budget, because a new coordinator reports too few instances
#: at first.
FLEET_SIZE_WINDOW_MS = 12_000


class FleetSize:
    """Largest number of instances reported recently.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        # Pairs of time and size; sizes decrease from oldest to newest.
        self._sizes: collections.deque[tuple[int, int]] = collections.deque()

    def record(self, size: int) -> None:
        """Record the number of instances reported now."""
        while self._sizes and self._sizes[-1][1] <= size:
            self._sizes.pop()
        self._sizes.append((self._clock.read_boottime(), size))

    def get(self) -> int:
        """Return the largest size reported within the window."""
        if not self._sizes:
            return DEFAULT_FLEET_SIZE
        oldest = self._clock.read_boottime() - FLEET_SIZE_WINDOW_MS
        while len(self._sizes) > 1 and self._sizes[0][0] < oldest:
            self._sizes.popleft()
        return self._sizes[0][1]
