"""Decides whether a coordinator may still act."""

from collections.abc import Callable

from tarragonhinge import base

#: Age of the last proof of leadership up to which grants are renewed. A
#: successor assumes that its predecessor sent grants for this time after the
#: takeover, and waits for these grants to expire before it reassigns the keys
#: of a server that does not respond.
AUTHORITY_MS = 3_000


class Authority:
    """Authority of a coordinator to renew grants.

    The authority is valid for `AUTHORITY_MS` after the store last confirmed
    the claim. It is extended while no instance of the fleet reaches the
    store, since no other instance can claim the coordination in that time.

    Parameters
    ----------
    get_proof_age : callable
        Returns the time since the store last confirmed the claim in
        milliseconds, or None if it never did.
    is_outage_agreed : callable
        Returns whether no other instance reaches the store either.
    """

    def __init__(
        self,
        *,
        get_proof_age: Callable[[], base.Millis | None],
        is_outage_agreed: Callable[[], bool],
    ) -> None:
        self._get_proof_age = get_proof_age
        self._is_outage_agreed = is_outage_agreed

    def may_act(self) -> bool:
        """Return whether grants may be renewed."""
        age_ms = self._get_proof_age()
        if age_ms is None:
            return False
        return age_ms < AUTHORITY_MS or self._is_outage_agreed()
