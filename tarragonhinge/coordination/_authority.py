"""Whether a coordinator may still act."""

from collections.abc import Callable

from tarragonhinge import base

#: Age of the last proof of leadership up to which grants are renewed.  A
#: successor waits as long before it counts a silent server's grant as
#: lapsed.
AUTHORITY_MS = 3_000


class Authority:
    """Lease of a coordinator on its own actions.

    It lasts for a time after the store showed the claim unchanged, and
    longer while no instance of the fleet reaches the store: then nobody
    can have claimed.

    Parameters
    ----------
    get_proof_age : callable
        Returns how long ago the store showed the claim, or None.
    is_outage_agreed : callable
        Whether no other instance reaches the store.
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
