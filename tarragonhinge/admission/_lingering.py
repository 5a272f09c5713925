"""Slots taken by requests that this leader does not wait for."""

from tarragonhinge import base

#: Time after which own requests are held back for an exact count.
QUIESCE_AFTER_MS = 2000

#: Longest time between two exact counts of requests that never end.
QUIESCE_LIMIT_MS = 32_000


class LingeringCount:
    """Upper bound on requests that a server runs for somebody else.

    These are the requests of an earlier leader, and own ones that were
    given up on before the server answered.  A server reports only its
    total, of which a part may be own requests; the bound therefore only
    falls, to the total at most.  If it does not reach zero in time, own
    requests are held back until a report counts the others alone.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    expiry_ms : int or None
        Bound on the life of such a request, for a server with several
        leaders, whose reports never show zero; None if only reports
        end it.
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
        """Return the bound."""
        if self.expiry_ms is not None:
            oldest = self._clock.now() - self.expiry_ms
            self._added_at = [at for at in self._added_at if at > oldest]
        return len(self._added_at)

    def add(self, count: int = 1) -> None:
        """Count further requests."""
        now = self._clock.now()
        if not self._added_at:
            self._checked_at = now
            self._quiesce_ms = QUIESCE_AFTER_MS
        self._added_at += [now] * count

    def must_quiesce(self) -> bool:
        """Return whether own requests have to be held back."""
        if self.expiry_ms is not None or not self._added_at:
            return False
        return self._clock.now() >= self._checked_at + self._quiesce_ms

    def take_total(self, total: int, *, sent_at: int, exact: bool) -> None:
        """Lower the bound to a reported total.

        Parameters
        ----------
        total : int
            Requests that the server ran.
        sent_at : int
            When the server was asked; requests counted here since then
            are not in the total.
        exact : bool
            True if none of them was an own request.
        """
        earlier = [at for at in self._added_at if at <= sent_at]
        later = [at for at in self._added_at if at > sent_at]
        self._added_at = earlier[len(earlier) - min(total, len(earlier)) :]
        self._added_at += later
        if exact and self.must_quiesce():
            self._checked_at = self._clock.now()
            self._quiesce_ms = min(2 * self._quiesce_ms, QUIESCE_LIMIT_MS)

    def clear(self) -> None:
        """Forget all: the server was restarted."""
        self._added_at = []
