"""Map from the keys of a service to the servers that own them."""

import bisect
from collections.abc import Iterable
import enum

import msgspec

from tarragonhinge import base

#: Number of keys of a service; keys are integers from 0 up to this bound,
#: exclusive.
KEY_COUNT = 65_536


class SegmentState(enum.Enum):
    """Whether requests for a segment may be sent to its owner.

    HELD: they may. MOVING: they may not, since the segment is being handed
    over to another server.
    """

    HELD = "held"
    MOVING = "moving"


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """Range of adjacent keys with the same owner.

    Parameters
    ----------
    first, last : int
        First and last key, both inclusive.
    server : ServerId
        Owner of the keys.
    born_ms : int
        Wall-clock time of the owner's start in milliseconds, which
        identifies its incarnation.
    fence : int
        Fencing token of the owner's grant.
    state : SegmentState
        Whether requests may be sent to the owner.
    """

    first: int
    last: int
    server: base.ServerId
    born_ms: int
    fence: int
    state: SegmentState = SegmentState.HELD

    def clip(self, first: int, last: int) -> "Segment | None":
        """Return the part of this segment within a key range, or None."""
        low, high = max(self.first, first), min(self.last, last)
        if low > high:
            return None
        return msgspec.structs.replace(self, first=low, last=high)


class OwnerMap:
    """Segments of one service, ordered by key and without overlap.

    Parameters
    ----------
    segments : iterable of Segment
        Segments in any order, without overlap.
    """

    def __init__(self, *, segments: Iterable[Segment] = ()) -> None:
        self.segments = tuple(sorted(segments, key=lambda s: s.first))
        self._starts = [segment.first for segment in self.segments]

    def find(self, key: int) -> Segment | None:
        """Return the segment that contains a key, or None."""
        index = bisect.bisect_right(self._starts, key) - 1
        if index < 0 or self.segments[index].last < key:
            return None
        return self.segments[index]

    def replace(self, segments: Iterable[Segment]) -> "OwnerMap":
        """Return a map in which `segments` replace overlapping segments.

        Of a segment that overlaps in part, the other keys remain.
        """
        result = list(self.segments)
        for new in segments:
            remaining = []
            for old in result:
                if old.last < new.first or old.first > new.last:
                    remaining.append(old)
                    continue
                remaining.extend(
                    part
                    for part in (
                        old.clip(old.first, new.first - 1),
                        old.clip(new.last + 1, old.last),
                    )
                    if part is not None
                )
            result = [*remaining, new]
        return OwnerMap(segments=result)
