"""Load and service time estimates for a server at one instance.

An instance observes only its own requests and the total load that responses
report.  Between two reports, the estimated load from other instances decays
to its mean.
"""

from collections.abc import Callable
import math
import random

from tarragonhinge import admission
from tarragonhinge.balancing import _pace
from tarragonhinge.balancing import _standing_queue
from tarragonhinge.balancing import _work_speed
from tarragonhinge import base
from tarragonhinge import jobs

#: Service time to assume before the first response.
INITIAL_SERVICE_MS = 250.0

#: Weight of a new latency in the mean slowness of a server.
SERVER_LATENCY_WEIGHT = 0.1

#: Weight of a new latency in the means of a service, which is lower since the
#: service has more responses than one server.
SERVICE_LATENCY_WEIGHT = 0.025

#: Maximum number of routes of a service whose means are kept.
MAX_TRACKED_ROUTES = 1_024

#: Maximum weight of a server's own slowness, as a number of responses.
MAX_SERVER_SAMPLES = 20

#: Weight of an average server in the estimate, as a number of responses.
PRIOR_SAMPLES = 4

#: Difference between a reported load and its estimate, in requests, from
#: which the load is published to other instances.
MIN_PUBLISHED_LOAD_ERROR = 2

#: The same as a fraction of the slots: half a service time. The loads of
#: servers with many slots vary by more requests, and each one that is
#: published goes to all instances.
PUBLISHED_SLOT_FRACTION = 0.5

#: Time constant of the decay of a reported load to its mean.
REPORT_DECAY_MS = 500.0

#: Time constant of the decay of the mean reported load to zero, since a lack
#: of reports means that no instance sends requests.
MEAN_REPORT_DECAY_MS = 3_000.0

#: Expected number of requests at an owner of keys before its first report:
#: two that run and two that wait.
PRIOR_REQUESTS_PER_SERVER = 4.0

#: Weight of a new report in the mean load from other instances.
REPORT_WEIGHT = 0.2

#: Cooldown after a failed connection, and its upper bound; each further
#: failure doubles the cooldown.
INITIAL_COOLDOWN_MS = 400
MAX_COOLDOWN_MS = 4_000

#: Time for which the number of requests at which a server was full is kept.
FULL_LOAD_VALID_MS = 10_000

#: Fraction of the load at which a server was full up to which it gets more
#: requests. A reset leaves the outcome of a request unknown, and many
#: instances that each see a few responses together overshoot.
FULL_LOAD_FRACTION = 0.75

#: Factor applied to the service time of a server that is warming up.
COLD_SERVICE_TIME_FACTOR = 2.0


class ServiceTime:
    """Mean service time over all servers of a service, also by route.

    Short and long requests share the servers of a service: one for which
    63 ms are enough must not be refused since most take 360 ms.

    Attributes
    ----------
    mean_ms : float
        Mean over all responses, which is the expected time of a request
        that is ahead of another one.
    """

    def __init__(self) -> None:
        self.mean_ms = INITIAL_SERVICE_MS
        self._count = 0
        self._routes: dict[str, tuple[int, float]] = {}

    def record(self, latency_ms: float, *, route: str = "") -> None:
        """Record the latency of a response to a request of a route."""
        self._count, self.mean_ms = _update_mean(
            self._count, self.mean_ms, latency_ms
        )
        count, mean_ms = self._routes.pop(route, (0, 0.0))
        self._routes[route] = _update_mean(count, mean_ms, latency_ms)
        if len(self._routes) > MAX_TRACKED_ROUTES:
            del self._routes[next(iter(self._routes))]

    def estimate_ms(self, route: str | None = None) -> float:
        """Return the service time at an average server.

        Parameters
        ----------
        route : str or None
            Route of the request; None for any of the service's requests.
        """
        if route not in self._routes:
            return self.mean_ms
        _, mean_ms = self._routes[route]
        return mean_ms


def _update_mean(
    count: int, mean_ms: float, latency_ms: float
) -> tuple[int, float]:
    """Return the number of responses and their mean after one more."""
    weight = max(SERVICE_LATENCY_WEIGHT, 1 / (count + 1))
    return count + 1, mean_ms + weight * (latency_ms - mean_ms)


class ServerLoad:
    """Load estimate of one server, as seen by this instance.

    Parameters
    ----------
    slots : int
        Number of requests that the server runs concurrently.
    service_time : ServiceTime
        Mean service time of the service.
    clock : Clock
        This process's clock.
    get_sender_count : callable
        Returns the number of instances assumed to send to the server at
        the same rate; 1 to assume no requests from other instances.
    pace : ServerPace or None
        Limit of the requests at the server after it has come up; None if it
        needs none.
    get_fleet_size : callable
        Returns the number of instances, which learn of that at once.
    rng : random.Random or None
        Spreads the first requests of the instances.

    Attributes
    ----------
    pace : ServerPace or None
        Limit of the requests at the server after it has come up.
    work_speed : WorkSpeed
        How long work takes on its machine now.
    in_flight : int
        Number of requests from this instance without a response so far.
    """

    def __init__(
        self,
        *,
        slots: int,
        service_time: ServiceTime,
        clock: base.Clock,
        get_sender_count: Callable[[], int] = lambda: 1,
        pace: _pace.ServerPace | None = None,
        get_fleet_size: Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
    ) -> None:
        self._get_fleet_size = get_fleet_size
        self._rng = rng or random.Random()
        self.pace = pace
        self.work_speed = _work_speed.WorkSpeed()
        self._get_sender_count = get_sender_count
        self.slots = max(1, slots)
        self.in_flight = 0
        self.health = admission.ServerHealth(clock=clock)
        self._service_time = service_time
        self._clock = clock
        # Ratio of the service times here to their means over all servers.
        self._slowness = 1.0
        self._count = 0
        self._others_in_flight = 0.0
        self._mean_others_in_flight = 0.0
        self._reported_at: int | None = None
        self._assumed_full_until = 0
        self._cooldown_ms = 0
        self._cooldown_until = 0
        self._cold_until = 0
        self._unreported_latencies = (0, 0.0)
        self._unpublished_load: int | None = None
        self._was_busy = False
        self._full_load = 0
        self._full_load_until = 0
        self._standing = _standing_queue.StandingQueue(clock=clock)

    def set_cold(self, cold_ms: int) -> None:
        """Set the time for which the server is still warming up."""
        self._cold_until = self._clock.now() + cold_ms

    def estimate_others_in_flight(self) -> float:
        """Return the estimated number of requests from other instances."""
        if self._reported_at is None:
            return self._estimate_others_without_report()
        age_ms = self.get_report_age_ms()
        mean = self._mean_others_in_flight * math.exp(
            -age_ms / MEAN_REPORT_DECAY_MS
        )
        return mean + (self._others_in_flight - mean) * math.exp(
            -age_ms / REPORT_DECAY_MS
        )

    def _estimate_others_without_report(self) -> float:
        """Estimate other instances' requests from this instance's own.

        When a server has just been granted keys, all instances send
        requests to it before any of them has a response.  The total number
        of requests is assumed to be exponentially distributed, and this
        instance's requests to be its share of the total.
        """
        senders = self._get_sender_count()
        if senders <= 1:
            return 0.0
        total = (1 + self.in_flight) / (
            1 / PRIOR_REQUESTS_PER_SERVER + 1 / senders
        )
        return max(0.0, total - self.in_flight)

    def get_report_age_ms(self) -> int:
        """Return the age of the last load report, or -1 without one."""
        if self._reported_at is None:
            return -1
        return self._clock.now() - self._reported_at

    def estimate_service_ms(self, route: str | None = None) -> float:
        """Return the estimated service time without queueing.

        Parameters
        ----------
        route : str or None
            Route of the request; None for any of the service's requests.
        """
        count = min(self._count, MAX_SERVER_SAMPLES)
        slowness = (self._slowness * count + PRIOR_SAMPLES) / (
            count + PRIOR_SAMPLES
        )
        if self._clock.now() < self._cold_until:
            slowness *= COLD_SERVICE_TIME_FACTOR
        slowness *= self.work_speed.get_factor(self._clock.now())
        return slowness * self._service_time.estimate_ms(route)

    def estimate_wait_ms(self) -> float:
        """Return the estimated wait of one more request for a slot."""
        total = self.in_flight + self.estimate_others_in_flight()
        ahead = max(0.0, total + 1 - self.slots)
        wait_ms = ahead * self.estimate_service_ms() / self.slots
        return max(wait_ms, self._assumed_full_until - self._clock.now())

    def estimate_standing_wait_ms(self) -> float:
        """Return the wait for a slot that lasted for the last second."""
        ahead = self._standing.get_waiting(self.slots)
        return ahead * self.estimate_service_ms() / self.slots

    def get_contention(self) -> _standing_queue.Contention:
        """Return whether less urgent requests wait for a free slot."""
        return self._standing.get_contention(self.slots)

    def is_busy(self) -> bool:
        """Return whether requests are estimated to wait at the server."""
        total = self.in_flight + self.estimate_others_in_flight()
        return total > self.slots

    def restart_pace(self) -> None:
        """Limit requests again to a server that has come up."""
        if self.pace is not None:
            delay_ms = self.pace.compute_trial_delay_ms(
                self._service_time.mean_ms,
                instances=self._get_fleet_size(),
                draw=self._rng.random(),
            )
            self.pace.restart(self._clock.now(), trial_delay_ms=delay_ms)

    def get_pace_limit(self) -> float:
        """Return how many requests may be at the server now."""
        if self.pace is None:
            return math.inf
        return self.pace.get_limit(self._clock.now())

    def estimate_pace_wait_ms(self) -> float:
        """Return the time until the pace leaves room; 0 if it does now."""
        limit = self.get_pace_limit()
        if limit == math.inf:
            return 0.0
        trial_wait_ms = self.pace.get_trial_wait_ms(self._clock.now())
        if trial_wait_ms:
            return trial_wait_ms
        total = self.in_flight + self.estimate_others_in_flight()
        if total < limit:
            return 0.0
        running = min(self.slots, max(1.0, total))
        return (total - limit + 1) * self.estimate_service_ms() / running

    def _record_pace_failure(self) -> None:
        if self.pace is not None:
            self.pace.record_failure(
                self._clock.now(),
                total=self.in_flight + self.estimate_others_in_flight(),
            )

    def is_full(self) -> bool:
        """Return whether one more request is estimated not to fit."""
        if self._clock.now() >= self._full_load_until:
            return False
        total = self.in_flight + self.estimate_others_in_flight()
        return total >= FULL_LOAD_FRACTION * self._full_load

    def is_cooling_down(self) -> bool:
        """Return whether the server is excluded after failed connections."""
        return self._clock.now() < self._cooldown_until

    def get_cooldown_ms(self) -> int:
        """Return the length of the last cooldown."""
        return self._cooldown_ms

    def record_response(
        self,
        *,
        latency_ms: float,
        load: jobs.ReportedLoad | None,
        failed: bool,
        route: str = "",
    ) -> None:
        """Record a response, which `in_flight` must no longer count.

        Parameters
        ----------
        latency_ms : float
            Time to the response, without the network round trip.
        load : ReportedLoad or None
            Load reported in the response.
        failed : bool
            Whether the response reports an error.
        route : str
            Route of the request.
        """
        self._cooldown_ms = 0
        self._cooldown_until = 0
        self.health.record(failed=failed)
        waiting = 0
        if load is not None:
            waiting = load.waiting
            self.slots = max(1, load.slots)
            self._record_reported_load(load)
        if failed:
            self._record_pace_failure()
        elif self.pace is not None:
            self.pace.record_response(
                self._clock.now(),
                latency_ms=latency_ms,
                mean_ms=self._service_time.estimate_ms(route),
                load=load,
            )
        if waiting == 0 and not failed:
            self._record_service_time(latency_ms, route)

    def _record_service_time(self, latency_ms: float, route: str) -> None:
        self._service_time.record(latency_ms, route=route)
        ratio = latency_ms / self._service_time.estimate_ms(route)
        self._count += 1
        weight = max(SERVER_LATENCY_WEIGHT, 1 / self._count)
        self._slowness += weight * (ratio - self._slowness)
        count, total_ms = self._unreported_latencies
        # The time that an average request would have taken here.
        comparable_ms = ratio * self._service_time.mean_ms
        self._unreported_latencies = (count + 1, total_ms + comparable_ms)

    def take_observed_load(self) -> int | None:
        """Return the load to publish and clear it; None if there is none."""
        load, self._unpublished_load = self._unpublished_load, None
        return load

    def record_observed_load(
        self, total: int, work_percent: int = _work_speed.USUAL_PERCENT
    ) -> None:
        """Record the load that another instance has observed."""
        self._update_others_in_flight(total)
        now = self._clock.now()
        self.work_speed.record(now, work_percent)
        if self.pace is not None:
            self.pace.record_report(
                now, total=total, work_percent=work_percent
            )

    def take_latencies(self) -> tuple[int, float]:
        """Return count and mean of the latencies since the last call."""
        (count, total_ms), self._unreported_latencies = (
            self._unreported_latencies,
            (0, 0.0),
        )
        return count, total_ms / max(1, count)

    def _record_reported_load(self, load: jobs.ReportedLoad) -> None:
        """Record a reported load and publish it if others need it.

        A load is published if it differs from the estimate, which is
        similar at all instances, or if the server became busy or got a
        free slot again.
        """
        total = load.running + load.waiting
        self._full_load = max(self._full_load, total)
        error = abs(total - self.in_flight - self.estimate_others_in_flight())
        self._update_others_in_flight(total)
        is_busy = total >= load.slots
        now = self._clock.now()
        self.work_speed.record(now, load.work_percent)
        if self.pace is not None and self.pace.is_active(now):
            self._unpublished_load = total
        if is_busy != self._was_busy or (
            is_busy
            and error
            >= max(
                MIN_PUBLISHED_LOAD_ERROR, load.slots * PUBLISHED_SLOT_FRACTION
            )
        ):
            self._unpublished_load = total
        self._was_busy = is_busy

    def _update_others_in_flight(self, total: int) -> None:
        self._standing.record(total)
        self._others_in_flight = max(0.0, total - self.in_flight)
        if self._reported_at is None:
            self._mean_others_in_flight = self._others_in_flight
        self._mean_others_in_flight += REPORT_WEIGHT * (
            self._others_in_flight - self._mean_others_in_flight
        )
        self._reported_at = self._clock.now()

    def record_shed(self, load: jobs.ReportedLoad | None) -> None:
        """Record that the server refused a request.

        One that reports a free slot refuses requests for another reason than
        its load, like a server that fails a part of them. Any other one is
        assumed to have no free slot for one service time.
        """
        self._record_pace_failure()
        if load is not None:
            self._record_reported_load(load)
            if load.running + load.waiting < load.slots:
                self.health.record(failed=True)
                return
        self._assumed_full_until = self._clock.now() + int(
            self.estimate_service_ms()
        )

    def record_full(self) -> None:
        """Record that the server had no room for a request.

        It has as many requests as it can queue, and room for another one as
        soon as it has completed one. It is busy, and has not failed.
        """
        self._record_pace_failure()
        total = self.in_flight + self.estimate_others_in_flight()
        most = self._full_load
        if self._clock.now() >= self._full_load_until:
            most = 0
        self._full_load = max(most, self.slots, math.floor(total) - 1)
        self._full_load_until = self._clock.now() + FULL_LOAD_VALID_MS
        self._update_others_in_flight(max(self._full_load, math.ceil(total)))
        room_at = self._clock.now() + int(
            self.estimate_service_ms() / self.slots
        )
        self._assumed_full_until = max(self._assumed_full_until, room_at)

    def record_failed_attempt(self) -> None:
        """Record an attempt without a valid response."""
        self._record_pace_failure()
        self.health.record(failed=True)

    def record_crashed(self) -> None:
        """Exclude the server for the longest cooldown.

        Its entry is removed meanwhile, or states another start.
        """
        self.restart_pace()
        self._cooldown_ms = MAX_COOLDOWN_MS
        self._cooldown_until = self._clock.now() + self._cooldown_ms

    def record_unreachable(self) -> None:
        """Exclude the server for a cooldown after a failed connection."""
        self._cooldown_ms = min(
            MAX_COOLDOWN_MS, 2 * self._cooldown_ms or INITIAL_COOLDOWN_MS
        )
        self._cooldown_until = self._clock.now() + self._cooldown_ms
