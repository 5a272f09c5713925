"""Decides which shards this instance leads or stands by for."""

import asyncio
from collections.abc import Callable
import random

import reactivex
import reactivex.subject

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge.shards import _candidates
from tarragonhinge.shards import _claimant
from tarragonhinge.shards import _leader
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _owners
from tarragonhinge.shards import _reader
from tarragonhinge.shards import _record
from tarragonhinge.shards import _roles
from tarragonhinge.shards import _standby
from tarragonhinge.shards import _timing
from tarragonhinge.shards import _vacancies
from tarragonhinge import stores

#: Bound on a handover to one instance.
HANDOVER_TIMEOUT_MS = 1000


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
        Source of jitter and of suggested candidates.
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
        self.on_history: Callable[[base.ShardId, bytes], None] | None = None
        self._me = me
        self._holder = _record.Holder(
            instance=me.instance,
            incarnation=incarnation,
            address=me.address,
        )
        self._view = view
        self._instances = instances
        self._candidates = _candidates.Candidates(
            me=me, view=view, instances=instances
        )
        self._rng = rng or random.Random()
        self._reader = _reader.RecordReader(
            table=table, clock=clock, timing=timing, rng=rng
        )
        self._roles = _roles.ShardRoles(reader=self._reader)
        self.leaders = self._roles.leaders
        self.standbys = self._roles.standbys
        self._leaderships = reactivex.subject.Subject()
        self._claimant = _claimant.ShardClaimant(
            holder=self._holder,
            region=me.region,
            roles=self._roles,
            candidates=self._candidates,
            view=view,
            reader=self._reader,
            table=table,
            committer=committer,
            transport=transport,
            make_client=make_client,
            on_lead=self._leaderships.on_next,
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
        self._clock = clock
        self._timing = timing
        self._tasks: list[asyncio.Task] = []
        transport.handle(_messages.Heartbeat, self._on_heartbeat)
        transport.handle(_messages.Handover, self._on_handover)
        transport.handle(_messages.RolesQuery, self._on_query)

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
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._claimant.stop()
        for leader in list(self.leaders.values()):
            await leader.stop()

    async def hand_over(
        self, make_history: Callable[[base.ShardId], bytes], timeout_ms: int
    ) -> int:
        """Hand every leadership to its standby; return how many failed."""
        self._claimant.stopping = True
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
            live = leader.standby.is_live()
            addresses.sort(key=lambda a: (a == standby.address) is not live)
        attempt_ms = min(timeout_ms, HANDOVER_TIMEOUT_MS)
        for address in addresses[: _candidates.CANDIDATES]:
            if await leader.hand_over(
                address, history=history, timeout_ms=attempt_ms
            ):
                return True
        return False

    def find_leader_address(self, shard: base.ShardId) -> base.Address:
        """Return the address of a shard's leader, or an empty one."""
        leader = self.leaders.get(shard)
        if leader is not None:
            if self._roles.leads(shard):
                return self._me.address
            return leader.find_successor()
        standby_copy = self.standbys.get(shard)
        if standby_copy is not None and standby_copy.record is not None:
            return standby_copy.record.leader.address
        return self._suggest_candidate(shard)

    def _suggest_candidate(self, shard: base.ShardId) -> base.Address:
        """Return an instance that may lead a shard of this region.

        An entry of another region knows only a few instances here, which
        need not be candidates.  A candidate that does not know the leader
        names nobody, and one is chosen at random, so that an entry that
        is sent on reaches the leader in a few steps.
        """
        _, region = base.split_shard_id(shard)
        if region != self._me.region:
            return base.Address("")
        ranked = self._candidates.list_first(shard)
        addresses = [entry.address for entry in ranked]
        if not addresses or self._me.address in addresses:
            return base.Address("")
        return self._rng.choice(addresses)

    # Messages ------------------------------------------------------------

    async def _on_heartbeat(
        self, beat: _messages.Heartbeat
    ) -> _messages.HeartbeatAck:
        own = self.leaders.get(beat.shard)
        if own is not None and own.record.term < beat.term:
            own.depose()
        busy = beat.shard in self._claimant.claiming or self._claimant.stopping
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
            self._roles.add_standby(standby)
        return standby.accept(beat)

    async def _on_handover(
        self, message: _messages.Handover
    ) -> _messages.HandoverAck:
        if self._claimant.stopping or message.shard in self._claimant.claiming:
            return _messages.HandoverAck(accepted=False)
        own = self.leaders.get(message.shard)
        if own is not None and own.record.term >= message.term:
            # The sender was paused while this instance took over from it.
            return _messages.HandoverAck(accepted=False)
        record = _record.decode_record(message.record)
        accepted = await self._claimant.claim(
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
                if shard in self.standbys or self._roles.leads(shard)
            ]
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
            await self._roles.reap()
            await self._clock.sleep(self._timing.heartbeat_ms // 5)

    def _watch_leader(self, standby: _standby.ShardStandby) -> None:
        """Take over if the leader is silent."""
        shard = standby.shard
        if standby.record is None or not standby.is_leader_silent():
            return
        if shard in self._claimant.claiming:
            return
        if standby.may_lead_without_table():
            self._claimant.spawn(
                shard, self._claimant.lead_without_table(standby)
            )
        elif not self._reader.down:
            self._claimant.spawn(
                shard, self._claimant.claim_as_standby(standby)
            )

    def _watch_term(self, leader: _leader.ShardLeader) -> None:
        """Claim a shard once more if its leader needs a new term."""
        shard = leader.shard
        if shard in self._claimant.claiming or not leader.needs_new_term():
            return
        self._claimant.spawn(shard, self._claimant.claim_again(leader))

    async def _keep_claiming(self) -> None:
        """Claim shards that have no leader."""
        while True:
            neighbours = self._instances.list_ready(self._me.region)
            self._reader.confirm_ms = self._timing.compute_confirm_ms(
                len(neighbours)
            )
            await self._finder.search(
                [
                    shard
                    for shard in self._view.current.list_shards(
                        self._me.region
                    )
                    if shard not in self.leaders
                    and shard not in self.standbys
                    and shard not in self._claimant.claiming
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
        if shard not in self._claimant.claiming:
            self._claimant.spawn(
                shard, self._claimant.claim(shard, record, row_version)
            )
