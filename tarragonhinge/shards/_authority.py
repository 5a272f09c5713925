"""Lease under which a leader may act."""

from tarragonhinge import base


class AuthorityLease:
    """Lease during which a leader may renew grants and dispatch requests.

    A confirmation from the standby or the table service extends the
    lease.  The extension counts from the sending of the request, so that
    network delay never lengthens the lease.

    Parameters
    ----------
    clock : Clock
        The leader's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._expires_at = base.Millis(-1)
        self._revoked = False

    def extend(self, *, sent_at: int, lease_ms: int) -> None:
        """Extend the lease by the reply to a request sent at `sent_at`."""
        self.extend_until(sent_at + lease_ms)

    def extend_until(self, expires_at: int) -> None:
        """Extend the lease to `expires_at`, unless it lasts longer."""
        self._expires_at = max(self._expires_at, base.Millis(expires_at))

    def revoke(self) -> None:
        """End the lease permanently; later extensions have no effect."""
        self._revoked = True

    def is_valid(self) -> bool:
        """Return whether the leader may act now."""
        return not self._revoked and self._clock.now() < self._expires_at

    def get_remaining_ms(self) -> int:
        """Return the remaining time; 0 once the lease has ended."""
        if self._revoked:
            return 0
        return max(0, self._expires_at - self._clock.now())
