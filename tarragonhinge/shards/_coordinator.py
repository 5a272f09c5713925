"""Coordinates the leader and standby roles of this instance."""

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
from tarragonhinge.shards import _leaderless_shards
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _owners
from tarragonhinge.shards import _record
from tarragonhinge.shards import _record_reader
from tarragonhinge.shards import _roles
from tarragonhinge.shards import _standby
from tarragonhinge.shards import _timing
from tarragonhinge import stores

#: Timeout of a handover to one instance.
HANDOVER_TIMEOUT_MS = 1000


class ShardCoordinator:
    """Claims, leads and stands by for shards of this instance's region.

    Parameters
    ----------
    me : InstanceEntry
        This instance.
    incarnation : IncarnationId
        Identifies this run of the process.
    view : TableView
        Current version of the operators' table.
    instances : InstanceView
        The platform's list of instances.
    table : TableClient
        Client of the table service.
    committer : Committer
        Writes records.
    transport : PeerTransport
        Sends messages to the other instances.
    make_client : callable
        Creates the connection to a server.
    clock : Clock
        Clock of this process.
    timing : Timing
        Durations of leases and heartbeats.
    rng : random.Random or None
        Random source of jitter and of the choice among candidates.

    Attributes
    ----------
    on_history : callable or None
        Called with the encoded request history of each shard that another
        instance hands over to this one.
    leaders : dict
        Leadership of each shard that this instance leads.
    standbys : dict
        Standby role of each shard that this instance stands by for.
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
        self._reader = _record_reader.RecordReader(
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
        self._leaderless_finder = _leaderless_shards.LeaderlessShardFinder(
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
        transport.handle(_messages.RolesQuery, self._on_roles_query)

    @property
    def view(self) -> configuration.TableView:
        """Return the view of the operators' table."""
        return self._view

    @property
    def leaderships(self) -> reactivex.Observable:
        """Return the stream of newly started `ShardLeader` objects."""
        return self._leaderships

    def start(self) -> None:
        """Start claiming shards, watching leaders and reading records."""
        self._view.changes.subscribe(self._update_rows)
        self._tasks = [
            asyncio.create_task(self._claim_periodically()),
            asyncio.create_task(self._watch_periodically()),
            asyncio.create_task(self._reader.run()),
        ]

    async def stop(self) -> None:
        """Stop all leaderships without a handover."""
        await base.cancel_tasks(self._tasks)
        await self._claimant.stop()
        for leader in list(self.leaders.values()):
            await leader.stop()

    async def hand_over(
        self, make_history: Callable[[base.ShardId], bytes], timeout_ms: int
    ) -> int:
        """Hand over every leadership.

        Parameters
        ----------
        make_history : callable
            Returns the encoded request history of a shard.
        timeout_ms : int
            Timeout of each attempt, unless `HANDOVER_TIMEOUT_MS` is
            shorter.

        Returns
        -------
        int
            Number of shards that no instance took over.
        """
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
        """Hand a shard over to its standby, or else to a candidate."""
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
        for address in addresses[: _candidates.CANDIDATES_PER_SHARD]:
            if await leader.hand_over(
                address, history=history, timeout_ms=attempt_ms
            ):
                return True
        return False

    def find_leader_address(self, shard: base.ShardId) -> base.Address:
        """Return the address of a shard's leader, or of an instance to ask.

        Without a role in the shard the result is the address of a
        candidate, or an empty one if none can be suggested.
        """
        leader = self.leaders.get(shard)
        if leader is not None:
            if self._roles.leads(shard):
                return self._me.address
            return leader.find_successor()
        standby = self.standbys.get(shard)
        if standby is not None and standby.record is not None:
            return standby.record.leader.address
        return self._suggest_candidate(shard)

    def _suggest_candidate(self, shard: base.ShardId) -> base.Address:
        """Return the address of a random candidate for a shard.

        An instance of another region has addresses of only a few
        instances of this region, and these need not be candidates.  The
        suggestion is random, and a candidate without a role in the shard
        suggests no instance, so that a redirected instance reaches the
        leader in a few steps.
        """
        _, region = base.split_shard_id(shard)
        if region != self._me.region:
            return base.Address("")
        ranked = self._candidates.list_candidates(shard)
        addresses = [entry.address for entry in ranked]
        if not addresses or self._me.address in addresses:
            return base.Address("")
        return self._rng.choice(addresses)

    # Messages ------------------------------------------------------------

    async def _on_heartbeat(
        self, heartbeat: _messages.Heartbeat
    ) -> _messages.HeartbeatAck:
        leader = self.leaders.get(heartbeat.shard)
        if leader is not None and leader.record.term < heartbeat.term:
            leader.depose()
        busy = (
            heartbeat.shard in self._claimant.claiming
            or self._claimant.stopping
        )
        if busy or leader is not None:
            return _messages.HeartbeatAck(accepted=False)
        standby = self.standbys.get(heartbeat.shard)
        if standby is None:
            standby = _standby.ShardStandby(
                shard=heartbeat.shard,
                incarnation=self._holder.incarnation,
                reader=self._reader,
                clock=self._clock,
                timing=self._timing,
            )
            self._roles.add_standby(standby)
        return standby.accept(heartbeat)

    async def _on_handover(
        self, message: _messages.Handover
    ) -> _messages.HandoverAck:
        if self._claimant.stopping or message.shard in self._claimant.claiming:
            return _messages.HandoverAck(accepted=False)
        leader = self.leaders.get(message.shard)
        if leader is not None and leader.record.term >= message.term:
            # The sender was paused while this instance took over, so its
            # handover is out of date.
            return _messages.HandoverAck(accepted=False)
        record = _record.decode_record(message.record)
        accepted = await self._claimant.claim(
            message.shard, record, message.row_version, handed_over=True
        )
        if accepted and self.on_history is not None:
            self.on_history(message.shard, message.history)
        return _messages.HandoverAck(accepted=accepted)

    async def _on_roles_query(
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

    async def _watch_periodically(self) -> None:
        """Check the leaders of all shards with a role of this instance."""
        while True:
            for standby in list(self.standbys.values()):
                self._check_leader(standby)
            for leader in list(self.leaders.values()):
                self._check_term(leader)
            await self._roles.stop_deposed_leaders()
            await self._clock.sleep(self._timing.heartbeat_ms // 5)

    def _check_leader(self, standby: _standby.ShardStandby) -> None:
        """Take over a shard if its leader is silent."""
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

    def _check_term(self, leader: _leader.ShardLeader) -> None:
        """Claim a shard again if its local leader needs a new term."""
        shard = leader.shard
        if shard in self._claimant.claiming or not leader.needs_new_term():
            return
        self._claimant.spawn(shard, self._claimant.claim_again(leader))

    async def _claim_periodically(self) -> None:
        """Search periodically for shards without a leader, and claim them."""
        while True:
            ready_instances = self._instances.list_ready(self._me.region)
            self._reader.confirm_ms = self._timing.compute_confirm_ms(
                len(ready_instances)
            )
            await self._leaderless_finder.search(
                [
                    shard
                    for shard in self._view.current.list_shards(
                        self._me.region
                    )
                    if shard not in self.leaders
                    and shard not in self.standbys
                    and shard not in self._claimant.claiming
                ],
                self._claim_leaderless,
            )
            await self._clock.sleep(_leaderless_shards.SEARCH_PERIOD_MS)

    async def _claim_leaderless(
        self,
        shard: base.ShardId,
        record: _record.ShardRecord | None,
        row_version: int,
    ) -> None:
        if shard not in self._claimant.claiming:
            self._claimant.spawn(
                shard, self._claimant.claim(shard, record, row_version)
            )
