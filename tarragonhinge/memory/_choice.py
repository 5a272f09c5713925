"""Choice of the clients to close when memory is short.

Handles this pattern: many clients send large bodies at once, stop short of
their end and stay connected, or leave responses unread. What they hold is
missing for others, and no deadline ends it.
"""

from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
import math

#: Time over which a client must have moved little before it is closed. It is
#: longer than a lost segment takes to be repeated.
MIN_WINDOW_MS = 1_000

#: Time in which a client has to be able to move what it holds. A body that
#: takes longer misses the deadline of its request.
MOVE_LIMIT_MS = 10_000

#: Bound on the time by which clients are compared, so that size still counts
#: between clients that move nothing.
MAX_COMPARED_MS = 60_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holding:
    """What one client holds and moves.

    Parameters
    ----------
    client : hashable
        The client.
    held_bytes : int
        Memory that it holds.
    window_ms : float
        Time over which it was observed.
    moved_bytes : int
        Bytes that it sent and read in this time.
    awaits_client : bool
        Whether the next move is the client's: it sends a body or reads a
        response. If not, a server works for it.
    """

    client: Hashable
    held_bytes: int
    window_ms: float
    moved_bytes: int
    awaits_client: bool

    def compute_move_ms(self) -> float:
        """Return the time that moving what is held takes at this pace."""
        if self.moved_bytes <= 0:
            return math.inf
        return self.held_bytes * self.window_ms / self.moved_bytes

    def is_stalled(self) -> bool:
        """Return whether the client may be closed."""
        return (
            self.awaits_client
            and self.held_bytes > 0
            and self.window_ms >= MIN_WINDOW_MS
            and self.compute_move_ms() > MOVE_LIMIT_MS
        )


def choose_clients(
    holdings: Iterable[Holding], *, needed_bytes: int
) -> list[Holding]:
    """Return the clients to close until enough memory is free.

    Those that hold the most for the longest time at their pace go first. A
    client that keeps moving is not chosen, however much it holds.

    Examples
    --------
    >>> fast, slow = (
    ...     Holding(
    ...         client=moved,
    ...         held_bytes=8_000_000,
    ...         window_ms=2_000,
    ...         moved_bytes=moved,
    ...         awaits_client=True,
    ...     )
    ...     for moved in (4_000_000, 1_000)
    ... )
    >>> [h.client for h in choose_clients([fast, slow], needed_bytes=1)]
    [1000]
    """
    stalled = sorted(
        (holding for holding in holdings if holding.is_stalled()),
        key=lambda holding: (
            -(
                holding.held_bytes
                * min(MAX_COMPARED_MS, holding.compute_move_ms())
            )
        ),
    )
    chosen = []
    for holding in stalled:
        if needed_bytes <= 0:
            break
        chosen.append(holding)
        needed_bytes -= holding.held_bytes
    return chosen
