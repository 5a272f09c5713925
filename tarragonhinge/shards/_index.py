"""Assignments of a record, arranged by server."""

from collections.abc import Iterable
from collections.abc import Mapping

from tarragonhinge import base
from tarragonhinge.shards import _record


class OwnerIndex:
    """Who owns what, rebuilt only when the record's owners changed.

    Attributes
    ----------
    servers : dict
        Partitions of each server, with their epochs.
    owners : dict
        Owner of each partition.
    unassigned : set
        Partitions of the shard that have no owner.
    """

    def __init__(self) -> None:
        self.servers: dict[
            base.ServerId, dict[base.PartitionId, base.Epoch]
        ] = {}
        self.owners: dict[base.PartitionId, base.ServerId] = {}
        self.unassigned: set[base.PartitionId] = set()
        self._seen: Mapping | None = None
        self._listed: Iterable = ()

    def update(
        self,
        owners: Mapping[base.PartitionId, _record.Assignment],
        listed: Iterable[base.PartitionId],
    ) -> bool:
        """Take over assignments; True if anything had changed.

        Parameters
        ----------
        owners : mapping
            Assignments of the record.  Records are immutable, so the
            same object means the same content.
        listed : iterable
            Partitions that the shard holds; also compared as an object.
        """
        if owners is self._seen and listed is self._listed:
            return False
        self._seen = owners
        self._listed = listed
        self.servers = {}
        for partition, assignment in owners.items():
            held = self.servers.setdefault(assignment.server, {})
            held[partition] = assignment.epoch
        self.owners = {p: a.server for p, a in owners.items()}
        self.unassigned = {p for p in listed if p not in owners}
        return True
