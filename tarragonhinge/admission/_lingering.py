"""Count of slots that previous leaders' or abandoned requests occupy."""

from tarragonhinge import base

#: Time after which own requests are held back to obtain an exact count of the
#: lingering requests.
QUIESCE_AFTER_MS = 2000

#: Longest time between two exact counts if lingering requests do not end.
QUIESCE_LIMIT_MS = 32_000


class LingeringCount:
    """Upper bound on the lingering requests that a server still runs.

    Lingering requests are those of a previous leader, and own requests that
    were given up before the server responded.  A server reports only
    the total of its requests, which may include own requests, so a report
    can lower the bound to the total but never raise it.  If the bound does
    not reach zero in time, own requests are held back until a report
    counts the lingering requests alone.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    expiry_ms : int or None
        Maximum lifetime of a lingering request in milliseconds, for a server
        with several leaders, whose reported total may never reach zero; None
        if only reports lower the bound.
    """

    def __init__(
        self, *, clock: base.Clock, expiry_ms: int | None = None
    ) -> None:
        self.expiry_ms = expiry_ms
        self._clock = clock
        self._added_at: list[int] = []
        self._checked_at = clock.now()
        self._quiesce_ms = QUIESCE_AFTER_MS

    def __len__(self) -> int:
        """Return the upper bound."""
        if self.expiry_ms is not None:
            oldest = self._clock.now() - self.expiry_ms
            self._added_at = [at for at in self._added_at if at > oldest]
        return len(self._added_at)

    def add(self, count: int = 1) -> None:
        """Add lingering requests."""
        now = self._clock.now()
        if not self._added_at:
            self._checked_at = now
            self._quiesce_ms = QUIESCE_AFTER_MS
        self._added_at += [now] * count

    def must_quiesce(self) -> bool:
        """Return whether own requests must be held back."""
        if self.expiry_ms is not None or not self._added_at:
            return False
        return self._clock.now() >= self._checked_at + self._quiesce_ms

    def record_total(self, total: int, *, sent_at: int, exact: bool) -> None:
        """Lower the bound to a total that the server reported.

        Parameters
        ----------
        total : int
            Number of requests that the server ran.
        sent_at : int
            Time at which the report was requested; the total does not
            include requests added later.
        exact : bool
            Whether the total contains no own requests.
        """
        earlier = [at for at in self._added_at if at <= sent_at]
        later = [at for at in self._added_at if at > sent_at]
        self._added_at = earlier[len(earlier) - min(total, len(earlier)) :]
        self._added_at += later
        if exact and self.must_quiesce():
            self._checked_at = self._clock.now()
            self._quiesce_ms = min(2 * self._quiesce_ms, QUIESCE_LIMIT_MS)

    def clear(self) -> None:
        """Reset the bound to zero after a restart of the server."""
        self._added_at = []
