"""Decides how long a new connection is observed before a request is sent.

The load pattern: servers accept connections above the number that they can
keep for all instances together, and reset them at once. A request that was
written meanwhile may have run, as far as the protocol tells. If nothing was
written before the reset, the server cannot have run it, and the request is
sent elsewhere or refused with 503.

New connections to the servers of a service are observed for a round trip
while one of these servers has reset a new connection lately. Elsewhere
nothing is delayed.
"""

from tarragonhinge import base

#: Time after a reset for which new connections are observed.
OBSERVED_MS = 10_000

#: Time beyond the round trip within which a full server resets a connection.
EARLY_RESET_MS = 5


class AcceptResets:
    """Services whose servers reset new connections.

    Parameters
    ----------
    clock : Clock
        This process's clock.

    Attributes
    ----------
    count : int
        Number of new connections that were reset before anything was sent.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._until: dict[base.ServiceName, int] = {}
        self.count = 0

    def record_reset(self, service: base.ServiceName) -> None:
        """Record that a server has reset a new connection."""
        self._until[service] = self._clock.now() + OBSERVED_MS

    def record_unsent(self, service: base.ServiceName) -> None:
        """Record a reset before a request was sent."""
        self.count += 1
        self.record_reset(service)

    def compute_observation_ms(
        self, service: base.ServiceName, *, round_trip_ms: float
    ) -> float:
        """Return how long a new connection is observed; 0 for not at all."""
        if self._clock.now() >= self._until.get(service, 0):
            return 0.0
        return round_trip_ms + EARLY_RESET_MS
