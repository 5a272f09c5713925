"""Policy that decides when an instance claims the coordination."""

import math
import random

#: Longest claim delay of an instance near the store and of one far from it.
#: The coordinator writes to the store often, so that one near it is preferred.
NEAR_CLAIM_DELAY_MS = 120
FAR_CLAIM_DELAY_MS = 500

#: Round-trip time to the store up to which an instance counts as near.
NEAR_STORE_RTT_MS = 20

#: Bandwidth in Mbit/s below which an instance delays its claim further. Over
#: a link of 10 Mbit/s, it takes 1.4 s to send a routing table of 150 routes to
#: 60 instances.
NARROW_LINK_MBPS = 50.0
NARROW_LINK_DELAY_MS = 400

#: Duration below which a leadership indicates that the other instances can't
#: reach this one, and backoff before this instance may claim again.
SHORT_LEADERSHIP_MS = 6_000
CLAIM_BACKOFF_MS = 10_000


#: Further delay of an instance that can't reach servers that others reach: as
#: a coordinator, it could not renew their grants.
CUT_OFF_DELAY_MS = 1_500


class ClaimPolicy:
    """Decides whether and how soon an instance claims the coordination.

    The delays prevent simultaneous claims by all instances after the loss
    of the coordinator, repeated claims by an instance that is disconnected
    from the others, and claims by an instance whose link is too narrow to
    distribute many table versions in quick succession.

    Parameters
    ----------
    rng : random.Random
        Adds jitter to the delays.
    link_mbps : float
        Bandwidth of the instance's link in Mbit/s.
    """

    def __init__(
        self, *, rng: random.Random, link_mbps: float = math.inf
    ) -> None:
        self._rng = rng
        self._link_delay_ms = 0
        if link_mbps < NARROW_LINK_MBPS:
            self._link_delay_ms = NARROW_LINK_DELAY_MS
        self._may_claim_at = 0

    def compute_delay_ms(
        self, *, store_rtt_ms: int, is_cut_off: bool = False
    ) -> int:
        """Return the delay before a claim in milliseconds.

        Parameters
        ----------
        store_rtt_ms : int
            Measured round-trip time to the store.
        is_cut_off : bool
            Whether other instances reach servers that this one does not.
        """
        delay_ms = self._rng.randint(NEAR_CLAIM_DELAY_MS, FAR_CLAIM_DELAY_MS)
        if store_rtt_ms <= NEAR_STORE_RTT_MS:
            delay_ms = self._rng.randint(0, NEAR_CLAIM_DELAY_MS)
        if is_cut_off:
            delay_ms += CUT_OFF_DELAY_MS
        return delay_ms + self._link_delay_ms

    def may_claim(self, *, now: int) -> bool:
        """Return whether a claim is allowed, that is, no backoff is active."""
        return now >= self._may_claim_at

    def record_leadership(self, *, began_at: int, ended_at: int) -> None:
        """Record the duration of this instance's leadership.

        A short leadership starts a backoff.
        """
        if ended_at - began_at < SHORT_LEADERSHIP_MS:
            self._may_claim_at = ended_at + CLAIM_BACKOFF_MS
