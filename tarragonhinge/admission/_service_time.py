"""Moving average of a server's service time."""

#: Weight of a new service time in the moving averages.
SERVICE_TIME_WEIGHT = 0.1

#: Number of mean deviations above the mean that a request is given.
NEEDED_DEVIATIONS = 2.0

#: Time added for the resolution of the clocks.
CLOCK_RESOLUTION_MS = 2


class ServiceTime:
    """Mean and mean deviation of service times, as in RFC 6298.

    The time after which a request was given up is a lower bound of the mean
    only until the next response, so that a server that was frozen is not
    assumed to be slow afterwards.
    """

    def __init__(self) -> None:
        self.deviation_ms = 0.0
        self._answered_ms = 0.0
        self._bound_ms = 0.0

    @property
    def mean_ms(self) -> float:
        """Expected service time; 0 before the first request has ended."""
        return max(self._answered_ms, self._bound_ms)

    def record(self, service_ms: int) -> None:
        """Record the service time of a request with a response."""
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
        """Return the time in milliseconds that a request needs once sent."""
        if not self.mean_ms:
            return 0.0
        margin_ms = NEEDED_DEVIATIONS * self.deviation_ms
        return self.mean_ms + margin_ms + CLOCK_RESOLUTION_MS
