"""Keys that a server may hold, as the coordinator accounts for them."""

import asyncio
import dataclasses

from tarragonhinge import base
from tarragonhinge import catalog

#: Factor by which a server's clock may be slow, and the time that a
#: grant is on its way after its connection was closed.
CLOCK_FACTOR = 1.02
TRAVEL_MS = 100


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Lease:
    """One range and its holder.

    Parameters
    ----------
    first, last : int
        The keys, both inclusive.
    server : ServerId
        The holder.
    born_ms : int
        Which incarnation of the holder.
    fence : int
        Fencing token of the grant.
    arrived_by : int
        When the last grant can have arrived at the latest (boot time).
    renew_at : int
        When to renew the grant next (boot time).
    is_moving : bool
        Whether no request is to be sent and no grant renewed.
    settled_at : int
        When the holder was last changed (boot time).
    renewal : Task or None
        The renewal under way.
    address : Address or None
        Where the holder listens, kept for after its entry went.
    """

    first: int
    last: int
    server: base.ServerId
    born_ms: int
    fence: int
    arrived_by: int
    renew_at: int = 0
    is_moving: bool = False
    settled_at: int = 0
    renewal: asyncio.Task | None = None
    address: base.Address | None = None

    def compute_lapse(self, hold_ms: int) -> int:
        """Return when the holder has surely ceased to hold (boot time)."""
        return self.arrived_by + int(hold_ms * CLOCK_FACTOR) + TRAVEL_MS

    def make_segment(self) -> catalog.Segment:
        """Return what requests are placed by."""
        state = catalog.SegmentState.HELD
        if self.is_moving:
            state = catalog.SegmentState.MOVING
        return catalog.Segment(
            first=self.first,
            last=self.last,
            server=self.server,
            born_ms=self.born_ms,
            fence=self.fence,
            state=state,
        )
