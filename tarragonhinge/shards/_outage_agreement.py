"""Leader's side of an outage agreement with its standby."""

from tarragonhinge import base


class OutageAgreement:
    """Tracks whether a standby may take over without the table.

    While the store is down, the leader offers its standby the right to
    take over without writing to the table.  The agreement may be held
    from the first heartbeat that offers it, even if its acknowledgement
    is lost, until the same process acknowledges a later heartbeat
    without the offer.  Meanwhile the leader must not write the record,
    since the standby would act on a stale copy.
    """

    def __init__(self) -> None:
        self._offered_to = base.IncarnationId("")
        self._sequence = 0

    def offer(self, incarnation: base.IncarnationId, sequence: int) -> None:
        """Register a heartbeat that is about to offer the agreement."""
        self._offered_to = incarnation
        self._sequence = sequence

    def withdraw(self, incarnation: base.IncarnationId, sequence: int) -> None:
        """Register the acknowledgement of a heartbeat without an offer."""
        if incarnation == self._offered_to and sequence > self._sequence:
            self._offered_to = base.IncarnationId("")

    def may_be_held(self) -> bool:
        """Return whether a standby may act on the agreement."""
        return self._offered_to != ""
