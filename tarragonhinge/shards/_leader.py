"""Leadership of a shard under one term."""

import asyncio
import enum

from absl import logging

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import peers
from tarragonhinge import servers
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _outage_agreement
from tarragonhinge.shards import _owners
from tarragonhinge.shards import _record
from tarragonhinge.shards import _record_reader
from tarragonhinge.shards import _recorder
from tarragonhinge.shards import _standby_link
from tarragonhinge.shards import _timing
from tarragonhinge import stores


class LeaderState(enum.Enum):
    """State of a leadership."""

    LEADING = "leading"
    HANDING_OVER = "handing_over"
    DEPOSED = "deposed"


class ShardLeader:
    """Leadership of one shard under one term.

    Parameters
    ----------
    shard : ShardId
        The shard.
    record : ShardRecord
        The record that this instance wrote, with its own term.
    row_version : int
        Version of the shard's row after that write.
    inherited_until : int
        Instant by which the authority and grants of previous leaders
        have expired.
    previous_holders : frozenset of InstanceId
        Instances that may act under an earlier term until
        `inherited_until`.
    confirmed : bool
        False if the leadership is not stored in the table yet.
    row : ServiceRow
        The service's row of the operators' table.
    committer : Committer
        Writes the record.
    reader : RecordReader
        Confirms the record.
    transport : PeerTransport
        Sends messages to the standby.
    make_client : callable
        Creates the connection to a server.
    choose_standby : callable
        Chooses a replacement for a missing standby.
    clock : Clock
        Clock of this process.
    timing : Timing
        Durations of leases and heartbeats.

    Attributes
    ----------
    previous_record : ShardRecord or None
        Record that the claim of this leadership replaced.
    previous_leaders_until : int
        Value of `inherited_until` when the leadership began.
    """

    def __init__(
        self,
        *,
        shard: base.ShardId,
        record: _record.ShardRecord,
        row_version: int,
        inherited_until: int,
        previous_holders: frozenset[base.InstanceId],
        confirmed: bool,
        row: configuration.ServiceRow,
        committer: stores.Committer,
        reader: _record_reader.RecordReader,
        transport: peers.PeerTransport,
        make_client: _owners.ClientFactory,
        choose_standby: _standby_link.StandbyChooser,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.shard = shard
        self.state = LeaderState.LEADING
        self.previous_record: _record.ShardRecord | None = None
        self.previous_leaders_until = 0
        self.authority = _authority.AuthorityLease(clock=clock)
        self.agreement = _outage_agreement.OutageAgreement()
        self.recorder = _recorder.ShardRecorder(
            shard=shard,
            record=record,
            row_version=row_version,
            committer=committer,
            on_conflict=self.depose,
            agreement=self.agreement,
            clock=clock,
        )
        self.recorder.confirmed = confirmed
        self._reader = reader
        self._previous_holders = previous_holders
        self._transport = transport
        self._clock = clock
        self._timing = timing
        self._tasks: list[asyncio.Task] = []
        self._successor = base.Address("")
        self._confirming: asyncio.Task | None = None
        self.standby = _standby_link.StandbyLink(
            recorder=self.recorder,
            authority=self.authority,
            agreement=self.agreement,
            reader=reader,
            transport=transport,
            choose_standby=choose_standby,
            clock=clock,
            timing=timing,
        )
        self.owners = _owners.ShardOwners(
            row=row,
            recorder=self.recorder,
            authority=self.authority,
            inherited_until=inherited_until,
            make_client=make_client,
            clock=clock,
            timing=timing,
        )

    @property
    def record(self) -> _record.ShardRecord:
        """Return the shard's record."""
        return self.recorder.record

    @property
    def row(self) -> configuration.ServiceRow:
        """Return the current row of the service."""
        return self.owners.row

    def authorize(
        self, partition: base.PartitionId | None
    ) -> servers.Fence | base.NotRun:
        """Return the fencing token for a request that is sent immediately.

        The caller must not yield to the event loop between this call and
        the send, since the authority may end meanwhile.

        Returns
        -------
        Fence or NotRun
            The token, or the reason why the request must not be sent.
        """
        if self.state is not LeaderState.LEADING:
            return base.NotRun(reason=base.NotRunReason.NOT_LEADER)
        if not self.authority.is_valid():
            return base.NotRun(
                reason=base.NotRunReason.NO_AUTHORITY,
                retry_after_ms=self._timing.heartbeat_ms,
            )
        if self.owners.find_owner(partition) is None:
            return base.NotRun(
                reason=base.NotRunReason.NO_OWNER,
                retry_after_ms=self._timing.heartbeat_ms,
            )
        return self.owners.make_fence(partition)

    def update_row(self, row: configuration.ServiceRow) -> None:
        """Apply a new version of the service's row."""
        self.owners.update_row(row)
        self._skip_lost_holders(row)

    def _skip_lost_holders(self, row: configuration.ServiceRow) -> None:
        """Shorten the wait for previous leaders that are declared lost.

        Once an operator has declared all of them lost, only their last
        grants still have to lapse.
        """
        if not self._previous_holders or not self._previous_holders <= set(
            row.lost
        ):
            return
        wait_ms = self._timing.add_margin(self._timing.grant_ms)
        until = self._clock.now() + wait_ms
        self.owners.set_inherited_until(
            min(until, self.owners.inherited_until)
        )
        self._previous_holders = frozenset()

    # Life cycle ----------------------------------------------------------

    def start(self) -> None:
        """Start heartbeats, record reads and assignment."""
        self._tasks = [
            asyncio.create_task(self.standby.run()),
        ]
        self._reader.watch(self.shard, self)
        self.owners.start()
        self._skip_lost_holders(self.row)

    async def stop(self) -> None:
        """End the leadership and close all connections."""
        self.depose()
        self._reader.unwatch(self.shard, self)
        if self._confirming is not None:
            self._tasks.append(self._confirming)
        await base.cancel_tasks(self._tasks)
        await self.owners.stop()

    def depose(self) -> None:
        """End the leadership; nothing more is sent under its term."""
        if self.state is not LeaderState.DEPOSED:
            logging.info(
                "leader ended shard=%s term=%d", self.shard, self.record.term
            )
        self.state = LeaderState.DEPOSED
        self.authority.revoke()

    # Authority -----------------------------------------------------------

    def needs_immediate_read(self) -> bool:
        """Return whether the record must be read without delay.

        An immediate read is needed if the leadership is not stored yet,
        or the standby has not acknowledged a heartbeat for half a lease.
        """
        if not self.recorder.confirmed:
            return True
        return not self.standby.is_live(self._timing.lease_ms // 2)

    def apply_record(self, record: _record.ShardRecord, sent_at: int) -> None:
        """Extend the authority if the stored record has this term.

        A higher term in the table deposes the leader.  A lower term shows
        that a leadership that began without the table can be stored now.
        """
        if record.term > self.record.term:
            self.depose()
        elif record.term == self.record.term:
            self.standby.contact_at = max(self.standby.contact_at, sent_at)
            self.authority.extend(
                sent_at=sent_at, lease_ms=self._timing.lease_ms
            )
            self.owners.retry_writes()
        elif not self.recorder.confirmed and self._confirming is None:
            self._confirming = asyncio.create_task(self._confirm())

    async def _confirm(self) -> None:
        """Store a leadership that began during a store outage."""
        if await self.recorder.confirm():
            now = self._clock.now()
            until = now + self._timing.add_margin(self._timing.lease_ms)
            self.owners.set_inherited_until(
                max(until, self.owners.inherited_until)
            )
            logging.info(
                "leader confirmed shard=%s term=%d",
                self.shard,
                self.record.term,
            )
        self._confirming = None

    def needs_new_term(self) -> bool:
        """Return whether this leader must claim its shard again.

        A new claim ends an outage agreement with a lost standby, and
        regains servers that have accepted the standby's term.
        """
        age_ms = self._clock.now() - self.standby.contact_at
        if self.state is not LeaderState.LEADING:
            return False
        if age_ms > self._timing.lease_ms or not self.recorder.is_idle():
            return False
        term_refused = any(
            keeper.higher_term > self.record.term
            for keeper in self.owners.keepers.values()
        )
        agreement_unresolved = (
            self.agreement.may_be_held() and self.standby.is_silent()
        )
        return term_refused or agreement_unresolved

    # Handover ------------------------------------------------------------

    def stop_dispatching(self) -> None:
        """Dispatch no more requests; those in flight finish."""
        if self.state is LeaderState.LEADING:
            self.state = LeaderState.HANDING_OVER

    async def hand_over(
        self, address: base.Address, *, history: bytes, timeout_ms: int
    ) -> bool:
        """Ask another instance to take over immediately.

        Requests in flight finish, but no more are dispatched.

        Parameters
        ----------
        address : Address
            Address of the instance.
        history : bytes
            Encoded request history of the shard.
        timeout_ms : int
            Timeout of the call.

        Returns
        -------
        bool
            True if the instance took over.
        """
        self.stop_dispatching()
        self._successor = address
        reply = await self._transport.call(
            address,
            _messages.Handover(
                shard=self.shard,
                term=self.record.term,
                row_version=self.recorder.row_version,
                record=_record.encode_record(self.record),
                history=history,
            ),
            timeout_ms=timeout_ms,
        )
        return isinstance(reply, _messages.HandoverAck) and reply.accepted

    def find_successor(self) -> base.Address:
        """Return the address of the probable next leader, or an empty one."""
        standby = self.record.standby
        if self._successor or standby is None:
            return self._successor
        if self.standby.is_live() or self.state is LeaderState.DEPOSED:
            return standby.address
        return base.Address("")

    def dump(self) -> dict:
        """Return the internal state, for inspection by operators."""
        standby = self.record.standby
        return {
            "shard": self.shard,
            "term": self.record.term,
            "state": self.state.value,
            "confirmed": self.recorder.confirmed,
            "agreement": self.agreement.may_be_held(),
            "authority_left_ms": self.authority.get_remaining_ms(),
            "standby": standby.instance if standby else None,
            **self.owners.dump(),
        }
