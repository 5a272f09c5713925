"""Estimates of a server's load and speed at one instance.

An instance sees only its own requests and what answers report of the
server's load as a whole.  Both age: between two reports the load of the
other instances returns to its mean.
"""

from collections.abc import Callable
import math

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge.gateway import _dialect

#: Service time that is assumed before the first answer.
INITIAL_SERVICE_MS = 250.0

#: Weight of one new latency in the mean.
LATENCY_WEIGHT = 0.1

#: The same for the mean of a service, which more answers make up.
SERVICE_WEIGHT = 0.025

#: Answers whose latencies a server's mean counts at most.
MEAN_ANSWERS = 20

#: Answers that the mean of the whole service counts as.
PRIOR_ANSWERS = 4

#: Requests by which a load must differ from the estimate to be told.
NEWS = 2

#: Time constant with which a report of others' requests ages.
REPORT_DECAY_MS = 500.0

#: The same for the mean of the reports: if nobody sends, nothing is there.
MEAN_DECAY_MS = 3_000.0

#: Requests at a holder of keys that are expected before it is heard of:
#: the two that run and as many that wait.
PRIOR_REQUESTS = 4.0

#: Weight of one report in the mean of others' requests.
REPORT_WEIGHT = 0.2

#: Pauses after a failed connection; each failure doubles the pause.
PAUSE_MS = 400
PAUSE_LIMIT_MS = 4_000

#: Factor of the service time of a server that has just started.
COLD_FACTOR = 2.0


class ServiceTime:
    """Mean service time of a service's servers."""

    def __init__(self) -> None:
        self.mean_ms = INITIAL_SERVICE_MS
        self.count = 0

    def record(self, latency_ms: float) -> None:
        """Learn from an answer."""
        self.count += 1
        weight = max(SERVICE_WEIGHT, 1 / self.count)
        self.mean_ms += weight * (latency_ms - self.mean_ms)


class ServerLoad:
    """What this instance knows of one server.

    Parameters
    ----------
    slots : int
        Requests that the server runs at once.
    service_time : ServiceTime
        Mean of the service.
    clock : Clock
        This process's clock.
    get_sharers : callable
        Returns how many instances send to the server alike; 1 if the
        others place their requests elsewhere.

    Attributes
    ----------
    in_flight : int
        Requests of this instance that the server has not answered.
    """

    def __init__(
        self,
        *,
        slots: int,
        service_time: ServiceTime,
        clock: base.Clock,
        get_sharers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._get_sharers = get_sharers
        self.slots = max(1, slots)
        self.in_flight = 0
        self.health = admission.ServerHealth(clock=clock)
        self._service_time = service_time
        self._clock = clock
        self._mean_ms = 0.0
        self._count = 0
        self._others = 0.0
        self._others_mean = 0.0
        self._reported_at: int | None = None
        self._full_until = 0
        self._pause_ms = 0
        self._paused_until = 0
        self._cold_until = 0
        self._unreported = (0, 0.0)
        self._unpassed: int | None = None
        self._was_busy = False

    def set_cold(self, cold_ms: int) -> None:
        """Note for how long the server is slow after its start."""
        self._cold_until = self._clock.now() + cold_ms

    def estimate_others(self) -> float:
        """Return the likely number of other instances' requests."""
        if self._reported_at is None:
            return self._guess_others()
        age_ms = self.get_report_age_ms()
        mean = self._others_mean * math.exp(-age_ms / MEAN_DECAY_MS)
        return mean + (self._others - mean) * math.exp(
            -age_ms / REPORT_DECAY_MS
        )

    def _guess_others(self) -> float:
        """Return the likely requests of others from this one's own.

        A server that has just been given keys is sent requests by all
        instances at once, before any has an answer.  The total is taken
        to be exponentially distributed, and the own requests to be an
        instance's part of it.
        """
        sharers = self._get_sharers()
        if sharers <= 1:
            return 0.0
        total = (1 + self.in_flight) / (1 / PRIOR_REQUESTS + 1 / sharers)
        return max(0.0, total - self.in_flight)

    def get_report_age_ms(self) -> int:
        """Return the age of the last report; -1 if there is none."""
        if self._reported_at is None:
            return -1
        return self._clock.now() - self._reported_at

    def estimate_service_ms(self) -> float:
        """Return the time for one request that need not wait."""
        count = min(self._count, MEAN_ANSWERS)
        prior_ms = self._service_time.mean_ms
        mean_ms = (self._mean_ms * count + prior_ms * PRIOR_ANSWERS) / (
            count + PRIOR_ANSWERS
        )
        if self._clock.now() < self._cold_until:
            mean_ms *= COLD_FACTOR
        return mean_ms

    def estimate_wait_ms(self) -> float:
        """Return how long one more request would wait for a slot."""
        total = self.in_flight + self.estimate_others()
        ahead = max(0.0, total + 1 - self.slots)
        wait_ms = ahead * self.estimate_service_ms() / self.slots
        return max(wait_ms, self._full_until - self._clock.now())

    def is_paused(self) -> bool:
        """Return whether the server is left out after failures."""
        return self._clock.now() < self._paused_until

    def get_pause_ms(self) -> int:
        """Return the length of the last pause."""
        return self._pause_ms

    def record_answer(
        self,
        *,
        latency_ms: float,
        load: _dialect.ReportedLoad | None,
        failed: bool,
    ) -> None:
        """Learn from an answer; `in_flight` no longer counts it."""
        self._pause_ms = 0
        self._paused_until = 0
        self.health.record(failed=failed)
        waiting = 0
        if load is not None:
            waiting = load.waiting
            self.slots = max(1, load.slots)
            self._note_own(load)
        if waiting == 0 and not failed:
            self._count += 1
            weight = max(LATENCY_WEIGHT, 1 / self._count)
            self._mean_ms += weight * (latency_ms - self._mean_ms)
            self._service_time.record(latency_ms)
            count, total_ms = self._unreported
            self._unreported = (count + 1, total_ms + latency_ms)

    def take_seen(self) -> int | None:
        """Return the last load of a busy server, once."""
        seen, self._unpassed = self._unpassed, None
        return seen

    def record_seen(self, total: int) -> None:
        """Learn the load that another instance has seen."""
        self._note_report(total)

    def take_latencies(self) -> tuple[int, float]:
        """Return count and mean of the latencies since the last call."""
        (count, total_ms), self._unreported = self._unreported, (0, 0.0)
        return count, total_ms / max(1, count)

    def _note_own(self, load: _dialect.ReportedLoad) -> None:
        """Learn from an answer's report; what is news to others is told.

        News is a load that differs from the estimate, which is much the
        same at all instances, and the first sight of a free slot.
        """
        total = load.running + load.waiting
        error = abs(total - self.in_flight - self.estimate_others())
        self._note_report(total)
        is_busy = total >= load.slots
        if is_busy != self._was_busy or (is_busy and error >= NEWS):
            self._unpassed = total
        self._was_busy = is_busy

    def _note_report(self, total: int) -> None:
        self._others = max(0.0, total - self.in_flight)
        if self._reported_at is None:
            self._others_mean = self._others
        self._others_mean += REPORT_WEIGHT * (self._others - self._others_mean)
        self._reported_at = self._clock.now()

    def record_shed(self, load: _dialect.ReportedLoad | None) -> None:
        """Learn from a refusal: the server is full."""
        if load is not None:
            self._note_own(load)
        self._full_until = self._clock.now() + int(self.estimate_service_ms())

    def record_silence(self) -> None:
        """Learn from a request that got no answer."""
        self.health.record(failed=True)

    def record_unreachable(self) -> None:
        """Leave the server out for a while."""
        self._pause_ms = min(PAUSE_LIMIT_MS, 2 * self._pause_ms or PAUSE_MS)
        self._paused_until = self._clock.now() + self._pause_ms
