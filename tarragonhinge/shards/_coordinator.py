"""Decides which shards this instance leads or stands by for."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random

from absl import logging
import reactivex
import reactivex.subject

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge import servers
from tarragonhinge.shards import _candidates
from tarragonhinge.shards import _claims
from tarragonhinge.shards import _leader
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _owners
from tarragonhinge.shards import _reader
from tarragonhinge.shards import _record
from tarragonhinge.shards import _standby
from tarragonhinge.shards import _timing
from tarragonhinge.shards import _vacancies
from tarragonhinge import stores

#: Bound on a handover to one instance.
HANDOVER_TIMEOUT_MS = 1000

#: Claims that one instance writes at once.
CLAIMS_AT_ONCE = 16


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
        self._claims = _claims.ClaimMaker(
            holder=self._holder,
            candidates=self._candidates,
            clock=clock,
            timing=timing,
        )
        self._finder = _vacancies.VacancyFinder(
            me=me,
            candidates=self._candidates,
            table=table,
            transport=transport,
            clock=clock,
            timing=timing,
        )
        self._claim_tasks: set[asyncio.Task] = set()
        self._claim_slots = asyncio.Semaphore(CLAIMS_AT_ONCE)
        self._committer = committer
        self._transport = transport
        self._make_client = make_client
        self._clock = clock
        self._timing = timing
        self._stopping = False
        self._claiming: set[base.ShardId] = set()
        self._tasks: list[asyncio.Task] = []
        self._leaderships = reactivex.subject.Subject()
        transport.handle(_messages.Heartbeat, self._on_heartbeat)
        transport.handle(_messages.Handover, self._on_handover)
        transport.handle(_messages.RolesQuery, self._on_query)

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
        tasks = [*self._tasks, *self._claim_tasks]
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
                self._hand_over(leader, make_history(shard), timeout_ms)
                for shard, leader in self.leaders.items()
            )
        )
        return results.count(False)

    async def _hand_over(
        self, leader: _leader.ShardLeader, history: bytes, timeout_ms: int
    ) -> bool:
        """Hand a shard to its standby, or else to another candidate."""
        addresses = [
            entry.address
            for entry in self._candidates.rank(leader.shard)
            if entry.instance != self._me.instance
        ]
        standby = leader.record.standby
        if standby is not None:
            live = leader.is_standby_live()
            addresses.sort(key=lambda a: (a == standby.address) is not live)
        attempt_ms = min(timeout_ms, HANDOVER_TIMEOUT_MS)
        for address in addresses[: _vacancies.CANDIDATES]:
            if await leader.hand_over(
                address, history=history, timeout_ms=attempt_ms
            ):
                return True
        return False

    def find_leader_address(self, shard: base.ShardId) -> base.Address:
        """Return the address of a shard's leader, or an empty one."""
        leader = self.leaders.get(shard)
        if leader is not None:
            if self._leads(shard):
                return self._me.address
            return leader.find_successor()
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
        self, query: _messages.RolesQuery
    ) -> _messages.RolesReply:
        return _messages.RolesReply(
            shards=[
                shard
                for shard in query.shards
                if shard in self.standbys or self._leads(shard)
            ]
        )

    def _leads(self, shard: base.ShardId) -> bool:
        leader = self.leaders.get(shard)
        return (
            leader is not None and leader.state is _leader.LeaderState.LEADING
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
            self._spawn(
                shard, self._claim(shard, standby.record, standby.row_version)
            )

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
        self._claim_tasks.add(task)

        def finish(task: asyncio.Task) -> None:
            self._claiming.discard(shard)
            self._claim_tasks.discard(task)

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
            await self._finder.search(
                [
                    shard
                    for shard in self._view.current.list_shards(
                        self._me.region
                    )
                    if shard not in self.leaders
                    and shard not in self.standbys
                    and shard not in self._claiming
                ],
                self._claim_vacant,
            )
            await self._clock.sleep(_vacancies.SEARCH_PERIOD_MS)

    async def _claim_vacant(
        self,
        shard: base.ShardId,
        record: _record.ShardRecord | None,
        row_version: int,
    ) -> None:
        if shard not in self._claiming:
            self._spawn(shard, self._claim(shard, record, row_version))

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
            claimed = self._claims.make_record(shard, record, passed_over)
            async with self._claim_slots:
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
                earlier=self._claims.list_earlier(record),
            )
            self.leaders[shard].take_record(claimed, sent_at)
            return True
        finally:
            self._claiming.discard(shard)

    def _bound_earlier(
        self, shard: base.ShardId, record: _record.ShardRecord | None
    ) -> int:
        """Return when earlier leaders and their grants have ended."""
        promised_until = self._get_promise(shard)
        return self._claims.bound_earlier(record, promised_until)

    def _get_promise(self, shard: base.ShardId) -> int:
        """Return until when this process left servers to the leader."""
        standby = self.standbys.get(shard)
        return standby.promised_until if standby is not None else 0

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
        claimed = self._claims.make_record(shard, former, None)
        bound_ms = self._timing.add_margin(self._timing.outage_lease_ms)
        await self._lead(
            claimed,
            row,
            row_version=standby.row_version,
            inherited_until=self._clock.now() + bound_ms,
            earlier=self._claims.list_earlier(former),
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
