"""Spaces requests so that they keep a rate."""

import math

import msgspec

from tarragonhinge import base

#: Time by which a request may precede its turn after a pause, so that the
#: room of a high limit is used although requests come unevenly.
BURST_MS = 100

#: Longest time after which a refused request is invited to come back.
MAX_INVITATION_MS = 3_000


class Turn(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a request for a turn.

    Parameters
    ----------
    is_granted : bool
        Whether the request may be sent once it has waited.
    wait_ms : int
        Time until the next turn, which is the request's own if granted.
    invitation_ms : int
        Time after which the request should come back if it is refused.
    """

    is_granted: bool
    wait_ms: int
    invitation_ms: int = 0


class Pacer:
    """Gives requests turns at even distances.

    Within any period `t`, at most ``rate * (t + BURST_MS) + 1`` requests
    have their turn. The first turn is one distance away, so that a new pacer
    and its predecessor keep the rate together.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    rate : float
        Requests per second, above zero.
    """

    def __init__(self, *, clock: base.Clock, rate: float) -> None:
        self._clock = clock
        self._interval_ms = base.MS_PER_S / rate
        self._next_at = clock.now() + self._interval_ms
        # Time for which the last refused request was told to come back.
        self._invited_at = self._next_at

    def set_rate(self, rate: float) -> None:
        """Change the rate of the following turns."""
        interval_ms = base.MS_PER_S / rate
        self._next_at += interval_ms - self._interval_ms
        self._interval_ms = interval_ms

    def take(self, *, max_wait_ms: int) -> Turn:
        """Take the next turn if it comes soon enough.

        Requests that are refused are invited to come back at even distances,
        too, behind those that already have a turn.

        Parameters
        ----------
        max_wait_ms : int
            Longest time that the request can wait.
        """
        now = self._clock.now()
        turn_at = max(self._next_at, now - BURST_MS)
        wait_ms = max(0.0, turn_at - now)
        if wait_ms <= max_wait_ms:
            self._next_at = turn_at + self._interval_ms
            return Turn(is_granted=True, wait_ms=math.ceil(wait_ms))
        self._invited_at = min(
            max(self._invited_at, turn_at) + self._interval_ms,
            max(turn_at, now + MAX_INVITATION_MS),
        )
        return Turn(
            is_granted=False,
            wait_ms=math.ceil(wait_ms),
            invitation_ms=math.ceil(self._invited_at - now),
        )
