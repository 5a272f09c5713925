"""Keys that a server may hold, as the coordinator accounts for them."""

import asyncio
import dataclasses

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.ranges import _grants

#: Factor by which a server's clock may be slow, and the time that a
#: grant is on its way after its connection was closed.
CLOCK_FACTOR = 1.02
TRAVEL_MS = 100


def compute_lapse(arrived_by: int, hold_ms: int) -> int:
    """Return when a grant has surely run out."""
    return arrived_by + int(hold_ms * CLOCK_FACTOR) + TRAVEL_MS


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
    lapses_at : int
        When the holder has surely ceased to hold (boot time).
    renew_at : int
        When to renew the grant next (boot time).
    is_moving : bool
        Whether no request is to be sent and no grant renewed.
    settled_at : int
        When the holder was last changed (boot time).
    renewal : Task or None
        The renewal under way.
    connection_id : ConnectionId or None
        The connection over which the holder took the fencing token.
    granted_ms : int
        For how long the last grant was asked.
    is_unanswered : bool
        Whether the last grant got no answer.
    address : Address or None
        Where the holder listens, kept for after its entry went.
    """

    first: int
    last: int
    server: base.ServerId
    born_ms: int
    fence: int
    lapses_at: int
    renew_at: int = 0
    is_moving: bool = False
    settled_at: int = 0
    renewal: asyncio.Task | None = None
    connection_id: _grants.ConnectionId | None = None
    granted_ms: int = 0
    is_unanswered: bool = False
    address: base.Address | None = None

    def note_grant(self, *, arrived_by: int, hold_ms: int) -> None:
        """Account for a grant that arrived by a time, or not at all."""
        self.lapses_at = max(
            self.lapses_at, compute_lapse(arrived_by, hold_ms)
        )

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
