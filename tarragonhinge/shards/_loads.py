"""Load of each partition, as its leader sees it."""

import dataclasses
import math

from tarragonhinge import base

#: Time in which an old request loses half of its weight.
HALF_LIFE_MS = 10_000

#: Time whose requests the decayed counts stand for.
WINDOW_MS = HALF_LIFE_MS / math.log(2)

#: Load below which a partition is forgotten.
FORGOTTEN = 0.01


@dataclasses.dataclass(kw_only=True, slots=True)
class PartitionLoad:
    """Decayed counts of one partition.

    Parameters
    ----------
    requests : float
        Finished requests.
    service_ms : float
        Time that servers spent on them, at least 1 ms each.
    at : int
        When the counts were last decayed.
    """

    requests: float = 0.0
    service_ms: float = 0.0
    at: int = 0

    def decay(self, now: int) -> None:
        """Bring the counts to the present."""
        if now <= self.at:
            return
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_MS)
        self.requests *= factor
        self.service_ms *= factor
        self.at = now


class LoadCounter:
    """Requests and service time of partitions, halved each half-life.

    At most one entry is kept for each partition of the shard, and none
    for a partition without requests in the last few minutes.

    Parameters
    ----------
    clock : Clock
        This process's clock.
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
            load = self._loads[partition] = PartitionLoad(at=now)
        load.decay(now)
        load.requests += 1
        load.service_ms += max(1, service_ms)

    def collect(self) -> dict[base.PartitionId, float]:
        """Return the service time of each partition that has some."""
        now = self._clock.now()
        for partition, load in list(self._loads.items()):
            load.decay(now)
            if load.requests < FORGOTTEN:
                del self._loads[partition]
        return {p: load.service_ms for p, load in self._loads.items()}
