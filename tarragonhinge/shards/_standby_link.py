"""Heartbeats from a leader to its standby."""

from collections.abc import Callable
import itertools

from absl import logging
import msgspec

from tarragonhinge import base
from tarragonhinge import peers
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _outage_agreement
from tarragonhinge.shards import _record
from tarragonhinge.shards import _record_reader
from tarragonhinge.shards import _recorder
from tarragonhinge.shards import _timing

#: Silence of the standby, in lease durations, after which it is replaced.
STANDBY_REPLACEMENT_LEASES = 3

#: A leader pauses its heartbeats once less than the lease divided by
#: this number remains of its authority.
SILENCE_LEASE_DIVISOR = 4

#: Chooses a standby for a shard: ``(shard, excluded) -> Holder or None``.
StandbyChooser = Callable[
    [base.ShardId, _record.Holder | None], _record.Holder | None
]


class StandbyLink:
    """Sends heartbeats to the standby, which extend the authority.

    Parameters
    ----------
    recorder : ShardRecorder
        Holds the shard's record, which names the standby.
    authority : AuthorityLease
        Extended by acknowledgements.
    agreement : OutageAgreement
        Offered while the store is down.
    reader : RecordReader
        Detects whether the store is down.
    transport : PeerTransport
        Sends messages to the standby.
    choose_standby : callable
        Chooses a replacement for a missing standby.
    clock : Clock
        Clock of this process.
    timing : Timing
        Durations of leases and heartbeats.

    Attributes
    ----------
    contact_at : int
        Instant of the last request by which the table confirmed the
        leader.
    acknowledged_at : int
        Instant at which the last acknowledged heartbeat was sent.
    """

    def __init__(
        self,
        *,
        recorder: _recorder.ShardRecorder,
        authority: _authority.AuthorityLease,
        agreement: _outage_agreement.OutageAgreement,
        reader: _record_reader.RecordReader,
        transport: peers.PeerTransport,
        choose_standby: StandbyChooser,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.contact_at = -_record_reader.NO_CONTACT_AGE_MS
        self.acknowledged_at = -_record_reader.NO_CONTACT_AGE_MS
        self._recorder = recorder
        self._authority = authority
        self._agreement = agreement
        self._reader = reader
        self._transport = transport
        self._choose_standby = choose_standby
        self._clock = clock
        self._timing = timing
        self._sequence = itertools.count(1)
        self._standby_row_version = 0
        self._last_ack_at = clock.now()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            standby = self._recorder.record.standby
            if standby is not None:
                await self._send_heartbeat(standby)
            if standby is None or self.is_silent():
                await self._replace_standby()
            await self._clock.sleep(self._get_pause_ms())

    def _get_pause_ms(self) -> int:
        """Return the pause before the next heartbeat, in milliseconds.

        A leader that gets replies neither from its standby nor from the
        table pauses its heartbeats long enough to be replaced.  Otherwise
        they might still arrive at the standby and delay its takeover.
        """
        remaining_ms = self._authority.get_remaining_ms()
        if remaining_ms >= self._timing.lease_ms // SILENCE_LEASE_DIVISOR:
            return self._timing.heartbeat_ms
        return self._timing.silence_ms + self._timing.heartbeat_ms

    async def _send_heartbeat(self, standby: _record.Holder) -> None:
        sent_at = self._clock.now()
        heartbeat = self._make_heartbeat(standby, sent_at)
        reply = await self._transport.call(
            standby.address, heartbeat, timeout_ms=self._timing.call_timeout_ms
        )
        if not isinstance(reply, _messages.HeartbeatAck):
            return
        self._standby_row_version = reply.row_version
        if not reply.accepted:
            return
        if reply.incarnation != standby.incarnation:
            await self._record_standby(
                msgspec.structs.replace(standby, incarnation=reply.incarnation)
            )
            return
        self._last_ack_at = self._clock.now()
        self.acknowledged_at = sent_at
        self._extend(reply, sent_at)
        if not heartbeat.outage:
            self._agreement.withdraw(reply.incarnation, heartbeat.sequence)

    def _make_heartbeat(
        self, standby: _record.Holder, sent_at: int
    ) -> _messages.Heartbeat:
        version = self._recorder.row_version
        content = b""
        if self._standby_row_version != version:
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
        """Return whether to offer the standby an outage agreement.

        During a write there is no offer: the write may still take
        effect, and the standby's copy of the record would lack it.
        """
        return (
            self._reader.down
            and standby.incarnation != ""
            and self._recorder.confirmed
            and self._recorder.is_idle()
        )

    def _extend(self, reply: _messages.HeartbeatAck, sent_at: int) -> None:
        """Extend the authority by an acknowledgement.

        The last contact with the store bounds the extension.  Without
        the bound, a leader, its standby and a server that are cut off
        together would stay active beyond the wait of another claimant.
        """
        contact_at = max(self.contact_at, sent_at - reply.store_age_ms)
        bound_at = contact_at + self._timing.outage_lease_ms
        self._authority.extend_until(min(sent_at + reply.lease_ms, bound_at))

    def is_live(self, within_ms: int | None = None) -> bool:
        """Return whether the standby has acknowledged recently.

        Parameters
        ----------
        within_ms : int or None
            Longest age of the last acknowledged heartbeat; by default
            the duration of a lease.
        """
        silent_ms = self._clock.now() - self.acknowledged_at
        return silent_ms < (within_ms or self._timing.lease_ms)

    def is_silent(self) -> bool:
        """Return whether the standby has been silent for too long."""
        silent_ms = self._clock.now() - self._last_ack_at
        return silent_ms >= STANDBY_REPLACEMENT_LEASES * self._timing.lease_ms

    async def _replace_standby(self) -> None:
        chosen = self._choose_standby(
            self._recorder.shard, self._recorder.record.standby
        )
        if chosen is not None and chosen != self._recorder.record.standby:
            await self._record_standby(chosen)

    async def _record_standby(self, holder: _record.Holder) -> None:
        """Record a standby, whose acknowledgements count from then on."""

        def set_standby(record: _record.ShardRecord) -> _record.ShardRecord:
            return msgspec.structs.replace(record, standby=holder, history="")

        if not await self._recorder.write(set_standby):
            return
        self._standby_row_version = 0
        self._last_ack_at = self._clock.now()
        logging.info(
            "standby recorded shard=%s standby=%s",
            self._recorder.shard,
            holder.instance,
        )
