"""When an instance claims the coordination."""

import math
import random

#: Longest delay of a claim by an instance in the store's region, and by
#: one elsewhere: the coordinator writes often, so a near one is better.
NEAR_CLAIM_DELAY_MS = 120
FAR_CLAIM_DELAY_MS = 500

#: Round trip to the store up to which an instance counts as near.
NEAR_STORE_RTT_MS = 20

#: Bandwidth below which an instance claims later: a routing table of 150
#: routes sent to 60 others takes 1.4 s over a link of 10 Mbit/s.
NARROW_LINK_MBPS = 50.0
NARROW_LINK_DELAY_MS = 400

#: A leadership that ends sooner was of an instance that the others don't
#: reach; it does not claim again for a while.
SHORT_LEADERSHIP_MS = 6_000
CLAIM_BACKOFF_MS = 10_000


class ClaimPolicy:
    """Decides whether and how soon to claim.

    Answers the loss of the coordinator, after which all instances want
    to claim at once, an instance that is cut off from the others and
    would take the coordination again and again, and one whose link is
    too narrow to pass a storm of versions on.

    Parameters
    ----------
    rng : random.Random
        Spreads the claims.
    link_mbps : float
        Bandwidth of the instance's link.
    """

    def __init__(
        self, *, rng: random.Random, link_mbps: float = math.inf
    ) -> None:
        self._rng = rng
        self._link_delay_ms = 0
        if link_mbps < NARROW_LINK_MBPS:
            self._link_delay_ms = NARROW_LINK_DELAY_MS
        self._may_claim_at = 0

    def compute_delay_ms(self, *, store_rtt_ms: int) -> int:
        """Return how long to wait before a claim."""
        delay_ms = self._rng.randint(NEAR_CLAIM_DELAY_MS, FAR_CLAIM_DELAY_MS)
        if store_rtt_ms <= NEAR_STORE_RTT_MS:
            delay_ms = self._rng.randint(0, NEAR_CLAIM_DELAY_MS)
        return delay_ms + self._link_delay_ms

    def may_claim(self, *, now: int) -> bool:
        """Return whether a claim is allowed."""
        return now >= self._may_claim_at

    def record_leadership(self, *, began_at: int, ended_at: int) -> None:
        """Learn how long the own leadership lasted."""
        if ended_at - began_at < SHORT_LEADERSHIP_MS:
            self._may_claim_at = ended_at + CLAIM_BACKOFF_MS
