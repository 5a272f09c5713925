"""Leads a shard under one term."""

import asyncio
from collections.abc import Callable
import enum

from absl import logging
import msgspec

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import peers
from tarragonhinge import servers
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _owners
from tarragonhinge.shards import _record
from tarragonhinge.shards import _recorder
from tarragonhinge.shards import _timing
from tarragonhinge import stores

#: Silence of the standby, in leases, after which it is replaced.
STANDBY_LEASES = 3

#: Chooses a standby for a shard: ``(shard, former) -> Holder or None``.
StandbyChooser = Callable[
    [base.ShardId, _record.Holder | None], _record.Holder | None
]


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
    inherited : bool
        True if an earlier leader may still act or have grants out.
    row : ServiceRow
        The service's row of the operators' table.
    committer : Committer
        Writes the record.
    table : TableClient
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
        inherited: bool,
        row: configuration.ServiceRow,
        committer: stores.Committer,
        table: stores.TableClient,
        transport: peers.PeerTransport,
        make_client: _owners.ClientFactory,
        choose_standby: StandbyChooser,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.shard = shard
        self.state = LeaderState.LEADING
        self.former: _record.ShardRecord | None = None
        self.authority = _authority.AuthorityLease(clock=clock)
        self.recorder = _recorder.ShardRecorder(
            shard=shard,
            record=record,
            row_version=row_version,
            committer=committer,
            on_conflict=self._depose,
        )
        self._table = table
        self._transport = transport
        self._choose_standby = choose_standby
        self._clock = clock
        self._timing = timing
        self._dialect = servers.DIALECTS.find(row.dialect)()
        self._tasks: list[asyncio.Task] = []
        self._standby_version = 0
        self._standby_heard_at = clock.now()
        self.owners = _owners.ShardOwners(
            row=row,
            recorder=self.recorder,
            authority=self.authority,
            inherited_until=self._compute_inherited_until(inherited),
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

    def _compute_inherited_until(self, inherited: bool) -> int:
        """Return when grants of earlier leaders have lapsed everywhere."""
        if not inherited:
            return self._clock.now()
        wait_ms = self._dialect.get_takeover_wait_ms(
            reachable=False,
            authority_ms=self._timing.lease_ms,
            grant_ms=self._timing.grant_ms,
        )
        return self._clock.now() + wait_ms + 2 * self._timing.margin_ms

    def authorize(
        self, partition: base.PartitionId
    ) -> servers.Fence | base.NotRun:
        """Return the fencing token of a send that happens at once.

        The caller must not yield between this call and its send.
        """
        if self.state is LeaderState.DEPOSED:
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

    # Life cycle ----------------------------------------------------------

    def start(self) -> None:
        """Start the tasks of this leadership."""
        self._tasks = [
            asyncio.create_task(self._confirm_record()),
            asyncio.create_task(self._beat_standby()),
        ]
        self.owners.start()

    async def stop(self) -> None:
        """Give up the leadership and close all connections."""
        self._depose()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.owners.stop()

    def _depose(self) -> None:
        """End the leadership; nothing is sent under its term any more."""
        if self.state is not LeaderState.DEPOSED:
            logging.info(
                "leader ended shard=%s term=%d", self.shard, self.record.term
            )
        self.state = LeaderState.DEPOSED
        self.authority.revoke()

    # Authority -----------------------------------------------------------

    async def _confirm_record(self) -> None:
        """Extend the authority while the table still names this term."""
        key = _record.make_record_key(self.shard)
        while True:
            sent_at = self._clock.now()
            rows = await self._table.read([key])
            if not isinstance(rows, stores.Unavailable):
                record = _record.decode_record(rows[0].value)
                if record.term != self.record.term:
                    self._depose()
                    return
                self.authority.extend(
                    sent_at=sent_at, lease_ms=self._timing.lease_ms
                )
            await self._clock.sleep(self._timing.lease_ms // 3)

    async def _beat_standby(self) -> None:
        """Extend the authority while the standby acknowledges."""
        while True:
            standby = self.record.standby
            if standby is not None:
                await self._call_standby(standby)
            if standby is None or self._is_standby_silent():
                await self._replace_standby()
            await self._clock.sleep(self._timing.heartbeat_ms)

    async def _call_standby(self, standby: _record.Holder) -> None:
        version = self.recorder.row_version
        content = b""
        if self._standby_version != version:
            content = _record.encode_record(self.record)
        sent_at = self._clock.now()
        reply = await self._transport.call(
            standby.address,
            _messages.Heartbeat(
                shard=self.shard,
                term=self.record.term,
                row_version=version,
                record=content,
            ),
            timeout_ms=self._timing.call_timeout_ms,
        )
        if not isinstance(reply, _messages.HeartbeatAck):
            return
        self._standby_version = reply.row_version
        self._standby_heard_at = self._clock.now()
        if reply.accepted:
            self.authority.extend(sent_at=sent_at, lease_ms=reply.lease_ms)

    def _is_standby_silent(self) -> bool:
        silent_ms = self._clock.now() - self._standby_heard_at
        return silent_ms >= STANDBY_LEASES * self._timing.lease_ms

    async def _replace_standby(self) -> None:
        chosen = self._choose_standby(self.shard, self.record.standby)
        if chosen is None or chosen == self.record.standby:
            return

        def appoint(record: _record.ShardRecord) -> _record.ShardRecord:
            return msgspec.structs.replace(record, standby=chosen, history="")

        if not await self.recorder.write(appoint):
            return
        self._standby_version = 0
        self._standby_heard_at = self._clock.now()
        logging.info(
            "standby replaced shard=%s standby=%s",
            self.shard,
            chosen.instance,
        )

    # Handover ------------------------------------------------------------

    async def hand_over(self, *, history: bytes, deadline_ms: int) -> bool:
        """Let the standby take over at once; True if it did.

        From here on nothing is dispatched; requests in flight finish.
        """
        self.state = LeaderState.HANDING_OVER
        standby = self.record.standby
        if standby is None:
            return False
        reply = await self._transport.call(
            standby.address,
            _messages.Handover(
                shard=self.shard,
                term=self.record.term,
                row_version=self.recorder.row_version,
                record=_record.encode_record(self.record),
                history=history,
            ),
            timeout_ms=deadline_ms,
        )
        return isinstance(reply, _messages.HandoverAck) and reply.accepted

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        standby = self.record.standby
        return {
            "shard": self.shard,
            "term": self.record.term,
            "state": self.state.value,
            "authority_left_ms": self.authority.get_remaining_ms(),
            "standby": standby.instance if standby else None,
            **self.owners.dump(),
        }
