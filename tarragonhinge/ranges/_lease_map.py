"""Ordered collection of all leases of one service."""

from collections.abc import Iterable
import dataclasses

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.ranges import _lease


class LeaseMap:
    """Leases of one service by key range, published as an owner map.

    Parameters
    ----------
    service : ServiceName
        Service that the keys belong to.
    view : View
        View in which the owner map is published.

    Attributes
    ----------
    leases : list of Lease
        Leases in ascending order of their keys.
    """

    def __init__(
        self, *, service: base.ServiceName, view: catalog.View
    ) -> None:
        self._service = service
        self._view = view
        self.leases: list[_lease.Lease] = []

    def adopt(
        self,
        owners: catalog.OwnerMap,
        *,
        expires_at: int,
        now: int,
    ) -> None:
        """Replace all leases by the recorded segments and publish them.

        A segment names the only server that may hold its keys, also if they
        were moving. That server is granted them anew, whether the previous
        coordinator's grant has reached it or not.

        Parameters
        ----------
        owners : OwnerMap
            Recorded segments.
        expires_at : int
            Time by which the previous coordinator's grants have expired
            (boot time).
        now : int
            Current time (boot time), at which the leases are due for
            renewal.
        """
        self.leases = [
            _lease.Lease(
                first=segment.first,
                last=segment.last,
                server=segment.server,
                born_ms=segment.born_ms,
                fence=segment.fence,
                expires_at=expires_at,
                renew_at=now,
            )
            for segment in owners.segments
        ]
        self.publish()

    def add(self, lease: _lease.Lease) -> None:
        """Add a lease of keys that no other lease covers."""
        self.leases.append(lease)
        self.leases.sort(key=lambda lease: lease.first)

    def split(
        self, lease: _lease.Lease, pieces: Iterable[tuple[int, int]]
    ) -> list[_lease.Lease]:
        """Split a lease at the bounds of pieces; return the parts in order.

        Adjacent keys that no piece covers form a part of their own.
        """
        ranges, first = [], lease.first
        for piece in [*sorted(pieces), (lease.last + 1, lease.last)]:
            if first < piece[0]:
                ranges.append((first, piece[0] - 1))
            if piece[0] <= piece[1]:
                ranges.append(piece)
            first = piece[1] + 1
        parts = [
            dataclasses.replace(lease, first=first, last=last, renewal=None)
            for first, last in ranges
        ]
        self.leases.remove(lease)
        self.leases.extend(parts)
        self.leases.sort(key=lambda lease: lease.first)
        return parts

    def merge(self, left: _lease.Lease, right: _lease.Lease) -> _lease.Lease:
        """Merge two adjacent leases of the same holder."""
        merged = dataclasses.replace(
            left,
            last=right.last,
            expires_at=max(left.expires_at, right.expires_at),
            renewal=None,
        )
        self.leases.remove(left)
        self.leases.remove(right)
        self.add(merged)
        return merged

    def list_mergeable(
        self,
    ) -> list[tuple[_lease.Lease, _lease.Lease]]:
        """Return disjoint pairs of adjacent leases that can be merged.

        The two leases have the same holder and are neither moving nor
        being renewed.
        """
        pairs = []
        paired: set[int] = set()
        for left, right in zip(self.leases, self.leases[1:], strict=False):
            if left.first in paired or left.last + 1 != right.first:
                continue
            has_same_holder = (left.server, left.born_ms) == (
                right.server,
                right.born_ms,
            )
            if has_same_holder and not (
                left.is_moving
                or right.is_moving
                or left.renewal
                or right.renewal
            ):
                pairs.append((left, right))
                paired.add(right.first)
        return pairs

    def make_owner_map(self) -> catalog.OwnerMap:
        """Return the leases as an owner map."""
        return catalog.OwnerMap(
            segments=[lease.make_segment() for lease in self.leases]
        )

    def publish(self) -> None:
        """Publish the current leases in the view."""
        self._view.set_owners(self._service, self.make_owner_map())
