"""Number of requests in flight, by partition and by key."""

from tarragonhinge import base


class InFlightCounter:
    """Counts requests in flight.

    Memory is proportional to the number of requests in flight.
    """

    def __init__(self) -> None:
        self.total = 0
        self._partitions: dict[base.PartitionId, int] = {}
        self._keys: dict[int, int] = {}

    def enter(self, partition: base.PartitionId, key_hash: int) -> None:
        """Count a dispatched request."""
        self.total += 1
        self._partitions[partition] = self._partitions.get(partition, 0) + 1
        self._keys[key_hash] = self._keys.get(key_hash, 0) + 1

    def leave(self, partition: base.PartitionId, key_hash: int) -> None:
        """Count a finished request."""
        self.total -= 1
        count = self._partitions.pop(partition) - 1
        if count:
            self._partitions[partition] = count
        count = self._keys.pop(key_hash) - 1
        if count:
            self._keys[key_hash] = count

    def count_partition(self, partition: base.PartitionId) -> int:
        """Return the number of requests in flight for a partition."""
        return self._partitions.get(partition, 0)

    def count_key(self, key_hash: int) -> int:
        """Return the number of requests in flight for a key."""
        return self._keys.get(key_hash, 0)
