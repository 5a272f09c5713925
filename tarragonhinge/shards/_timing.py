"""Durations of leases, heartbeats and grants."""

import dataclasses

from tarragonhinge import base

#: Mean interval between two reads that confirm records, counting the reads
#: of all instances of a region.
CONFIRM_SPACING_MS = 7


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """Durations of leases and heartbeats, in milliseconds.

    Parameters
    ----------
    heartbeat_ms : int
        Period of heartbeats to servers and to the standby.
    call_timeout_ms : int
        Timeout of one heartbeat or grant.
    grant_ms : int
        Validity of a renewed grant.
    lease_ms : int
        Time by which a confirmation extends the leader's authority.
    silence_ms : int
        Silence of the leader after which its standby takes over.
    margin_ms : int
        Added to each wait, to allow for clocks that run at different
        rates.
    outage_lease_ms : int
        Longest time for which a leader and its standby may act after
        their last contact with the store.
    confirm_ms : int
        Minimum period at which an instance reads records while no role
        needs an immediate read.

    Raises
    ------
    ParameterError
        If a duration is out of range, or `heartbeat_ms` is not less than
        half of `lease_ms`.
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
        """Return how long to wait until a duration has passed elsewhere.

        The other process measures the duration on its own clock.
        `margin_ms` is the clock error over one `grant_ms`; the error
        over a longer duration is proportionally larger.

        Parameters
        ----------
        duration_ms : int
            Duration on the other clock.

        Returns
        -------
        int
            Time to wait on this process's clock, in milliseconds.

        Examples
        --------
        >>> Timing(grant_ms=1200, margin_ms=50).add_margin(24_000)
        25050
        """
        drift_ms = duration_ms * self.margin_ms // self.grant_ms
        return duration_ms + drift_ms + self.margin_ms

    def compute_confirm_ms(self, instances: int) -> int:
        """Return the period at which one instance confirms its records.

        The period grows with the region, so that the read rate of the
        whole region stays bounded.  It is at most a third of the outage
        lease, because that lease counts from the last contact with the
        store; `confirm_ms` is a lower bound.

        Parameters
        ----------
        instances : int
            Number of instances in the region.

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
