"""Index of a record's assignments by server."""

from collections.abc import Iterable
from collections.abc import Mapping

from tarragonhinge import base
from tarragonhinge.shards import _record


class OwnerIndex:
    """Index of partition owners, rebuilt only when the owners change.

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
        self._indexed_owners: Mapping | None = None
        self._partitions: Iterable = ()

    def update(
        self,
        owners: Mapping[base.PartitionId, _record.Assignment],
        partitions: Iterable[base.PartitionId],
    ) -> bool:
        """Rebuild the index if the assignments have changed.

        Both arguments are compared by identity: records are immutable,
        so the same object has the same content.

        Parameters
        ----------
        owners : mapping
            Assignments of the record.
        partitions : iterable
            All partitions of the shard.

        Returns
        -------
        bool
            True if the index was rebuilt.
        """
        if owners is self._indexed_owners and partitions is self._partitions:
            return False
        self._indexed_owners = owners
        self._partitions = partitions
        self.servers = {}
        for partition, assignment in owners.items():
            owned = self.servers.setdefault(assignment.server, {})
            owned[partition] = assignment.epoch
        self.owners = {p: a.server for p, a in owners.items()}
        self.unassigned = {p for p in partitions if p not in owners}
        return True
