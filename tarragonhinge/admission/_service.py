"""Running estimate of a server's service time."""

#: Weight of a new service time in the averages.
SMOOTHING = 0.1

#: Mean deviations above the mean within which a request is expected.
DEVIATIONS = 2.0

#: Added for the resolution of the clocks.
RESOLUTION_MS = 2


class ServiceTime:
    """Mean and mean deviation of service times, as in RFC 6298.

    Requests that were given up on set a lower bound, which stands until
    the next answer: a server that was frozen is fast again at once.
    """

    def __init__(self) -> None:
        self.deviation_ms = 0.0
        self._answered_ms = 0.0
        self._bound_ms = 0.0

    @property
    def mean_ms(self) -> float:
        """Return the mean to expect; 0 if nothing is known."""
        return max(self._answered_ms, self._bound_ms)

    def record(self, service_ms: int) -> None:
        """Learn from a request that was answered."""
        self._bound_ms = 0.0
        if not self._answered_ms:
            self._answered_ms = float(service_ms)
        error_ms = service_ms - self._answered_ms
        self._answered_ms += SMOOTHING * error_ms
        self.deviation_ms += SMOOTHING * (abs(error_ms) - self.deviation_ms)

    def record_bound(self, service_ms: int) -> None:
        """Learn from a request that was given up on: it takes longer."""
        self._bound_ms = max(self._bound_ms, float(service_ms))

    def compute_needed_ms(self) -> float:
        """Return the time that a request should have left when sent."""
        if not self.mean_ms:
            return 0.0
        spread_ms = DEVIATIONS * self.deviation_ms
        return self.mean_ms + spread_ms + RESOLUTION_MS
