"""Detection of keys that are hot enough for their own partition."""

from collections.abc import Collection

from tarragonhinge import base
from tarragonhinge.shards import _sketch

#: Number of keys that the sketch counts.
SKETCH_CAPACITY = 256

#: Maximum number of split keys of a shard.
MAX_SPLITS = 32

#: Threshold of a hot key, as a fraction of the mean number of requests
#: of a server.
HOT_THRESHOLD_RATIO = 0.25

#: Threshold of a cold key, as a fraction of that of a hot key.
COLD_TO_HOT_RATIO = 0.25

#: Time for which a split key must be cold before it is merged back.
MERGE_DELAY_MS = 60_000

#: Minimum decayed number of counted requests for a key to be hot.
MIN_REQUESTS = 200

#: Period at which the weight of earlier requests is halved.
HALVING_PERIOD_MS = 2000


class HotKeyDetector:
    """Detects hot keys within seconds, in bounded memory.

    Parameters
    ----------
    clock : Clock
        Clock of this process.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._sketch = _sketch.SpaceSavingSketch(capacity=SKETCH_CAPACITY)
        self._halved_at = clock.now()
        self._cold_since: dict[int, int] = {}

    def add(self, key_hash: int) -> None:
        """Count a request."""
        self._sketch.add(key_hash)

    def decay(self) -> None:
        """Halve the weight of earlier requests, once in a period."""
        if self._clock.now() - self._halved_at < HALVING_PERIOD_MS:
            return
        self._halved_at = self._clock.now()
        if self._sketch.total:
            self._sketch.halve()

    def list_hot(self, *, servers: int, split: Collection[int]) -> list[int]:
        """Return the keys to split out, hottest first.

        Parameters
        ----------
        servers : int
            Number of usable servers.
        split : collection of int
            Keys that are already split out.
        """
        if self._sketch.total < MIN_REQUESTS or servers < 2:
            return []
        threshold = self._get_threshold(servers)
        hot = [
            key
            for key in self._sketch.list_keys()
            if self._sketch.get_min_count(key) >= threshold
            and key not in split
        ]
        return hot[: max(0, MAX_SPLITS - len(split))]

    def list_cold(self, *, servers: int, split: Collection[int]) -> list[int]:
        """Return the split keys that have been cold for long enough.

        Parameters
        ----------
        servers : int
            Number of usable servers.
        split : collection of int
            Keys that are split out.
        """
        now = self._clock.now()
        threshold = COLD_TO_HOT_RATIO * self._get_threshold(max(1, servers))
        cold = [
            key
            for key in split
            if self._sketch.get_min_count(key) <= threshold
        ]
        self._cold_since = {
            key: self._cold_since.get(key, now) for key in cold
        }
        return [
            key
            for key in cold
            if now - self._cold_since[key] >= MERGE_DELAY_MS
        ]

    def _get_threshold(self, servers: int) -> float:
        return HOT_THRESHOLD_RATIO * self._sketch.total / servers
