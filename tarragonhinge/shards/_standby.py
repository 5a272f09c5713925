"""Stands by for a shard's leader."""

from tarragonhinge import base
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _reader
from tarragonhinge.shards import _record
from tarragonhinge.shards import _timing


class ShardStandby:
    """Copy of a shard's record, and the promise made to its leader.

    Parameters
    ----------
    shard : ShardId
        The shard.
    incarnation : IncarnationId
        This run of the process.
    reader : RecordReader
        Tells whether the store is down.
    clock : Clock
        This process's clock.
    timing : Timing
        Durations.

    Attributes
    ----------
    promised_until : int
        Until when servers out of reach are left to the leader.
    """

    def __init__(
        self,
        *,
        shard: base.ShardId,
        incarnation: base.IncarnationId,
        reader: _reader.RecordReader,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.shard = shard
        self.record: _record.ShardRecord | None = None
        self.row_version = 0
        self.contact_at = -_reader.NEVER_MS
        self.promised_until = 0
        self._incarnation = incarnation
        self._reader = reader
        self._clock = clock
        self._timing = timing
        self._agreed = False
        self._last = (base.Term(0), 0)
        self._heard_at = clock.now()

    def accept(self, beat: _messages.Heartbeat) -> _messages.HeartbeatAck:
        """Take a heartbeat and return the acknowledgement."""
        if (beat.term, beat.sequence) <= self._last:
            return _messages.HeartbeatAck(accepted=False)
        self._last = (beat.term, beat.sequence)
        if beat.record and beat.row_version >= self.row_version:
            self.record = _record.decode_record(beat.record)
            self.row_version = beat.row_version
        now = self._clock.now()
        self._heard_at = now
        self._agreed = self._may_agree(beat)
        lease_ms = self._timing.lease_ms
        age_ms = now - self.contact_at
        if self._agreed:
            lease_ms = self._timing.outage_lease_ms
            until = now + lease_ms - min(age_ms, beat.store_age_ms)
            self.promised_until = max(self.promised_until, until)
        return _messages.HeartbeatAck(
            accepted=True,
            incarnation=self._incarnation,
            row_version=self.row_version,
            lease_ms=lease_ms,
            store_age_ms=age_ms,
        )

    def _may_agree(self, beat: _messages.Heartbeat) -> bool:
        return (
            beat.outage
            and self._reader.down
            and self.row_version == beat.row_version
            and self.is_appointed()
        )

    def is_appointed(self) -> bool:
        """Return whether the record names this run of the process."""
        return (
            self.record is not None
            and self.record.standby is not None
            and self.record.standby.incarnation == self._incarnation
        )

    def is_leader_silent(self) -> bool:
        """Return whether the leader has been silent for too long."""
        silent_ms = self._clock.now() - self._heard_at
        return silent_ms >= self._timing.silence_ms

    def may_lead_without_table(self) -> bool:
        """Return whether an agreement covers a takeover in an outage."""
        return (
            self._agreed
            and self._reader.down
            and self.is_leader_silent()
            and self._clock.now() < self.get_authority_end()
        )

    def get_authority_end(self) -> int:
        """Return when a takeover without the table must end."""
        return self.contact_at + self._timing.outage_lease_ms

    # Records -------------------------------------------------------------

    def is_urgent(self) -> bool:
        """Return whether the record is needed at once."""
        return False

    def take_record(self, record: _record.ShardRecord, sent_at: int) -> None:
        """Note a contact with the table; an agreement ends with it."""
        if self.record is not None and record.term == self.record.term:
            self.contact_at = max(self.contact_at, sent_at)
            self._agreed = False
