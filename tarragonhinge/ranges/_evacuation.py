"""Decides which leases have to leave their holders now.

The load pattern: an operator evacuates an availability zone, which holds a
third of the keys. All of them have to move within seconds, those with the
most requests first, while the holders still serve the others. Few moves at a
time keep the number of keys low that wait for the store, or for a successor
of the coordinator, if either fails meanwhile; but the holders may not answer,
in which case each move lasts until the grant has expired (4.2 s), so that all
moves have to start within half a second.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.ranges import _key_load
from tarragonhinge.ranges import _lease

#: Reasons that concern all servers of a zone or of a region.
BATCHED_REASONS = frozenset({"zone_evacuated", "region_not_allowed"})

#: Number of pieces into which a lease of a draining or lost server is split.
DRAIN_PIECES = 3

#: Load of an evacuated lease, as a fraction of the mean capacity of a server,
#: from which it is split. Smaller ones move as a whole, so that the record
#: does not grow with each evacuation.
WHOLE_LEASE_LOAD_RATIO = 0.25

#: Number of evacuated leases that start to move in one check, at least, and
#: as a fraction of those that are left. With checks every 100 ms, 130 leases
#: start within 500 ms and 200 within 700 ms.
MIN_BATCH = 24
BATCH_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeavingLease:
    """Lease that has to leave its holder.

    Parameters
    ----------
    lease : Lease
        The lease.
    entry : ServerEntry or None
        Entry of its holder; None if the holder is no longer listed.
    reason : str
        Reason for the log.
    """

    lease: _lease.Lease
    entry: catalog.ServerEntry | None
    reason: str

    @property
    def is_batched(self) -> bool:
        """Whether it moves together with all keys of a zone or region."""
        return self.reason in BATCHED_REASONS


def choose_batch(
    leaving: Sequence[LeavingLease], profile: _key_load.LoadProfile
) -> list[LeavingLease]:
    """Return the leases that start to move now.

    Those of draining and lost servers start at once; of those of a whole zone
    or region, the ones with the most requests come first.
    """
    batched = [item for item in leaving if item.is_batched]
    batched.sort(
        key=lambda item: profile.sum_range(item.lease.first, item.lease.last),
        reverse=True,
    )
    count = max(MIN_BATCH, math.ceil(BATCH_FRACTION * len(batched)))
    return [i for i in leaving if not i.is_batched] + batched[:count]


def count_pieces(load: float, capacities: Sequence[float]) -> int:
    """Return the number of pieces into which an evacuated lease is split.

    Parameters
    ----------
    load : float
        Requests per second for its keys.
    capacities : sequence of float
        Requests per second that each possible holder can process.
    """
    if not capacities:
        return 1
    mean = sum(capacities) / len(capacities)
    pieces = math.ceil(load / (WHOLE_LEASE_LOAD_RATIO * mean))
    return max(1, min(DRAIN_PIECES, pieces))


class Progress:
    """Logs when the keys of zones or regions begin to move, and have moved.

    Parameters
    ----------
    service : ServiceName
        Service that the keys belong to.
    view : View
        Source of the evacuated zones.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    left : int
        Number of leases that have not moved yet.
    """

    def __init__(
        self,
        *,
        service: base.ServiceName,
        view: catalog.View,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._service = service
        self._view = view
        self._log = log
        self._clock = clock
        self._began_at: int | None = None
        self._moving = 0
        self.left = 0

    def record(self, leaving: Sequence[LeavingLease]) -> None:
        """Record the leases that have to leave and do not move yet."""
        waiting = sum(item.is_batched for item in leaving)
        self.left = waiting + self._moving
        now = self._clock.now()
        if self._began_at is None and self.left:
            self._began_at = now
            self._write(0)
        elif self._began_at is not None and not self.left:
            self._write(now - self._began_at)
            self._began_at = None

    async def follow(self, move: Callable[[], Awaitable[None]]) -> None:
        """Move a lease that leaves a zone or region."""
        self._moving += 1
        try:
            await move()
        finally:
            self._moving -= 1

    def _write(self, elapsed_ms: int) -> None:
        self._log.write(
            events.KeysEvacuated(
                service=self._service,
                zones=sorted(self._view.evacuated_zones),
                left=self.left,
                elapsed_ms=elapsed_ms,
            )
        )
