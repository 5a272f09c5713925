"""Adaptive limit of the requests in flight at a server that has just come up.

The load pattern: a server starts, recovers, is reached again or returns with
its zone, while requests for it wait at many instances. Its estimates are of
no use then: it may be slower than the service's mean, or fail again. Each
instance sees a few of its responses only, but each response states how many
requests the server has from all of them. The limit therefore follows that
total, and time while responses are good, and not the number of responses.

The decision does no I/O; times are passed to it.
"""

import math

from tarragonhinge import jobs

#: Number of requests that may be in flight at first, as a fraction of the
#: server's slots.
START_FRACTION = 1 / 3

#: Time in which the limit doubles while responses are good. From a third of
#: the slots, a server gets its full share within 0.8 s.
DOUBLING_MS = 250

#: Time for which a good response lets the limit grow. Without responses it
#: stays as it is.
EVIDENCE_MS = 500

#: Factor by which the limit may exceed a total that the server copes with.
TOTAL_HEADROOM_FACTOR = 1.25

#: Latency that requests may have at the server, as a multiple of their work
#: at usual speed. The lowest objective of the callers is 3 times their work,
#: of which a part is left for the network.
LATENCY_FACTOR = 2.5

#: Factor applied to the limit after a failure.
FAILURE_FACTOR = 0.5

#: Longest time for which an instance leaves the first requests to others, so
#: that those of a large fleet do not arrive together. A server carries its
#: share 2 s after it could.
MAX_TRIAL_DELAY_MS = 1_200

#: Time after a failure for which reports let the limit not grow. Those that
#: other instances have sent before it arrive meanwhile.
FAILURE_HOLD_MS = 300

#: Time without a failure after which the server needs no limit.
PACED_MS = 5_000

#: Weight of a new latency in the slowness of the server, which has to follow
#: changes within a few responses.
SLOWNESS_WEIGHT = 0.4

#: Time for which the slowness that a load report states is believed, unless
#: a newer one arrives. A server at its first pace responds that seldom.
WORK_VALID_MS = 1_500

#: Whether servers are paced. A trial without the limit sets it to False in a
#: copy.
IS_ENABLED = True


class ServerPace:
    """Limit of the requests of all instances at one server.

    Parameters
    ----------
    slots : int
        Number of requests that the server runs concurrently.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = max(1, slots)
        self._paced_until = -1
        self._limit = math.inf
        self._trial_at = 0.0
        self._updated_at = 0
        self._good_until = 0
        self._held_until = 0
        self._is_proved = False
        self._slowness = 1.0
        self._count = 0
        self._work = 1.0
        self._work_until = 0

    def is_active(self, now: int) -> bool:
        """Return whether the server may have a limit."""
        return now < self._paced_until

    def restart(self, now: int, *, trial_delay_ms: float = 0.0) -> None:
        """Begin again, since the server has come up or is reached again.

        Parameters
        ----------
        now : int
            Present time.
        trial_delay_ms : float
            Time for which the first requests are left to other instances,
            whose number at the server is not known before a report.
        """
        if not IS_ENABLED:
            return
        self._paced_until = now + PACED_MS
        self._trial_at = now + min(trial_delay_ms, MAX_TRIAL_DELAY_MS)
        self._limit = max(1.0, START_FRACTION * self._slots)
        self._updated_at = now
        self._good_until = now
        self._is_proved = False
        self._slowness = 1.0
        self._count = 0
        self._work_until = now

    def compute_trial_delay_ms(
        self, mean_ms: float, *, instances: int, draw: float
    ) -> float:
        """Return for how long an instance leaves first requests to others.

        All of them together then send as many in the time of one request as
        the server may have at first.

        Parameters
        ----------
        mean_ms : float
            Mean latency over all servers.
        instances : int
            Number of instances.
        draw : float
            Random number from 0 to 1.
        """
        at_first = max(1.0, START_FRACTION * self._slots)
        spread_ms = mean_ms * max(0.0, instances - at_first) / at_first
        return draw * min(MAX_TRIAL_DELAY_MS, spread_ms)

    def get_trial_wait_ms(self, now: int) -> float:
        """Return the time until this instance may send its first request."""
        if not self.is_active(now):
            return 0.0
        return max(0.0, self._trial_at - now)

    def get_limit(self, now: int) -> float:
        """Return how many requests may be in flight at the server.

        The limit is at least one, since nothing is learned otherwise, and
        infinite for a server that has proved itself.
        """
        if not self.is_active(now) or self._is_proved:
            return math.inf
        self._grow(now)
        return max(1.0, min(self._limit, self._compute_ceiling(now)))

    def record_response(
        self,
        now: int,
        *,
        latency_ms: float,
        mean_ms: float,
        load: jobs.ReportedLoad | None,
    ) -> None:
        """Record a response to a request of this instance.

        Parameters
        ----------
        now : int
            Time of the response.
        latency_ms : float
            Time to the response, without the network round trip.
        mean_ms : float
            Mean latency of such requests over all servers.
        load : ReportedLoad or None
            Load reported in the response.
        """
        if not self.is_active(now):
            return
        queued = 0.0
        if load is not None:
            self._slots = max(1, load.slots)
            queued = load.waiting / self._slots
        # A request that has waited for others is not a sign of a slow server.
        slowness = latency_ms / (mean_ms * (1 + queued))
        self._count += 1
        weight = max(SLOWNESS_WEIGHT, 1 / self._count)
        self._slowness += weight * (slowness - self._slowness)
        total = load.running + load.waiting if load is not None else 0
        work_percent = load.work_percent if load is not None else 100
        self.record_report(now, total=total, work_percent=work_percent)

    def record_report(
        self, now: int, *, total: int, work_percent: int = 100
    ) -> None:
        """Record the load that a response to any instance has stated.

        Parameters
        ----------
        now : int
            Time of the report.
        total : int
            Requests that run and wait at the server.
        work_percent : int
            Duration of work on its machine; 100 is the usual one.
        """
        if not self.is_active(now):
            return
        self._grow(now)
        self._trial_at = now
        self._work = max(1.0, work_percent / 100)
        self._work_until = now + WORK_VALID_MS
        ceiling = self._compute_ceiling(now)
        if total > ceiling:
            self._limit = min(self._limit, ceiling)
            self._good_until = now
            return
        if now < self._held_until:
            return
        self._good_until = now + EVIDENCE_MS
        self._limit = max(self._limit, TOTAL_HEADROOM_FACTOR * total + 1)
        if min(self._limit, ceiling) >= LATENCY_FACTOR * self._slots:
            self._is_proved = True

    def record_failure(self, now: int, *, total: float) -> None:
        """Record a refusal, a reset or a time without a response.

        Parameters
        ----------
        now : int
            Time of the failure.
        total : float
            Estimated number of requests at the server.
        """
        if not self.is_active(now):
            return
        self._grow(now)
        limit = min(self._limit, max(total, 1.0))
        self._limit = max(1.0, FAILURE_FACTOR * limit)
        self._good_until = now
        self._held_until = now + FAILURE_HOLD_MS
        self._is_proved = False
        self._paced_until = now + PACED_MS

    def _grow(self, now: int) -> None:
        """Apply the time for which responses have been good."""
        good_ms = min(now, self._good_until) - self._updated_at
        if good_ms > 0:
            # The bound keeps the limit finite, so that a failure halves it.
            most = 2 * LATENCY_FACTOR * self._slots
            self._limit = max(
                self._limit,
                min(most, self._limit * 2 ** (good_ms / DOUBLING_MS)),
            )
        self._updated_at = max(now, self._updated_at)

    def _compute_ceiling(self, now: int) -> float:
        """Return the number of requests that end within their objective."""
        slowness = max(1.0, self._slowness)
        if now < self._work_until:
            slowness = max(slowness, self._work)
        return max(1.0, LATENCY_FACTOR * self._slots / slowness)
