"""Durations that ownership depends on."""

import dataclasses

from tarragonhinge import base

#: Mean time between two confirming reads of the instances of a region.
CONFIRM_SPACING_MS = 7


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

    def compute_confirm_ms(self, instances: int) -> int:
        """Return the period of confirming reads of one instance.

        The reads of a region together stay below a rate that does not
        depend on its size.  A third of the outage lease bounds the
        period, since the lease counts from the last contact.

        Parameters
        ----------
        instances : int
            Instances of the region.

        Examples
        --------
        >>> Timing().compute_confirm_ms(12)
        2000
        >>> Timing().compute_confirm_ms(1400)
        9800
        """
        spread_ms = instances * CONFIRM_SPACING_MS
        spread_ms = min(spread_ms, self.outage_lease_ms // 3)
        return max(self.confirm_ms, spread_ms)

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
