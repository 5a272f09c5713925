"""Which keys are requested how often, with older requests fading."""

import bisect
from collections.abc import Iterable
import math

from tarragonhinge import base
from tarragonhinge import catalog

#: Time after which a request counts half.
HALF_LIFE_MS = 2_000

#: Age of the first count below which rates are not scaled up further.
LEAST_AGE_MS = 1_000

#: Counts below this are forgotten.
LEAST_COUNT = 0.02

#: Requests a second over all keys that are assumed at least, so that
#: ranges count by their width before any load is known.
LEAST_TOTAL = 1.0

#: Part of all requests that is taken to be spread over all keys, since
#: most keys are requested too rarely to be counted.
SPREAD_PART = 0.1


class KeyLoad:
    """Requests a second by key.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._counts: dict[int, float] = {}
        self._faded_at = clock.now()
        self._begun_at: int | None = None

    def add(self, keys: Iterable[int]) -> None:
        """Count requests."""
        counts = self._counts
        if self._begun_at is None:
            self._begun_at = self._clock.now()
        for key in keys:
            counts[key] = counts.get(key, 0.0) + 1.0

    def decay(self) -> None:
        """Let older requests count less."""
        now = self._clock.now()
        factor = 0.5 ** ((now - self._faded_at) / HALF_LIFE_MS)
        self._faded_at = now
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > LEAST_COUNT
        }

    def _compute_filling(self) -> float:
        """Return the part of the memory that has filled since the start."""
        if self._begun_at is None:
            return 1.0
        age_ms = max(LEAST_AGE_MS, self._clock.now() - self._begun_at)
        return 1 - 0.5 ** (age_ms / HALF_LIFE_MS)

    def make_profile(self) -> "LoadProfile":
        """Return the rates as they are now."""
        per_s = math.log(2) / HALF_LIFE_MS * base.MS_PER_S
        per_s /= self._compute_filling()
        rates = {key: count * per_s for key, count in self._counts.items()}
        return LoadProfile(rates=rates)


class LoadProfile:
    """Requests a second by key at one moment.

    Parameters
    ----------
    rates : dict
        Requests a second of the keys that were counted.
    """

    def __init__(self, *, rates: dict[int, float]) -> None:
        self.keys = sorted(rates)
        self.total = sum(rates.values())
        counted = 1.0 - SPREAD_PART
        self.rates = [rates[key] * counted for key in self.keys]
        spread = max(LEAST_TOTAL, self.total * SPREAD_PART)
        self.floor = spread / catalog.KEY_COUNT
        self._sums = [0.0]
        for rate in self.rates:
            self._sums.append(self._sums[-1] + rate)

    def find_span(self, first: int, last: int) -> tuple[int, int]:
        """Return the positions of the counted keys within a range."""
        return (
            bisect.bisect_left(self.keys, first),
            bisect.bisect_right(self.keys, last),
        )

    def find_heaviest(self, first: int, last: int) -> int | None:
        """Return the counted key of a range that is requested most."""
        low, high = self.find_span(first, last)
        if low == high:
            return None
        return self.keys[max(range(low, high), key=self.rates.__getitem__)]

    def sum_range(self, first: int, last: int) -> float:
        """Return the requests a second for a range."""
        low, high = self.find_span(first, last)
        counted = self._sums[high] - self._sums[low]
        return counted + self.floor * (last - first + 1)
