"""Request rate by key, estimated from exponentially decayed counts."""

import bisect
from collections.abc import Iterable
import math

from tarragonhinge import base
from tarragonhinge import catalog

#: Half-life of a request's weight in the counts.
HALF_LIFE_MS = 2_000

#: Lower bound of the counting time from which rates are extrapolated.
MIN_COUNTED_AGE_MS = 1_000

#: Decayed count, in requests, up to which a key is no longer tracked.
MIN_TRACKED_COUNT = 0.02

#: Lower bound of the rate that is attributed evenly to all keys, so that
#: ranges are compared by their width before any requests are counted.
MIN_TOTAL_REQUESTS_PER_S = 1.0

#: Fraction of all requests that is attributed evenly to all keys, since
#: most keys are requested too rarely to be counted.
UNIFORM_LOAD_FRACTION = 0.1


class KeyLoad:
    """Decayed request counts by key.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._counts: dict[int, float] = {}
        self._decayed_at = clock.now()
        self._first_counted_at: int | None = None

    def add(self, keys: Iterable[int]) -> None:
        """Count one request for each of the keys."""
        counts = self._counts
        if self._first_counted_at is None:
            self._first_counted_at = self._clock.now()
        for key in keys:
            counts[key] = counts.get(key, 0.0) + 1.0

    def decay(self) -> None:
        """Decay the counts by the time since the last call."""
        now = self._clock.now()
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_MS)
        self._decayed_at = now
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > MIN_TRACKED_COUNT
        }

    def _compute_window_fraction(self) -> float:
        """Return the ratio of a count to its steady state at constant load.

        Decayed counts approach their steady state only after several
        half-lives; a count divided by this ratio is corrected for that.
        """
        if self._first_counted_at is None:
            return 1.0
        age_ms = max(
            MIN_COUNTED_AGE_MS, self._clock.now() - self._first_counted_at
        )
        return 1 - 0.5 ** (age_ms / HALF_LIFE_MS)

    def make_profile(self) -> "LoadProfile":
        """Return a snapshot of the current request rates."""
        rate_per_count = math.log(2) / HALF_LIFE_MS * base.MS_PER_S
        rate_per_count /= self._compute_window_fraction()
        rates = {
            key: count * rate_per_count for key, count in self._counts.items()
        }
        return LoadProfile(rates=rates)


class LoadProfile:
    """Snapshot of the requests per second by key.

    Parameters
    ----------
    rates : dict
        Requests per second of the counted keys.

    Attributes
    ----------
    keys : list of int
        Counted keys in ascending order.
    rates : list of float
        Requests per second of each key in `keys`, without the fraction
        that is attributed evenly to all keys.
    uniform_rate : float
        Requests per second attributed to every key.
    total : float
        Requests per second of all counted keys.
    """

    def __init__(self, *, rates: dict[int, float]) -> None:
        self.keys = sorted(rates)
        self.total = sum(rates.values())
        counted = 1.0 - UNIFORM_LOAD_FRACTION
        self.rates = [rates[key] * counted for key in self.keys]
        uniform_total = max(
            MIN_TOTAL_REQUESTS_PER_S, self.total * UNIFORM_LOAD_FRACTION
        )
        self.uniform_rate = uniform_total / catalog.KEY_COUNT
        self._sums = [0.0]
        for rate in self.rates:
            self._sums.append(self._sums[-1] + rate)

    def find_key_indices(self, first: int, last: int) -> tuple[int, int]:
        """Return the bounds of a key range as indices into `keys`.

        Returns
        -------
        tuple of int
            First index, and the index after the last.
        """
        return (
            bisect.bisect_left(self.keys, first),
            bisect.bisect_right(self.keys, last),
        )

    def find_hottest_key(self, first: int, last: int) -> int | None:
        """Return the counted key of a range with the highest rate, if any."""
        low, high = self.find_key_indices(first, last)
        if low == high:
            return None
        return self.keys[max(range(low, high), key=self.rates.__getitem__)]

    def sum_range(self, first: int, last: int) -> float:
        """Return the requests per second for a range."""
        low, high = self.find_key_indices(first, last)
        counted = self._sums[high] - self._sums[low]
        return counted + self.uniform_rate * (last - first + 1)
