"""Moving average of a server's service time."""

#: Weight of a new service time in the moving averages.
SERVICE_TIME_WEIGHT = 0.1

#: Number of mean deviations above the mean to allow for a request.
NEEDED_DEVIATIONS = 2.0

#: Allowance for the resolution of the clocks.
CLOCK_RESOLUTION_MS = 2


class ServiceTime:
    """Mean and mean deviation of service times, as in RFC 6298.

    A request that was given up sets a lower bound until the next answer,
    so that a server that was frozen is not assumed to be slow afterwards.
    """

    def __init__(self) -> None:
        self.deviation_ms = 0.0
        self._answered_ms = 0.0
        self._bound_ms = 0.0

    @property
    def mean_ms(self) -> float:
        """Expected service time; 0 before the first request."""
        return max(self._answered_ms, self._bound_ms)

    def record(self, service_ms: int) -> None:
        """Record the service time of an answered request."""
        self._bound_ms = 0.0
        if not self._answered_ms:
            self._answered_ms = float(service_ms)
        error_ms = service_ms - self._answered_ms
        self._answered_ms += SERVICE_TIME_WEIGHT * error_ms
        self.deviation_ms += SERVICE_TIME_WEIGHT * (
            abs(error_ms) - self.deviation_ms
        )

    def record_bound(self, service_ms: int) -> None:
        """Record the time after which a request was given up."""
        self._bound_ms = max(self._bound_ms, float(service_ms))

    def compute_needed_ms(self) -> float:
        """Return the time that a request needs when it is sent."""
        if not self.mean_ms:
            return 0.0
        spread_ms = NEEDED_DEVIATIONS * self.deviation_ms
        return self.mean_ms + spread_ms + CLOCK_RESOLUTION_MS
