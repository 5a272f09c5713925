"""The leader's link to its standby."""

from collections.abc import Callable
import itertools

from absl import logging
import msgspec

from tarragonhinge import base
from tarragonhinge import peers
from tarragonhinge.shards import _agreement
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _reader
from tarragonhinge.shards import _record
from tarragonhinge.shards import _recorder
from tarragonhinge.shards import _timing

#: Silence of the standby, in leases, after which it is replaced.
STANDBY_LEASES = 3

#: Part of the lease that is left when a leader that hears nobody falls
#: silent.
UNHEARD_PART = 4

#: Chooses a standby for a shard: ``(shard, former) -> Holder or None``.
StandbyChooser = Callable[
    [base.ShardId, _record.Holder | None], _record.Holder | None
]


class StandbyLink:
    """Heartbeats that extend the authority while the standby answers.

    Parameters
    ----------
    recorder : ShardRecorder
        The shard's record, which names the standby.
    authority : AuthorityLease
        Extended by acknowledgements.
    agreement : OutageAgreement
        Offered while the store is down.
    reader : RecordReader
        Tells whether the store is down.
    transport : PeerTransport
        Reaches the standby.
    choose_standby : callable
        Chooses a standby in place of one that is missing.
    clock : Clock
        This process's clock.
    timing : Timing
        Durations.

    Attributes
    ----------
    contact_at : int
        Last time at which the table confirmed the leader.
    acknowledged_at : int
        When the last heartbeat that was acknowledged was sent.
    """

    def __init__(
        self,
        *,
        recorder: _recorder.ShardRecorder,
        authority: _authority.AuthorityLease,
        agreement: _agreement.OutageAgreement,
        reader: _reader.RecordReader,
        transport: peers.PeerTransport,
        choose_standby: StandbyChooser,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.contact_at = -_reader.NEVER_MS
        self.acknowledged_at = -_reader.NEVER_MS
        self._recorder = recorder
        self._authority = authority
        self._agreement = agreement
        self._reader = reader
        self._transport = transport
        self._choose_standby = choose_standby
        self._clock = clock
        self._timing = timing
        self._sequence = itertools.count(1)
        self._version = 0
        self._heard_at = clock.now()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            standby = self._recorder.record.standby
            if standby is not None:
                await self._call(standby)
            if standby is None or self.is_silent():
                await self._replace()
            await self._clock.sleep(self._get_pause_ms())

    def _get_pause_ms(self) -> int:
        """Return the pause before the next heartbeat.

        A leader that hears neither its standby nor the table falls
        silent for long enough to be replaced: its heartbeats may still
        arrive, and would keep the standby waiting.
        """
        left_ms = self._authority.get_remaining_ms()
        if left_ms >= self._timing.lease_ms // UNHEARD_PART:
            return self._timing.heartbeat_ms
        return self._timing.silence_ms + self._timing.heartbeat_ms

    async def _call(self, standby: _record.Holder) -> None:
        sent_at = self._clock.now()
        beat = self._make_heartbeat(standby, sent_at)
        reply = await self._transport.call(
            standby.address, beat, timeout_ms=self._timing.call_timeout_ms
        )
        if not isinstance(reply, _messages.HeartbeatAck):
            return
        self._version = reply.row_version
        if not reply.accepted:
            return
        if reply.incarnation != standby.incarnation:
            await self._appoint(
                msgspec.structs.replace(standby, incarnation=reply.incarnation)
            )
            return
        self._heard_at = self._clock.now()
        self.acknowledged_at = sent_at
        self._extend(reply, sent_at)
        if not beat.outage:
            self._agreement.withdraw(reply.incarnation, beat.sequence)

    def _make_heartbeat(
        self, standby: _record.Holder, sent_at: int
    ) -> _messages.Heartbeat:
        version = self._recorder.row_version
        content = b""
        if self._version != version:
            content = _record.encode_record(self._recorder.record)
        sequence = next(self._sequence)
        outage = self._may_offer(standby)
        if outage:
            self._agreement.offer(standby.incarnation, sequence)
        return _messages.Heartbeat(
            shard=self._recorder.shard,
            term=self._recorder.record.term,
            row_version=version,
            sequence=sequence,
            record=content,
            outage=outage,
            store_age_ms=sent_at - self.contact_at,
        )

    def _may_offer(self, standby: _record.Holder) -> bool:
        """Return whether the standby may be offered an outage agreement.

        A write under way may still take effect, and the standby's copy
        of the record would not show it.
        """
        return (
            self._reader.down
            and standby.incarnation != ""
            and self._recorder.confirmed
            and self._recorder.is_idle()
        )

    def _extend(self, reply: _messages.HeartbeatAck, sent_at: int) -> None:
        """Count an acknowledgement, bounded by the contact with the store.

        Without the bound a leader, its standby and a server that are cut
        off together would go on while a stranger waits for their end.
        """
        contact_at = max(self.contact_at, sent_at - reply.store_age_ms)
        bound_at = contact_at + self._timing.outage_lease_ms
        self._authority.extend_until(min(sent_at + reply.lease_ms, bound_at))

    def is_live(self, within_ms: int | None = None) -> bool:
        """Return whether the standby has acknowledged lately.

        Lately means within a lease, unless `within_ms` tells otherwise.
        """
        silent_ms = self._clock.now() - self.acknowledged_at
        return silent_ms < (within_ms or self._timing.lease_ms)

    def is_silent(self) -> bool:
        """Return whether the standby is to be replaced."""
        silent_ms = self._clock.now() - self._heard_at
        return silent_ms >= STANDBY_LEASES * self._timing.lease_ms

    async def _replace(self) -> None:
        chosen = self._choose_standby(
            self._recorder.shard, self._recorder.record.standby
        )
        if chosen is not None and chosen != self._recorder.record.standby:
            await self._appoint(chosen)

    async def _appoint(self, holder: _record.Holder) -> None:
        """Record a standby; its acknowledgements count from then on."""

        def appoint(record: _record.ShardRecord) -> _record.ShardRecord:
            return msgspec.structs.replace(record, standby=holder, history="")

        if not await self._recorder.write(appoint):
            return
        self._version = 0
        self._heard_at = self._clock.now()
        logging.info(
            "standby recorded shard=%s standby=%s",
            self._recorder.shard,
            holder.instance,
        )
