"""Decides which shards this instance leads or stands by for."""

import asyncio
from collections.abc import Callable

from absl import logging
import msgspec
import reactivex
import reactivex.subject

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge.shards import _leader
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _owners
from tarragonhinge.shards import _record
from tarragonhinge.shards import _standby
from tarragonhinge.shards import _timing
from tarragonhinge import stores

#: Period at which an instance looks for shards without a leader.
CLAIM_PERIOD_MS = 500

#: How long a claim of a lower-ranked instance waits for a higher one.
RANK_DELAY_MS = 1000

#: Candidates for the leadership of one shard.
CANDIDATES = 3


class ShardCoordinator:
    """Leads and stands by for shards of this instance's region.

    Parameters
    ----------
    me : InstanceEntry
        This instance.
    incarnation : IncarnationId
        This run of the process.
    view : TableView
        The operators' table in force.
    instances : InstanceView
        The platform's list.
    table : TableClient
        The table service.
    committer : Committer
        Writes records.
    transport : PeerTransport
        Reaches the other instances.
    make_client : callable
        Makes a connection to a server.
    clock : Clock
        This process's clock.
    timing : Timing
        Durations.
    """

    def __init__(
        self,
        *,
        me: membership.InstanceEntry,
        incarnation: base.IncarnationId,
        view: configuration.TableView,
        instances: membership.InstanceView,
        table: stores.TableClient,
        committer: stores.Committer,
        transport: peers.PeerTransport,
        make_client: _owners.ClientFactory,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.leaders: dict[base.ShardId, _leader.ShardLeader] = {}
        self.standbys: dict[base.ShardId, _standby.ShardStandby] = {}
        self.on_history: Callable[[base.ShardId, bytes], None] | None = None
        self._me = me
        self._holder = _record.Holder(
            instance=me.instance,
            incarnation=incarnation,
            address=me.address,
        )
        self._view = view
        self._instances = instances
        self._table = table
        self._committer = committer
        self._transport = transport
        self._make_client = make_client
        self._clock = clock
        self._timing = timing
        self._stopping = False
        self._claiming: set[base.ShardId] = set()
        self._missing_since: dict[base.ShardId, int] = {}
        self._tasks: list[asyncio.Task] = []
        self._leaderships = reactivex.subject.Subject()
        transport.handle(_messages.Heartbeat, self._on_heartbeat)
        transport.handle(_messages.Handover, self._on_handover)
        transport.handle(_messages.LeaderQuery, self._on_query)

    @property
    def view(self) -> configuration.TableView:
        """Return the versions of the operators' table."""
        return self._view

    @property
    def leaderships(self) -> reactivex.Observable:
        """Return the stream of newly started `ShardLeader` objects."""
        return self._leaderships

    def start(self) -> None:
        """Start claiming and watching."""
        self._view.changes.subscribe(self._update_rows)
        self._tasks = [
            asyncio.create_task(self._keep_claiming()),
            asyncio.create_task(self._keep_watching()),
        ]

    async def stop(self) -> None:
        """Stop all leaderships without a handover."""
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for leader in list(self.leaders.values()):
            await leader.stop()

    async def hand_over(
        self, make_history: Callable[[base.ShardId], bytes], timeout_ms: int
    ) -> int:
        """Hand every leadership to its standby; return how many failed."""
        self._stopping = True
        results = await asyncio.gather(
            *(
                leader.hand_over(
                    history=make_history(leader.shard),
                    deadline_ms=timeout_ms,
                )
                for leader in self.leaders.values()
            )
        )
        return results.count(False)

    def find_leader_address(self, shard: base.ShardId) -> base.Address:
        """Return the address of a shard's leader, or an empty one."""
        leader = self.leaders.get(shard)
        if leader is not None:
            if leader.state is _leader.LeaderState.LEADING:
                return self._me.address
            standby = leader.record.standby
            return standby.address if standby else base.Address("")
        standby_copy = self.standbys.get(shard)
        if standby_copy is not None and standby_copy.record is not None:
            return standby_copy.record.leader.address
        return base.Address("")

    # Messages ------------------------------------------------------------

    async def _on_heartbeat(
        self, beat: _messages.Heartbeat
    ) -> _messages.HeartbeatAck:
        own = self.leaders.get(beat.shard)
        busy = beat.shard in self._claiming or self._stopping
        if busy or (own is not None and own.record.term >= beat.term):
            return _messages.HeartbeatAck(accepted=False)
        standby = self.standbys.get(beat.shard)
        if standby is None:
            standby = _standby.ShardStandby(
                shard=beat.shard, clock=self._clock, timing=self._timing
            )
            self.standbys[beat.shard] = standby
        return standby.accept(beat)

    async def _on_handover(
        self, message: _messages.Handover
    ) -> _messages.HandoverAck:
        if self._stopping or message.shard in self._claiming:
            return _messages.HandoverAck(accepted=False)
        record = _record.decode_record(message.record)
        accepted = await self._claim(
            message.shard, record, message.row_version
        )
        if accepted and self.on_history is not None:
            self.on_history(message.shard, message.history)
        return _messages.HandoverAck(accepted=accepted)

    async def _on_query(
        self, query: _messages.LeaderQuery
    ) -> _messages.LeaderReply:
        leader = self.leaders.get(query.shard)
        return _messages.LeaderReply(
            leads=leader is not None
            and leader.state is _leader.LeaderState.LEADING,
            stands_by=query.shard in self.standbys,
            leader=self.find_leader_address(query.shard),
        )

    # Claims --------------------------------------------------------------

    def _update_rows(self, table: configuration.OperatorsTable) -> None:
        for shard, leader in self.leaders.items():
            service, _ = base.split_shard_id(shard)
            row = table.find_row(service)
            if row is not None:
                leader.owners.update_row(row)

    async def _keep_watching(self) -> None:
        """Take over from leaders that this instance stands by for."""
        while True:
            for shard, standby in list(self.standbys.items()):
                if standby.record is None or not standby.is_leader_silent():
                    continue
                if shard not in self._claiming:
                    await self._claim(
                        shard, standby.record, standby.row_version
                    )
            await self._reap()
            await self._clock.sleep(self._timing.heartbeat_ms // 5)

    async def _reap(self) -> None:
        """Close leaderships that a higher term has ended."""
        for shard, leader in list(self.leaders.items()):
            if leader.state is _leader.LeaderState.DEPOSED:
                del self.leaders[shard]
                await leader.stop()

    async def _keep_claiming(self) -> None:
        """Claim shards that have no leader."""
        while True:
            region = self._me.region
            for shard in self._view.current.list_shards(region):
                if shard not in self.leaders and shard not in self.standbys:
                    await self._consider(shard)
            await self._clock.sleep(CLAIM_PERIOD_MS)

    def _rank(self, shard: base.ShardId) -> list[membership.InstanceEntry]:
        """Return the live instances of the region by preference."""
        service, region = base.split_shard_id(shard)
        row = self._view.current.find_row(service)
        eligible = {
            entry.instance: entry
            for entry in self._instances.list_ready(region)
            if row is None
            or not row.instances
            or entry.instance in row.instances
        }
        names = membership.rank_names(shard, eligible)
        return [eligible[name] for name in names]

    async def _consider(self, shard: base.ShardId) -> None:
        """Claim a shard if no leader answers for it."""
        ranked = [entry.instance for entry in self._rank(shard)]
        if self._me.instance not in ranked[:CANDIDATES]:
            return
        rank = ranked.index(self._me.instance)
        if await self._is_led(shard):
            self._missing_since.pop(shard, None)
            return
        now = self._clock.now()
        since = self._missing_since.setdefault(shard, now)
        if now - since < rank * RANK_DELAY_MS:
            return
        key = _record.make_record_key(shard)
        rows = await self._table.read([key])
        if isinstance(rows, stores.Unavailable):
            return
        if not rows[0].version:
            await self._claim(shard, None, 0)
            return
        if now - since < self._timing.silence_ms + rank * RANK_DELAY_MS:
            return
        record = _record.decode_record(rows[0].value)
        await self._claim(shard, record, rows[0].version)

    async def _is_led(self, shard: base.ShardId) -> bool:
        """Ask the candidates whether one leads the shard."""
        others = [
            entry
            for entry in self._rank(shard)[:CANDIDATES]
            if entry.instance != self._me.instance
        ]
        replies = await asyncio.gather(
            *(
                self._transport.call(
                    entry.address,
                    _messages.LeaderQuery(shard=shard),
                    timeout_ms=self._timing.call_timeout_ms,
                )
                for entry in others
            )
        )
        return any(
            isinstance(reply, _messages.LeaderReply)
            and (reply.leads or reply.stands_by)
            for reply in replies
        )

    async def _claim(
        self,
        shard: base.ShardId,
        record: _record.ShardRecord | None,
        row_version: int,
    ) -> bool:
        """Write this instance into the record and start leading."""
        service, _ = base.split_shard_id(shard)
        row = self._view.current.find_row(service)
        if row is None or self._stopping:
            return False
        self._claiming.add(shard)
        try:
            claimed = self._make_claim(shard, record)
            if await self._write_claim(shard, claimed, row_version):
                await self._lead(shard, claimed, row_version + 1, row, record)
                return True
            return False
        finally:
            self._claiming.discard(shard)

    def _make_claim(
        self, shard: base.ShardId, record: _record.ShardRecord | None
    ) -> _record.ShardRecord:
        former = record.leader if record else None
        standby = self._choose_standby(shard, former)
        if record is None:
            return _record.ShardRecord(
                term=base.Term(1), leader=self._holder, standby=standby
            )
        reserved = (
            record.standby is not None
            and record.standby.incarnation == self._holder.incarnation
        )
        return msgspec.structs.replace(
            record,
            term=base.Term(record.term + (1 if reserved else 2)),
            leader=self._holder,
            standby=standby,
        )

    def _choose_standby(
        self, shard: base.ShardId, former: _record.Holder | None
    ) -> _record.Holder | None:
        """Return the best candidate, in another availability zone if any.

        The `former` holder of a role has just been lost and is passed
        over while the platform's list still shows it.
        """
        passed_over = (self._me.instance, former and former.instance)
        others = [
            entry
            for entry in self._rank(shard)
            if entry.instance not in passed_over
        ]
        others.sort(key=lambda entry: entry.zone == self._me.zone)
        if not others:
            return None
        return _record.Holder(
            instance=others[0].instance,
            incarnation=base.IncarnationId(""),
            address=others[0].address,
        )

    async def _write_claim(
        self,
        shard: base.ShardId,
        record: _record.ShardRecord,
        row_version: int,
    ) -> bool:
        result = await self._committer.commit(
            _record.make_record_write(shard, record, row_version=row_version)
        )
        if isinstance(result, stores.Conflict):
            self.standbys.pop(shard, None)
        return isinstance(result, stores.Committed)

    async def _lead(
        self,
        shard: base.ShardId,
        record: _record.ShardRecord,
        row_version: int,
        row: configuration.ServiceRow,
        former: _record.ShardRecord | None,
    ) -> None:
        self.standbys.pop(shard, None)
        old = self.leaders.pop(shard, None)
        if old is not None:
            await old.stop()
        leader = _leader.ShardLeader(
            shard=shard,
            record=record,
            row_version=row_version,
            inherited=former is not None,
            row=row,
            committer=self._committer,
            table=self._table,
            transport=self._transport,
            make_client=self._make_client,
            choose_standby=self._choose_standby,
            clock=self._clock,
            timing=self._timing,
        )
        self.leaders[shard] = leader
        leader.start()
        logging.info("leader started shard=%s term=%d", shard, record.term)
        self._leaderships.on_next(leader)
