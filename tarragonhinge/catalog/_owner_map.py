"""Which backend server holds which keys of a service."""

import bisect
from collections.abc import Iterable
import enum

import msgspec

from tarragonhinge import base

#: Keys are numbers below this bound.
KEY_COUNT = 65_536


class SegmentState(enum.Enum):
    """Whether requests for a segment may be sent to its server."""

    HELD = "held"
    MOVING = "moving"


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """Adjacent keys with one holder.

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
    state : SegmentState
        Whether requests may be sent.
    """

    first: int
    last: int
    server: base.ServerId
    born_ms: int
    fence: int
    state: SegmentState = SegmentState.HELD

    def cut(self, first: int, last: int) -> "Segment | None":
        """Return the part of this segment within a range, if any."""
        low, high = max(self.first, first), min(self.last, last)
        if low > high:
            return None
        return msgspec.structs.replace(self, first=low, last=high)


class OwnerMap:
    """Segments of one service, in order and without overlap.

    Parameters
    ----------
    segments : iterable of Segment
        Segments without overlap, in any order.
    """

    def __init__(self, *, segments: Iterable[Segment] = ()) -> None:
        self.segments = tuple(sorted(segments, key=lambda s: s.first))
        self._starts = [segment.first for segment in self.segments]

    def find(self, key: int) -> Segment | None:
        """Return the segment that holds a key, or None."""
        index = bisect.bisect_right(self._starts, key) - 1
        if index < 0 or self.segments[index].last < key:
            return None
        return self.segments[index]

    def replace(self, segments: Iterable[Segment]) -> "OwnerMap":
        """Return a map in which `segments` cover what they overlap."""
        kept = list(self.segments)
        for new in segments:
            rest = []
            for old in kept:
                if old.last < new.first or old.first > new.last:
                    rest.append(old)
                    continue
                rest.extend(
                    part
                    for part in (
                        old.cut(old.first, new.first - 1),
                        old.cut(new.last + 1, old.last),
                    )
                    if part is not None
                )
            kept = [*rest, new]
        return OwnerMap(segments=kept)
