"""Recognizes queues that stand at a server, and shortens them.

The load pattern: sustained overload of one server, like the owner of popular
keys, by many instances. If requests are admitted up to a multiple of their
objective, the queue grows to that length and stays there: the server completes
as many requests as with a short queue, but all of them late. A burst that ends
soon is different: its queue drains, and what was admitted is served.

A queue stands if the reported loads of `WINDOW_MS` were all long enough to
make a request late. New requests are then admitted only as far as they are
estimated to be in time; nobody is served less often, and most are in time.
"""

import collections
import enum

from tarragonhinge import base

#: Time for which a queue has to be too long; work of about 400 ms lets a burst
#: drain by several requests per slot meanwhile.
WINDOW_MS = 1_500

#: Steps into which the window is divided.
STEP_MS = 100

#: Shortest time covered by reports from which a queue counts as standing.
MIN_COVERED_MS = 1_000

#: Smallest number of reports that show it: a few of them may meet only the
#: busy moments of a server with few slots.
MIN_REPORTS = 4

#: Smallest number of waiting requests of a queue that stands, for the same
#: reason.
MIN_WAITING = 4

#: Time for which a server counts as contended after its queue stood.
CONTENDED_MS = 4_000

#: Fractions of the spare time used up by a standing queue from which the limit
#: of admission falls, and at which it has its lowest value. A sudden change
#: would let many instances fill the queue again at once.
MIN_USED, MAX_USED = 0.1, 0.3


class Contention(enum.IntEnum):
    """Whether a queue stood at a server lately.

    NONE: it did not. RECENT: it did, and the server has a free slot. BUSY: it
    did, and the last report names no free slot. The estimate between two
    reports is no evidence of one.
    """

    NONE = 0
    RECENT = 1
    BUSY = 2


class StandingQueue:
    """Shortest reported load of a server within `WINDOW_MS`.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        # A step, the smallest load reported in it, and the number of reports.
        self._steps: collections.deque[list[float]] = collections.deque()
        self._last_load = 0.0
        self._reported_at = 0
        self._contended_until = 0

    def record(self, total: float) -> None:
        """Record a reported number of running and waiting requests."""
        self._last_load = total
        self._reported_at = self._clock.now()
        step = self._clock.now() // STEP_MS
        self._drop_old(step)
        if self._steps and self._steps[-1][0] == step:
            self._steps[-1][1] = min(self._steps[-1][1], total)
            self._steps[-1][2] += 1
        else:
            self._steps.append([step, total, 1])

    def _drop_old(self, step: int) -> None:
        oldest = step - WINDOW_MS // STEP_MS
        while self._steps and self._steps[0][0] <= oldest:
            self._steps.popleft()

    def get_contention(self, slots: int) -> Contention:
        """Return whether less urgent requests wait for a free slot.

        Parameters
        ----------
        slots : int
            Number of requests that the server runs concurrently.
        """
        now = self._clock.now()
        if self.get_waiting(slots):
            self._contended_until = now + CONTENDED_MS
        if now >= self._contended_until:
            return Contention.NONE
        is_old = now - self._reported_at > WINDOW_MS
        if is_old or self._last_load < slots:
            return Contention.RECENT
        return Contention.BUSY

    def get_waiting(self, slots: int) -> float:
        """Return the requests ahead of one more, if a queue stands; else 0."""
        load = self.get_load()
        return load + 1 - slots if load >= slots + MIN_WAITING else 0.0

    def get_load(self) -> float:
        """Return the load that was always exceeded; 0 if it is unknown."""
        step = self._clock.now() // STEP_MS
        self._drop_old(step)
        if not self._steps:
            return 0.0
        if (step - self._steps[0][0]) * STEP_MS < MIN_COVERED_MS:
            return 0.0
        if sum(count for _, _, count in self._steps) < MIN_REPORTS:
            return 0.0
        return min(total for _, total, _ in self._steps)


def compute_limit_ms(
    *,
    limit_ms: float,
    standing_limit_ms: float,
    standing_wait_ms: float,
    spare_ms: float,
) -> float:
    """Return the highest expected latency at which to admit a request.

    Parameters
    ----------
    limit_ms, standing_limit_ms : float
        The same without a standing queue, and behind one that uses up the
        spare time.
    standing_wait_ms : float
        Queueing time that has lasted.
    spare_ms : float
        Queueing time with which a request is still in time.

    Examples
    --------
    >>> [
    ...     compute_limit_ms(
    ...         limit_ms=2000,
    ...         standing_limit_ms=900,
    ...         standing_wait_ms=wait_ms,
    ...         spare_ms=1000,
    ...     )
    ...     for wait_ms in (100, 200, 600)
    ... ]
    [2000, 1450.0, 900]
    """
    if standing_limit_ms >= limit_ms or standing_wait_ms <= 0:
        return limit_ms
    used = standing_wait_ms / max(1.0, spare_ms)
    if used <= MIN_USED:
        return limit_ms
    if used >= MAX_USED:
        return standing_limit_ms
    excess = (used - MIN_USED) / (MAX_USED - MIN_USED)
    return limit_ms + excess * (standing_limit_ms - limit_ms)
