"""Durations that ownership depends on."""

import dataclasses

from tarragonhinge import base


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """Durations of leases and heartbeats, in milliseconds.

    Parameters
    ----------
    heartbeat_ms : int
        Period of heartbeats to servers and to the standby.
    call_timeout_ms : int
        Bound on one heartbeat or grant.
    grant_ms : int
        How long a renewed grant lasts.
    lease_ms : int
        How long a confirmation extends the leader's authority.
    silence_ms : int
        Silence of the leader after which its standby takes over.
    margin_ms : int
        Added to each wait, for clocks that run at different rates.
    outage_lease_ms : int
        Longest time for which a leader and its standby may act after
        their last contact with the store.
    confirm_ms : int
        Period of reads of the record while the standby confirms.
    """

    heartbeat_ms: int = 250
    call_timeout_ms: int = 200
    grant_ms: int = 1200
    lease_ms: int = 1000
    silence_ms: int = 800
    margin_ms: int = 50
    outage_lease_ms: int = 30_000
    confirm_ms: int = 2000

    def add_margin(self, duration_ms: int) -> int:
        """Return how long to wait for a duration on another clock.

        `margin_ms` is the error over one `grant_ms`; that of a longer
        duration grows with it.

        Examples
        --------
        >>> Timing(grant_ms=1200, margin_ms=50).add_margin(24_000)
        25050
        """
        drift_ms = duration_ms * self.margin_ms // self.grant_ms
        return duration_ms + drift_ms + self.margin_ms

    def __post_init__(self) -> None:
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            base.check_range(field.name, value, low=1, high=3_600_000)
        if self.heartbeat_ms * 2 >= self.lease_ms:
            raise base.ParameterError(
                problem=f"heartbeat_ms={self.heartbeat_ms} is too long "
                f"for lease_ms={self.lease_ms}",
                remedy="set it to less than half of the lease",
            )
