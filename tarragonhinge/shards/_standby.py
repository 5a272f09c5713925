"""Stands by for a shard's leader."""

from tarragonhinge import base
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _record
from tarragonhinge.shards import _timing


class ShardStandby:
    """Copy of a shard's record, and the promise made to its leader.

    Parameters
    ----------
    shard : ShardId
        The shard.
    clock : Clock
        This process's clock.
    timing : Timing
        Durations.
    """

    def __init__(
        self,
        *,
        shard: base.ShardId,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.shard = shard
        self.record: _record.ShardRecord | None = None
        self.row_version = 0
        self._clock = clock
        self._timing = timing
        self._heard_at = clock.now()

    def accept(self, beat: _messages.Heartbeat) -> _messages.HeartbeatAck:
        """Take a heartbeat and return the acknowledgement."""
        if self.record is not None and beat.term < self.record.term:
            return _messages.HeartbeatAck(accepted=False)
        if beat.record and beat.row_version >= self.row_version:
            self.record = _record.decode_record(beat.record)
            self.row_version = beat.row_version
        self._heard_at = self._clock.now()
        return _messages.HeartbeatAck(
            accepted=True,
            row_version=self.row_version,
            lease_ms=self._timing.lease_ms,
        )

    def is_leader_silent(self) -> bool:
        """Return whether the leader has been silent for too long."""
        silent_ms = self._clock.now() - self._heard_at
        return silent_ms >= self._timing.silence_ms
