"""Which holders of keys refuse the keys that the owner map gives them.

Answers an outage in which the owner map can't be corrected: a holder's
grant has lapsed, or another server took its address, while nobody can
record a new holder.  Each request sent there comes back refused, and
each one sent again draws on the budget of repeats, so one request at a
time tries the holder and the others are refused at once.
"""

import dataclasses

from tarragonhinge import base

#: Pause before the first trial; it doubles with each trial up to the cap.
PAUSE_MS = 150
PAUSE_CAP_MS = 1_200

#: Holders that are kept; the oldest are dropped beyond it.
LIMIT = 4_096

#: A server and the fencing token of one of its grants.
Holder = tuple[base.ServerId, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Pause:
    """When a holder is tried again, and how long it waits next."""

    ends_at: int
    next_ms: int


class OwnerBreaker:
    """Circuit breaker for each holder of keys.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._pauses: dict[Holder, _Pause] = {}

    def record_refusal(self, holder: Holder) -> None:
        """Open the breaker: the holder has refused one of its keys."""
        if holder in self._pauses:
            return
        while len(self._pauses) >= LIMIT:
            del self._pauses[next(iter(self._pauses))]
        self._pauses[holder] = _Pause(
            ends_at=self._clock.now() + PAUSE_MS, next_ms=2 * PAUSE_MS
        )

    def record_answer(self, holder: Holder) -> None:
        """Close the breaker: the holder has run a request."""
        self._pauses.pop(holder, None)

    def is_open(self, holder: Holder) -> bool:
        """Return whether the holder has refused and not served since."""
        return holder in self._pauses

    def try_pass(self, holder: Holder) -> bool:
        """Return whether a request may go there, as the only trial."""
        pause = self._pauses.get(holder)
        if pause is None:
            return True
        now = self._clock.now()
        if now < pause.ends_at:
            return False
        pause.ends_at = now + pause.next_ms
        pause.next_ms = min(PAUSE_CAP_MS, 2 * pause.next_ms)
        return True
