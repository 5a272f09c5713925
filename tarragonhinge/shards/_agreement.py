"""The leader's side of an agreement for an outage of the store."""

from tarragonhinge import base


class OutageAgreement:
    """Whether a standby may hold the right to take over without the table.

    It counts as held from the first heartbeat that offered it, even if
    the acknowledgement was lost, until the same process acknowledged a
    later heartbeat that did not offer it.  Meanwhile the leader writes
    nothing, since the standby would act on a stale record.
    """

    def __init__(self) -> None:
        self._offered_to = base.IncarnationId("")
        self._sequence = 0

    def offer(self, incarnation: base.IncarnationId, sequence: int) -> None:
        """Note a heartbeat that is about to offer the agreement."""
        self._offered_to = incarnation
        self._sequence = sequence

    def withdraw(self, incarnation: base.IncarnationId, sequence: int) -> None:
        """Note the acknowledgement of a heartbeat that did not offer it."""
        if incarnation == self._offered_to and sequence > self._sequence:
            self._offered_to = base.IncarnationId("")

    def may_be_held(self) -> bool:
        """Return whether a standby may act on the agreement."""
        return self._offered_to != ""
