"""Validity of a coordinator's authority to act."""

from collections.abc import Callable

from tarragonhinge import base

#: Age of the last proof of leadership up to which grants are renewed. A
#: successor assumes that its predecessor sent grants for as long after the
#: takeover, so it waits for these to expire before it reassigns the keys of
#: a silent server.
AUTHORITY_MS = 3_000


class Authority:
    """Authority of a coordinator to renew grants.

    It is valid for `AUTHORITY_MS` after the store confirmed the claim. It
    is extended while no instance of the fleet reaches the store, since no
    other instance can claim the coordination then.

    Parameters
    ----------
    get_proof_age : callable
        Returns the time since the store confirmed the claim in
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
