"""Decides which shards this instance leads or stands by for."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random

from absl import logging
import msgspec
import reactivex
import reactivex.subject

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge import servers
from tarragonhinge.shards import _candidates
from tarragonhinge.shards import _leader
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _owners
from tarragonhinge.shards import _reader
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
    rng : random.Random or None
        Source of jitter.
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
        rng: random.Random | None = None,
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
        self._candidates = _candidates.Candidates(
            me=me, view=view, instances=instances
        )
        self._reader = _reader.RecordReader(
            table=table, clock=clock, timing=timing, rng=rng
        )
        self._claims: set[asyncio.Task] = set()
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
            asyncio.create_task(self._reader.run()),
        ]

    async def stop(self) -> None:
        """Stop all leaderships without a handover."""
        self._stopping = True
        tasks = [*self._tasks, *self._claims]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for leader in list(self.leaders.values()):
            await leader.stop()

    async def hand_over(
        self, make_history: Callable[[base.ShardId], bytes], timeout_ms: int
    ) -> int:
        """Hand every leadership to its standby; return how many failed."""
        self._stopping = True
        for leader in self.leaders.values():
            leader.stop_dispatching()
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
        if own is not None and own.record.term < beat.term:
            own.depose()
        busy = beat.shard in self._claiming or self._stopping
        if busy or own is not None:
            return _messages.HeartbeatAck(accepted=False)
        standby = self.standbys.get(beat.shard)
        if standby is None:
            standby = _standby.ShardStandby(
                shard=beat.shard,
                incarnation=self._holder.incarnation,
                reader=self._reader,
                clock=self._clock,
                timing=self._timing,
            )
            self.standbys[beat.shard] = standby
            self._reader.watch(beat.shard, standby)
        return standby.accept(beat)

    async def _on_handover(
        self, message: _messages.Handover
    ) -> _messages.HandoverAck:
        if self._stopping or message.shard in self._claiming:
            return _messages.HandoverAck(accepted=False)
        record = _record.decode_record(message.record)
        accepted = await self._claim(
            message.shard, record, message.row_version, handed_over=True
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
                leader.update_row(row)

    async def _keep_watching(self) -> None:
        """Take over from leaders that this instance stands by for."""
        while True:
            for standby in list(self.standbys.values()):
                self._watch_leader(standby)
            for leader in list(self.leaders.values()):
                self._watch_term(leader)
            await self._reap()
            await self._clock.sleep(self._timing.heartbeat_ms // 5)

    def _watch_leader(self, standby: _standby.ShardStandby) -> None:
        """Take over if the leader is silent."""
        shard = standby.shard
        if standby.record is None or not standby.is_leader_silent():
            return
        if shard in self._claiming:
            return
        if standby.may_lead_without_table():
            self._spawn(shard, self._lead_without_table(standby))
        elif not self._reader.down:
            self._spawn(shard, self._claim_as_standby(standby))

    async def _claim_as_standby(self, standby: _standby.ShardStandby) -> None:
        """Take over by the table, from the record as it stands there."""
        if await self._refresh_standby(standby):
            await self._claim(
                standby.shard, standby.record, standby.row_version
            )

    async def _refresh_standby(self, standby: _standby.ShardStandby) -> bool:
        """Read the record that a lost leader may have changed last.

        Its last heartbeat may be older than its last write, and a claim
        from the older version would fail.  False if another instance
        leads under a higher term, or stands by in place of this one.
        """
        rows = await self._table.read([_record.make_record_key(standby.shard)])
        if isinstance(rows, stores.Unavailable) or not rows[0].version:
            return True
        record = _record.decode_record(rows[0].value)
        named = record.standby and record.standby.address
        if record.term != standby.record.term or named != self._me.address:
            self.standbys.pop(standby.shard, None)
            return False
        standby.record = record
        standby.row_version = rows[0].version
        return True

    def _watch_term(self, leader: _leader.ShardLeader) -> None:
        """Claim a shard once more if its leader needs a new term."""
        shard = leader.shard
        if shard in self._claiming or not leader.needs_new_term():
            return
        self._spawn(shard, self._claim_again(leader))

    async def _claim_again(self, leader: _leader.ShardLeader) -> None:
        """Raise the term past the one reserved for the standby."""
        leader.recorder.closed = True
        try:
            await self._claim(
                leader.shard,
                leader.record,
                leader.recorder.row_version,
                passed_over=leader.record.standby,
            )
        finally:
            leader.recorder.closed = False

    def _spawn(self, shard: base.ShardId, claim: Coroutine) -> None:
        """Run a claim beside the others, one at a time for each shard."""
        self._claiming.add(shard)
        task = asyncio.create_task(claim)
        self._claims.add(task)

        def finish(task: asyncio.Task) -> None:
            self._claiming.discard(shard)
            self._claims.discard(task)

        task.add_done_callback(finish)

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

    async def _consider(self, shard: base.ShardId) -> None:
        """Claim a shard if no leader answers for it."""
        ranked = [entry.instance for entry in self._candidates.rank(shard)]
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
            for entry in self._candidates.rank(shard)[:CANDIDATES]
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
        *,
        passed_over: _record.Holder | None = None,
        handed_over: bool = False,
    ) -> bool:
        """Write this instance into the record and start leading.

        The holder `passed_over` does not become the standby.
        """
        service, _ = base.split_shard_id(shard)
        row = self._view.current.find_row(service)
        if row is None or self._stopping:
            return False
        self._claiming.add(shard)
        try:
            claimed = self._make_claim(shard, record, passed_over)
            sent_at = self._clock.now()
            if not await self._write_claim(shard, claimed, row_version):
                return False
            await self._lead(
                claimed,
                row,
                row_version=row_version + 1,
                inherited_until=(
                    self._clock.now()
                    if handed_over and not _checks_term(row)
                    else self._bound_earlier(shard, record)
                ),
                earlier=self._list_earlier(record),
                former=record,
            )
            self.leaders[shard].take_record(claimed, sent_at)
            return True
        finally:
            self._claiming.discard(shard)

    def _make_claim(
        self,
        shard: base.ShardId,
        record: _record.ShardRecord | None,
        passed_over: _record.Holder | None,
    ) -> _record.ShardRecord:
        if record is None:
            return _record.ShardRecord(
                term=base.Term(1),
                leader=self._holder,
                standby=self._candidates.choose_standby(shard, None),
            )
        lost = passed_over or record.leader
        step = 1 if self._is_reserved(record) else 2
        return msgspec.structs.replace(
            record,
            term=base.Term(record.term + step),
            leader=self._holder,
            standby=self._candidates.choose_standby(shard, lost),
            history="",
        )

    def _is_reserved(self, record: _record.ShardRecord) -> bool:
        """Return whether the next term is reserved for this process."""
        return (
            record.standby is not None
            and record.standby.incarnation == self._holder.incarnation
        )

    def _bound_earlier(
        self, shard: base.ShardId, record: _record.ShardRecord | None
    ) -> int:
        """Return when earlier leaders and their grants have surely ended.

        The standby knows what it promised; anyone else has to assume
        that an agreement for an outage was made just before the claim.
        No grant outlasts the authority that it was given under.
        """
        now = self._clock.now()
        if record is None:
            return now
        lease_ms = self._timing.outage_lease_ms
        promised_until = 0
        if self._is_reserved(record):
            lease_ms = self._timing.lease_ms
            promised_until = self._get_promise(shard)
        until = now + self._timing.add_margin(lease_ms)
        return max(until, promised_until)

    def _list_earlier(
        self, record: _record.ShardRecord | None
    ) -> frozenset[base.InstanceId]:
        """Return the other instances that may act under a record."""
        if record is None:
            return frozenset()
        holders = [record.leader]
        if record.standby is not None:
            holders.append(record.standby)
        return frozenset(
            holder.instance
            for holder in holders
            if holder.incarnation != self._holder.incarnation
        )

    def _get_promise(self, shard: base.ShardId) -> int:
        """Return until when this process left servers to the leader."""
        now = self._clock.now()
        standby = self.standbys.get(shard)
        if standby is None or standby.promised_until <= now:
            return 0
        left_ms = standby.promised_until - now
        return now + self._timing.add_margin(left_ms)

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
            self._drop_standby(shard)
            if shard in self.leaders:
                self.leaders[shard].depose()
        return isinstance(result, stores.Committed)

    async def _lead_without_table(
        self, standby: _standby.ShardStandby
    ) -> None:
        """Take over under the reserved term while the store is down."""
        shard = standby.shard
        service, _ = base.split_shard_id(shard)
        row = self._view.current.find_row(service)
        if row is None or self._stopping or standby.record is None:
            return
        former = standby.record
        claimed = self._make_claim(shard, former, None)
        bound_ms = self._timing.add_margin(self._timing.outage_lease_ms)
        await self._lead(
            claimed,
            row,
            row_version=standby.row_version,
            inherited_until=self._clock.now() + bound_ms,
            earlier=self._list_earlier(former),
            former=former,
            authority_until=standby.get_authority_end(),
        )

    async def _lead(
        self,
        record: _record.ShardRecord,
        row: configuration.ServiceRow,
        *,
        row_version: int,
        inherited_until: int,
        earlier: frozenset[base.InstanceId],
        former: _record.ShardRecord | None,
        authority_until: int | None = None,
    ) -> None:
        """Start a leadership; the table knows it unless it is bounded."""
        shard = base.make_shard_id(row.service, self._me.region)
        self._drop_standby(shard)
        old = self.leaders.pop(shard, None)
        if old is not None:
            await old.stop()
        leader = _leader.ShardLeader(
            shard=shard,
            record=record,
            row_version=row_version,
            inherited_until=inherited_until,
            earlier=earlier,
            confirmed=authority_until is None,
            row=row,
            committer=self._committer,
            reader=self._reader,
            transport=self._transport,
            make_client=self._make_client,
            choose_standby=self._candidates.choose_standby,
            clock=self._clock,
            timing=self._timing,
        )
        if authority_until is not None:
            leader.authority.extend_until(authority_until)
        leader.former = former
        self.leaders[shard] = leader
        leader.start()
        logging.info("leader started shard=%s term=%d", shard, record.term)
        self._leaderships.on_next(leader)

    def _drop_standby(self, shard: base.ShardId) -> None:
        standby = self.standbys.pop(shard, None)
        if standby is not None:
            self._reader.forget(shard, standby)


def _checks_term(row: configuration.ServiceRow) -> bool:
    """Return whether the servers of a row refuse a lower term."""
    return servers.DIALECTS.find(row.dialect).checks_term
