"""Requests that wait at this instance for room at their servers.

They wait here, and not in a server's queue, where more urgent requests could
not pass them. The most urgent one goes first, and of equally urgent ones the
one whose caller came first. A caller that comes back after a refusal keeps its
place as far as its shorter deadline tells how long ago it came; otherwise
those who have been refused would be passed by new ones again and again.
"""

import asyncio
import bisect
from collections.abc import Iterator
import contextlib
import itertools
import math
import random

from tarragonhinge import base

#: Interval at which the first request looks for room, since the estimated
#: loads of servers decay; a random part keeps instances apart.
MIN_CHECK_INTERVAL_MS = 10
MAX_CHECK_INTERVAL_MS = 30

#: Servers that a request waits for: those of a service, or the owner of its
#: key.
LineName = tuple[base.ServiceName, base.ServerId | None]

#: Priority of a request in its line, time of its caller's first attempt, and
#: arrival number.
Place = tuple[int, float, float]


class WaitingLines:
    """Order of the requests that wait for the same servers.

    Parameters
    ----------
    rng : random.Random
        Spreads the checks.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._numbers = itertools.count()
        self._lines: dict[LineName, list[Place]] = {}

    def goes_first(
        self,
        name: LineName,
        priority: int,
        place: Place | None,
        *,
        first_at: float = math.inf,
    ) -> bool:
        """Return whether a request goes before all others of a line.

        Parameters
        ----------
        name : tuple
            Name of the line.
        priority : int
            Priority of the request's route.
        place : tuple or None
            Its place, as from `join`; None if it has not joined.
        first_at : float
            Time of its caller's first attempt.
        """
        line = self._lines.get(name)
        own = place or (priority, first_at, math.inf)
        return not line or own <= line[0]

    @contextlib.contextmanager
    def join(
        self, name: LineName, priority: int, *, first_at: float = 0.0
    ) -> Iterator[Place]:
        """Put a request in a line, and yield its place there."""
        place = (priority, first_at, next(self._numbers))
        line = self._lines.setdefault(name, [])
        bisect.insort(line, place)
        try:
            yield place
        finally:
            line.remove(place)
            if not line:
                del self._lines[name]

    async def wait(self, *, timeout_ms: float) -> None:
        """Wait until it is time to look for room again."""
        interval_ms = self._rng.uniform(
            MIN_CHECK_INTERVAL_MS, MAX_CHECK_INTERVAL_MS
        )
        # The clock has whole milliseconds: a shorter wait would not end.
        wait_ms = max(1.0, min(interval_ms, timeout_ms))
        await asyncio.sleep(wait_ms / base.MS_PER_S)
