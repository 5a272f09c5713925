"""Space-Saving sketch of the most frequent keys.

References
----------
Metwally, Agrawal and El Abbadi, "Efficient computation of frequent and
top-k elements in data streams", ICDT 2005.
"""

import heapq


class SpaceSavingSketch:
    """Approximate counts of the most frequent keys of a stream.

    A key whose frequency exceeds ``1 / capacity`` is always counted.  A
    count overestimates the true one by at most its error.

    Parameters
    ----------
    capacity : int
        Maximum number of keys that are counted.

    Examples
    --------
    >>> sketch = SpaceSavingSketch(capacity=2)
    >>> for key in [1, 1, 1, 2, 3]:
    ...     sketch.add(key)
    >>> sketch.get_min_count(1), sketch.get_min_count(3)
    (3.0, 1.0)
    """

    def __init__(self, *, capacity: int) -> None:
        self.total = 0.0
        self._capacity = capacity
        self._counts: dict[int, float] = {}
        self._errors: dict[int, float] = {}
        # One entry for each counted key.  The count of an entry may be
        # out of date, but never exceeds the current count.
        self._heap: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, key: int) -> None:
        """Count a key once."""
        self.total += 1
        count = self._counts.get(key)
        if count is not None:
            self._counts[key] = count + 1
            return
        error = 0.0
        if len(self._counts) >= self._capacity:
            error = self._evict()
        self._counts[key] = error + 1
        self._errors[key] = error
        heapq.heappush(self._heap, (error + 1, key))

    def _evict(self) -> float:
        """Remove the key with the lowest count and return that count."""
        while True:
            count, key = self._heap[0]
            present = self._counts[key]
            if present == count:
                heapq.heappop(self._heap)
                del self._counts[key]
                del self._errors[key]
                return count
            heapq.heapreplace(self._heap, (present, key))

    def get_min_count(self, key: int) -> float:
        """Return a lower bound of the number of times a key was added."""
        return self._counts.get(key, 0.0) - self._errors.get(key, 0.0)

    def list_keys(self) -> list[int]:
        """Return the counted keys, the most frequent first."""
        return sorted(self._counts, key=self.get_min_count, reverse=True)

    def halve(self) -> None:
        """Halve all counts; keys with a count of at most 1 are removed."""
        self.total /= 2
        self._counts = {k: c / 2 for k, c in self._counts.items() if c > 1}
        self._errors = {k: self._errors[k] / 2 for k in self._counts}
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)
