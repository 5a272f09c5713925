"""Leads a shard under one term."""

import asyncio
import enum

from absl import logging

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import peers
from tarragonhinge import servers
from tarragonhinge.shards import _agreement
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _link
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _owners
from tarragonhinge.shards import _reader
from tarragonhinge.shards import _record
from tarragonhinge.shards import _recorder
from tarragonhinge.shards import _timing
from tarragonhinge import stores


class LeaderState(enum.Enum):
    """Life cycle of a leadership."""

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
        The record as this instance wrote it, with its own term.
    row_version : int
        Version of the shard's row after that write.
    inherited_until : int
        Until when earlier leaders may act or have grants out.
    earlier : frozenset of InstanceId
        The instances that may act until then.
    confirmed : bool
        False if the table does not know of this leadership yet.
    row : ServiceRow
        The service's row of the operators' table.
    committer : Committer
        Writes the record.
    reader : RecordReader
        Confirms the record.
    transport : PeerTransport
        Reaches the standby.
    make_client : callable
        Makes a connection to a server.
    choose_standby : callable
        Chooses a standby in place of one that is missing.
    clock : Clock
        This process's clock.
    timing : Timing
        Durations.
    """

    def __init__(
        self,
        *,
        shard: base.ShardId,
        record: _record.ShardRecord,
        row_version: int,
        inherited_until: int,
        earlier: frozenset[base.InstanceId],
        confirmed: bool,
        row: configuration.ServiceRow,
        committer: stores.Committer,
        reader: _reader.RecordReader,
        transport: peers.PeerTransport,
        make_client: _owners.ClientFactory,
        choose_standby: _link.StandbyChooser,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.shard = shard
        self.state = LeaderState.LEADING
        self.previous_record: _record.ShardRecord | None = None
        self.previous_leaders_until = 0
        self.authority = _authority.AuthorityLease(clock=clock)
        self.agreement = _agreement.OutageAgreement()
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
        self._earlier = earlier
        self._transport = transport
        self._clock = clock
        self._timing = timing
        self._tasks: list[asyncio.Task] = []
        self._successor = base.Address("")
        self._confirming: asyncio.Task | None = None
        self.standby = _link.StandbyLink(
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
        """Return the service's row in force."""
        return self.owners.row

    def authorize(
        self, partition: base.PartitionId | None
    ) -> servers.Fence | base.NotRun:
        """Return the fencing token of a send that happens at once.

        The caller must not yield between this call and its send.
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
        """Take over a new version of the service's row."""
        self.owners.update_row(row)
        self._skip_lost(row)

    def _skip_lost(self, row: configuration.ServiceRow) -> None:
        """Wait no longer for earlier leaders that have stopped for sure.

        Only the grants that they gave last have to lapse.
        """
        if not self._earlier or not self._earlier <= set(row.lost):
            return
        bound_ms = self._timing.add_margin(self._timing.grant_ms)
        until = self._clock.now() + bound_ms
        self.owners.set_inherited(min(until, self.owners.inherited_until))
        self._earlier = frozenset()

    # Life cycle ----------------------------------------------------------

    def start(self) -> None:
        """Start the tasks of this leadership."""
        self._tasks = [
            asyncio.create_task(self.standby.run()),
        ]
        self._reader.watch(self.shard, self)
        self.owners.start()
        self._skip_lost(self.row)

    async def stop(self) -> None:
        """Give up the leadership and close all connections."""
        self.depose()
        self._reader.forget(self.shard, self)
        if self._confirming is not None:
            self._tasks.append(self._confirming)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.owners.stop()

    def depose(self) -> None:
        """End the leadership; nothing is sent under its term any more."""
        if self.state is not LeaderState.DEPOSED:
            logging.info(
                "leader ended shard=%s term=%d", self.shard, self.record.term
            )
        self.state = LeaderState.DEPOSED
        self.authority.revoke()

    # Authority -----------------------------------------------------------

    def is_urgent(self) -> bool:
        """Return whether the table is needed in place of the standby."""
        if not self.recorder.confirmed:
            return True
        return not self.standby.is_live(self._timing.lease_ms // 2)

    def take_record(self, record: _record.ShardRecord, sent_at: int) -> None:
        """Extend the authority while the table still names this term."""
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
        """Store a leadership that began without the table."""
        if await self.recorder.confirm():
            now = self._clock.now()
            until = now + self._timing.add_margin(self._timing.lease_ms)
            self.owners.set_inherited(max(until, self.owners.inherited_until))
            logging.info(
                "leader confirmed shard=%s term=%d",
                self.shard,
                self.record.term,
            )
        self._confirming = None

    def needs_new_term(self) -> bool:
        """Return whether this leader must claim its shard once more.

        That ends an agreement with a standby that is lost, and takes
        back servers that have accepted the standby's term.
        """
        age_ms = self._clock.now() - self.standby.contact_at
        if self.state is not LeaderState.LEADING:
            return False
        if age_ms > self._timing.lease_ms or not self.recorder.is_idle():
            return False
        refused = any(
            keeper.higher_term > self.record.term
            for keeper in self.owners.keepers.values()
        )
        stuck = self.agreement.may_be_held() and self.standby.is_silent()
        return refused or stuck

    # Handover ------------------------------------------------------------

    def stop_dispatching(self) -> None:
        """Send no more requests; what is in flight finishes."""
        if self.state is LeaderState.LEADING:
            self.state = LeaderState.HANDING_OVER

    async def hand_over(
        self, address: base.Address, *, history: bytes, timeout_ms: int
    ) -> bool:
        """Let another instance take over at once; True if it did.

        Requests in flight finish.
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
        """Return who leads after this leadership has ended, as a guess."""
        standby = self.record.standby
        if self._successor or standby is None:
            return self._successor
        if self.standby.is_live() or self.state is LeaderState.DEPOSED:
            return standby.address
        return base.Address("")

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
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
