"""How many instances share a budget."""

import collections

from tarragonhinge import base

#: Size that is assumed until a coordinator has told one; it is large so
#: that the instances' equal parts of a budget are small.
UNKNOWN_SIZE = 64

#: Time for which a size counts.  A new coordinator knows few instances at
#: first, and the window of the budget of repeats is 10 s.
MEMORY_MS = 12_000


class FleetSize:
    """The largest number of instances that was known lately.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        # Time and size; sizes fall from the oldest to the newest.
        self._sizes: collections.deque[tuple[int, int]] = collections.deque()

    def record(self, size: int) -> None:
        """Note a size that is known now."""
        while self._sizes and self._sizes[-1][1] <= size:
            self._sizes.pop()
        self._sizes.append((self._clock.read_boot(), size))

    def get(self) -> int:
        """Return the largest size that counts still."""
        if not self._sizes:
            return UNKNOWN_SIZE
        oldest = self._clock.read_boot() - MEMORY_MS
        while len(self._sizes) > 1 and self._sizes[0][0] < oldest:
            self._sizes.popleft()
        return self._sizes[0][1]
