"""Load of each partition, as measured by the shard's leader."""

import dataclasses
import math

from tarragonhinge import base

#: Half-life of a request's weight.
HALF_LIFE_MS = 10_000

#: Time constant of the decay; a decayed count divided by it is a rate.
DECAY_TIME_CONSTANT_MS = HALF_LIFE_MS / math.log(2)

#: Decayed number of requests below which a partition is dropped.
MIN_TRACKED_REQUESTS = 0.01


@dataclasses.dataclass(kw_only=True, slots=True)
class PartitionLoad:
    """Exponentially decayed load of one partition.

    Parameters
    ----------
    requests : float
        Decayed number of finished requests.
    service_ms : float
        Decayed service time of these requests, at least 1 ms each.
    updated_at : int
        Instant up to which the decay has been applied.
    """

    requests: float = 0.0
    service_ms: float = 0.0
    updated_at: int = 0

    def decay(self, now: int) -> None:
        """Apply the decay up to `now`."""
        if now <= self.updated_at:
            return
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_MS)
        self.requests *= factor
        self.service_ms *= factor
        self.updated_at = now


class LoadCounter:
    """Exponentially decayed requests and service time of partitions.

    There is at most one entry for each partition, and none for a
    partition without requests in the last few minutes.

    Parameters
    ----------
    clock : Clock
        Clock of this process.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._loads: dict[base.PartitionId, PartitionLoad] = {}

    def __len__(self) -> int:
        return len(self._loads)

    def add(self, partition: base.PartitionId, service_ms: int) -> None:
        """Count a finished request."""
        now = self._clock.now()
        load = self._loads.get(partition)
        if load is None:
            load = self._loads[partition] = PartitionLoad(updated_at=now)
        load.decay(now)
        load.requests += 1
        load.service_ms += max(1, service_ms)

    def collect(self) -> dict[base.PartitionId, float]:
        """Return the decayed service time of each loaded partition.

        Partitions with a negligible load are dropped.
        """
        now = self._clock.now()
        for partition, load in list(self._loads.items()):
            load.decay(now)
            if load.requests < MIN_TRACKED_REQUESTS:
                del self._loads[partition]
        return {p: load.service_ms for p, load in self._loads.items()}
