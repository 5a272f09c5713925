"""Which keys are hot enough for a partition of their own."""

from collections.abc import Collection

from tarragonhinge import base
from tarragonhinge.shards import _sketch

#: Keys that the sketch counts.
CAPACITY = 256

#: Keys that may be split out of a shard at once.
MAX_SPLITS = 32

#: Part of one server's fair share of requests that makes a key hot.
HOT_SHARE = 0.25

#: Part of that below which a key is cold again.
COLD_RATIO = 0.25

#: How long a key stays cold before it is merged back.
COLD_MS = 60_000

#: Requests below which nothing is called hot.
LEAST_REQUESTS = 200

#: Period at which earlier requests lose half of their weight.
HALVING_MS = 2000


class HotKeyDetector:
    """Finds hot keys within seconds, in bounded memory.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._sketch = _sketch.SpaceSavingSketch(capacity=CAPACITY)
        self._halved_at = clock.now()
        self._cold_since: dict[int, int] = {}

    def add(self, key_hash: int) -> None:
        """Count a request."""
        self._sketch.add(key_hash)

    def decay(self) -> None:
        """Let earlier requests count less, once in a period."""
        if self._clock.now() - self._halved_at < HALVING_MS:
            return
        self._halved_at = self._clock.now()
        if self._sketch.total:
            self._sketch.halve()

    def list_hot(self, *, servers: int, split: Collection[int]) -> list[int]:
        """Return keys to split out, the hottest first.

        Parameters
        ----------
        servers : int
            Number of usable servers.
        split : collection of int
            Keys that are split out already.
        """
        if self._sketch.total < LEAST_REQUESTS or servers < 2:
            return []
        least = self._get_threshold(servers)
        hot = [
            key
            for key in self._sketch.list_keys()
            if self._sketch.get_least(key) >= least and key not in split
        ]
        return hot[: max(0, MAX_SPLITS - len(split))]

    def list_cold(self, *, servers: int, split: Collection[int]) -> list[int]:
        """Return keys out of `split` that have been cold for long."""
        now = self._clock.now()
        least = COLD_RATIO * self._get_threshold(max(1, servers))
        cold = [key for key in split if self._sketch.get_least(key) <= least]
        self._cold_since = {
            key: self._cold_since.get(key, now) for key in cold
        }
        return [key for key in cold if now - self._cold_since[key] >= COLD_MS]

    def _get_threshold(self, servers: int) -> float:
        return HOT_SHARE * self._sketch.total / servers
