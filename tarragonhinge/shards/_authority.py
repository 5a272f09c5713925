"""The lease under which a leader may act."""

from tarragonhinge import base


class AuthorityLease:
    """Time until which a leader may renew grants and dispatch.

    A leader extends it by a confirmation from its standby or from the
    table service, counted from when the question was sent, so that the
    time an answer spends on its way never lengthens the lease.

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
        """Count a confirmation of a question sent at `sent_at`."""
        self.extend_until(sent_at + lease_ms)

    def extend_until(self, expires_at: int) -> None:
        """Let the lease last until `expires_at` at least."""
        self._expires_at = max(self._expires_at, base.Millis(expires_at))

    def revoke(self) -> None:
        """End the lease now; an answer that comes late can't revive it."""
        self._revoked = True

    def is_valid(self) -> bool:
        """Return whether the leader may act at this moment."""
        return not self._revoked and self._clock.now() < self._expires_at

    def get_remaining_ms(self) -> int:
        """Return the time left; 0 once the lease has expired."""
        if self._revoked:
            return 0
        return max(0, self._expires_at - self._clock.now())
