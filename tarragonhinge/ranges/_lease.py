"""Lease of one key range, as tracked by the coordinator."""

import asyncio
import dataclasses

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.ranges import _grants

#: Factor by which a grant may last longer on a server whose clock runs slow.
CLOCK_DRIFT_FACTOR = 1.02
#: Longest time for which a grant may be in transit after its connection was
#: closed.
GRANT_TRANSIT_MS = 100


def compute_expiry(arrived_by: int, hold_ms: int) -> int:
    """Return the time by which a grant has expired on the server.

    Parameters
    ----------
    arrived_by : int
        Time by which the grant had arrived, if it did (boot time).
    hold_ms : int
        Duration of the grant.
    """
    return arrived_by + int(hold_ms * CLOCK_DRIFT_FACTOR) + GRANT_TRANSIT_MS


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Lease:
    """Lease of one key range and its state.

    Parameters
    ----------
    first, last : int
        Bounds of the key range, both inclusive.
    server : ServerId
        Lease holder.
    born_ms : int
        Start time of the holder's process, which identifies its
        incarnation.
    fence : int
        Fencing token of the grant.
    expires_at : int
        Time by which the last grant has expired on the holder (boot time).
    renew_at : int
        Time of the next renewal (boot time).
    is_moving : bool
        Whether the keys are moving. No request for them is forwarded and
        no grant is renewed during a move.
    assigned_at : int
        Time of the last change of holder (boot time).
    renewal : Task or None
        Renewal in progress.
    connection_id : ConnectionId or None
        Connection over which the holder accepted the fencing token.
    granted_ms : int
        Duration of the last grant.
    is_unanswered : bool
        Whether the last grant got no answer.
    address : Address or None
        Last known address of the holder, kept after the removal of its
        entry.
    """

    first: int
    last: int
    server: base.ServerId
    born_ms: int
    fence: int
    expires_at: int
    renew_at: int = 0
    is_moving: bool = False
    assigned_at: int = 0
    renewal: asyncio.Task | None = None
    connection_id: _grants.ConnectionId | None = None
    granted_ms: int = 0
    is_unanswered: bool = False
    address: base.Address | None = None

    def record_grant(self, *, arrived_by: int, hold_ms: int) -> None:
        """Extend the expiry for a grant that may have arrived.

        Parameters
        ----------
        arrived_by : int
            Time by which the grant arrived, if it did (boot time).
        hold_ms : int
            Duration of the grant.
        """
        self.expires_at = max(
            self.expires_at, compute_expiry(arrived_by, hold_ms)
        )

    def make_segment(self) -> catalog.Segment:
        """Return the segment by which requests for the keys are routed."""
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
