"""Circuit breakers for owners that refuse their keys.

During an outage of the store the owner map can't be corrected: an owner's
grant may have expired, or another server may have taken over its address,
while no new owner can be recorded.  The owner then refuses each request
for its keys, and each retry of such a request draws on the retry budget.
Therefore only one request at a time probes such an owner, and the others
are refused immediately.
"""

import dataclasses

from tarragonhinge import base

#: Cooldown before the first probe, and its upper bound; each probe doubles
#: the cooldown.
INITIAL_COOLDOWN_MS = 150
MAX_COOLDOWN_MS = 1_200

#: Maximum number of open breakers; beyond it, the oldest is dropped.
MAX_TRACKED_GRANTS = 4_096

#: A server and the fencing token of one of its grants.
Grant = tuple[base.ServerId, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Cooldown:
    """Time of the next probe, and length of the cooldown after it."""

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
        self._cooldowns: dict[Grant, _Cooldown] = {}

    def record_refusal(self, grant: Grant) -> None:
        """Open the breaker: the owner refused a key of the grant."""
        if grant in self._cooldowns:
            return
        while len(self._cooldowns) >= MAX_TRACKED_GRANTS:
            del self._cooldowns[next(iter(self._cooldowns))]
        self._cooldowns[grant] = _Cooldown(
            ends_at=self._clock.now() + INITIAL_COOLDOWN_MS,
            next_ms=2 * INITIAL_COOLDOWN_MS,
        )

    def record_response(self, grant: Grant) -> None:
        """Close the breaker: the owner answered a request."""
        self._cooldowns.pop(grant, None)

    def is_open(self, grant: Grant) -> bool:
        """Return whether the owner refused a key and has not answered yet."""
        return grant in self._cooldowns

    def try_send(self, grant: Grant) -> bool:
        """Return whether a request may be sent to the owner.

        While the breaker is open, only one request per cooldown may be
        sent, as a probe.
        """
        cooldown = self._cooldowns.get(grant)
        if cooldown is None:
            return True
        now = self._clock.now()
        if now < cooldown.ends_at:
            return False
        cooldown.ends_at = now + cooldown.next_ms
        cooldown.next_ms = min(MAX_COOLDOWN_MS, 2 * cooldown.next_ms)
        return True
