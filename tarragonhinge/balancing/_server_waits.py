"""Times for which servers want no requests from this instance."""

from tarragonhinge import base
from tarragonhinge import limits

#: Largest number of servers whose waits are remembered.
MAX_SERVERS = 4_096


class ServerWaits:
    """Keeps the waits that servers have asked for.

    A wait ends with its time or with the server's process. It outlasts the
    link to the server, whose entry may be missing for a moment.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._ends_at: dict[limits.Incarnation, int] = {}

    def record(self, incarnation: limits.Incarnation, wait_ms: int) -> None:
        """Record that a server wants no requests for some time."""
        now = self._clock.now()
        ends_at = max(now + wait_ms, self._ends_at.get(incarnation, 0))
        if len(self._ends_at) >= MAX_SERVERS:
            self._ends_at = {
                other: at for other, at in self._ends_at.items() if at > now
            }
        if len(self._ends_at) >= MAX_SERVERS:
            del self._ends_at[next(iter(self._ends_at))]
        self._ends_at[incarnation] = ends_at

    def get_ms(self, incarnation: limits.Incarnation) -> int:
        """Return the time left for which a server wants no requests."""
        return max(0, self._ends_at.get(incarnation, 0) - self._clock.now())
