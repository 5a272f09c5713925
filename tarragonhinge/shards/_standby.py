"""Standby role for a shard."""

from tarragonhinge import base
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _record
from tarragonhinge.shards import _record_reader
from tarragonhinge.shards import _timing


class ShardStandby:
    """Follows a shard's leader and its record, ready to take over.

    Parameters
    ----------
    shard : ShardId
        The shard.
    incarnation : IncarnationId
        Identifies this run of the process.
    reader : RecordReader
        Detects whether the store is down.
    clock : Clock
        Clock of this process.
    timing : Timing
        Durations of leases and heartbeats.

    Attributes
    ----------
    record : ShardRecord or None
        Copy of the shard's record.
    row_version : int
        Version of the shard's row that `record` is a copy of.
    contact_at : int
        Instant of the last request by which the table confirmed the
        leader's term.
    promised_until : int
        Instant until which an outage agreement forbids this process to
        reassign the leader's servers that it cannot reach.
    """

    def __init__(
        self,
        *,
        shard: base.ShardId,
        incarnation: base.IncarnationId,
        reader: _record_reader.RecordReader,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.shard = shard
        self.record: _record.ShardRecord | None = None
        self.row_version = 0
        self.contact_at = -_record_reader.NO_CONTACT_AGE_MS
        self.promised_until = 0
        self._incarnation = incarnation
        self._reader = reader
        self._clock = clock
        self._timing = timing
        self._agreed = False
        self._last_received = (base.Term(0), 0)
        self._last_heartbeat_at = clock.now()

    def accept(self, heartbeat: _messages.Heartbeat) -> _messages.HeartbeatAck:
        """Process a heartbeat and return its acknowledgement."""
        if (heartbeat.term, heartbeat.sequence) <= self._last_received:
            return _messages.HeartbeatAck(accepted=False)
        self._last_received = (heartbeat.term, heartbeat.sequence)
        if heartbeat.record and heartbeat.row_version >= self.row_version:
            self.record = _record.decode_record(heartbeat.record)
            self.row_version = heartbeat.row_version
        now = self._clock.now()
        self._last_heartbeat_at = now
        self._agreed = self._may_agree(heartbeat)
        lease_ms = self._timing.lease_ms
        age_ms = now - self.contact_at
        if self._agreed:
            lease_ms = self._timing.outage_lease_ms
            until = now + lease_ms - min(age_ms, heartbeat.store_age_ms)
            self.promised_until = max(self.promised_until, until)
        return _messages.HeartbeatAck(
            accepted=True,
            incarnation=self._incarnation,
            row_version=self.row_version,
            lease_ms=lease_ms,
            store_age_ms=age_ms,
        )

    def _may_agree(self, heartbeat: _messages.Heartbeat) -> bool:
        return (
            heartbeat.outage
            and self._reader.down
            and self.row_version == heartbeat.row_version
            and self.is_recorded_standby()
        )

    def is_recorded_standby(self) -> bool:
        """Return whether the record names this process as the standby."""
        return (
            self.record is not None
            and self.record.standby is not None
            and self.record.standby.incarnation == self._incarnation
        )

    def is_leader_silent(self) -> bool:
        """Return whether the leader's silence calls for a takeover."""
        silent_ms = self._clock.now() - self._last_heartbeat_at
        return silent_ms >= self._timing.silence_ms

    def may_lead_without_table(self) -> bool:
        """Return whether an outage agreement allows a takeover now."""
        return (
            self._agreed
            and self._reader.down
            and self.is_leader_silent()
            and self._clock.now() < self.get_authority_expiry()
        )

    def get_authority_expiry(self) -> int:
        """Return when the authority of a takeover without the table expires.

        It lasts for an outage lease from the last contact with the table.
        """
        return self.contact_at + self._timing.outage_lease_ms

    # Records -------------------------------------------------------------

    def needs_immediate_read(self) -> bool:
        """Return whether the record must be read without delay."""
        return False

    def apply_record(self, record: _record.ShardRecord, sent_at: int) -> None:
        """Register a contact with the table, which ends an agreement."""
        if self.record is not None and record.term == self.record.term:
            self.contact_at = max(self.contact_at, sent_at)
            self._agreed = False
