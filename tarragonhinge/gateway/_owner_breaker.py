"""Circuit breakers for owners that refuse their keys.

During an outage of the store the owner map can't be corrected: an owner's
grant may have expired, or another server may have taken over its address,
while no new owner can be recorded.  The owner then refuses each request
for its keys, and each request sent again draws on the retry budget.
Therefore only one request at a time probes such an owner, and the others
are refused immediately.
"""

import dataclasses

from tarragonhinge import base

#: Pause before the first probe, and upper bound of the pause, which doubles
#: with each probe.
INITIAL_PAUSE_MS = 150
MAX_PAUSE_MS = 1_200

#: Maximum number of open breakers; the oldest are dropped beyond it.
MAX_TRACKED_GRANTS = 4_096

#: A server and the fencing token of one of its grants.
Grant = tuple[base.ServerId, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Pause:
    """Time of the next probe, and length of the pause after it."""

    ends_at: int
    next_ms: int


class OwnerBreaker:
    """Circuit breaker for each grant of keys to an owner.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._pauses: dict[Grant, _Pause] = {}

    def record_refusal(self, grant: Grant) -> None:
        """Open the breaker: the owner refused a key of the grant."""
        if grant in self._pauses:
            return
        while len(self._pauses) >= MAX_TRACKED_GRANTS:
            del self._pauses[next(iter(self._pauses))]
        self._pauses[grant] = _Pause(
            ends_at=self._clock.now() + INITIAL_PAUSE_MS,
            next_ms=2 * INITIAL_PAUSE_MS,
        )

    def record_answer(self, grant: Grant) -> None:
        """Close the breaker: the owner answered a request."""
        self._pauses.pop(grant, None)

    def is_open(self, grant: Grant) -> bool:
        """Return whether the owner refused and has not answered since."""
        return grant in self._pauses

    def try_send(self, grant: Grant) -> bool:
        """Return whether a request may be sent to the owner.

        While the breaker is open, only one request per pause may be sent,
        as a probe.
        """
        pause = self._pauses.get(grant)
        if pause is None:
            return True
        now = self._clock.now()
        if now < pause.ends_at:
            return False
        pause.ends_at = now + pause.next_ms
        pause.next_ms = min(MAX_PAUSE_MS, 2 * pause.next_ms)
        return True
