"""Claims shards for one instance."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from absl import logging

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import peers
from tarragonhinge import servers
from tarragonhinge.shards import _candidates
from tarragonhinge.shards import _claims
from tarragonhinge.shards import _leader
from tarragonhinge.shards import _owners
from tarragonhinge.shards import _reader
from tarragonhinge.shards import _record
from tarragonhinge.shards import _roles
from tarragonhinge.shards import _standby
from tarragonhinge.shards import _timing
from tarragonhinge import stores

#: Claims that one instance writes at once.
CLAIMS_AT_ONCE = 16


class ShardClaimant:
    """Writes claims and starts the leaderships that they win.

    Parameters
    ----------
    holder : Holder
        This run of the process.
    region : RegionName
        Where it stands.
    roles : ShardRoles
        What it leads and stands by for.
    candidates : Candidates
        Chooses standbys.
    view : TableView
        The operators' table in force.
    reader : RecordReader
        Confirms records.
    table : TableClient
        Holds the records.
    committer : Committer
        Writes records.
    transport : PeerTransport
        Reaches the other instances.
    make_client : callable
        Makes a connection to a server.
    on_lead : callable
        Called with each new `ShardLeader`.
    clock : Clock
        This process's clock.
    timing : Timing
        Durations.

    Attributes
    ----------
    claiming : set of ShardId
        Shards with a claim under way; no heartbeat of an earlier leader
        is acknowledged for them.
    stopping : bool
        True once nothing more is claimed.
    """

    def __init__(
        self,
        *,
        holder: _record.Holder,
        region: base.RegionName,
        roles: _roles.ShardRoles,
        candidates: _candidates.Candidates,
        view: configuration.TableView,
        reader: _reader.RecordReader,
        table: stores.TableClient,
        committer: stores.Committer,
        transport: peers.PeerTransport,
        make_client: _owners.ClientFactory,
        on_lead: Callable[[_leader.ShardLeader], None],
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.claiming: set[base.ShardId] = set()
        self.stopping = False
        self._holder = holder
        self._table = table
        self._region = region
        self._roles = roles
        self._candidates = candidates
        self._view = view
        self._reader = reader
        self._committer = committer
        self._transport = transport
        self._make_client = make_client
        self._on_lead = on_lead
        self._clock = clock
        self._timing = timing
        self._claims = _claims.ClaimMaker(
            holder=holder, candidates=candidates, clock=clock, timing=timing
        )
        self._claim_slots = asyncio.Semaphore(CLAIMS_AT_ONCE)
        self._tasks: set[asyncio.Task] = set()

    async def stop(self) -> None:
        """Cancel all claims."""
        self.stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, shard: base.ShardId, claim: Coroutine) -> None:
        """Run a claim beside the others, one at a time for each shard."""
        self.claiming.add(shard)
        task = asyncio.create_task(claim)
        self._tasks.add(task)

        def finish(task: asyncio.Task) -> None:
            self.claiming.discard(shard)
            self._tasks.discard(task)

        task.add_done_callback(finish)

    async def claim_again(self, leader: _leader.ShardLeader) -> None:
        """Raise the term past the one reserved for the standby."""
        leader.recorder.closed = True
        try:
            await self.claim(
                leader.shard,
                leader.record,
                leader.recorder.row_version,
                excluded=leader.record.standby,
            )
        finally:
            leader.recorder.closed = False

    async def claim_as_standby(self, standby: _standby.ShardStandby) -> None:
        """Take over by the table, from the record as it stands there."""
        if await self._refresh_standby(standby):
            await self.claim(
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
        if record.term != standby.record.term or named != self._holder.address:
            self._roles.drop_standby(standby.shard)
            return False
        standby.record = record
        standby.row_version = rows[0].version
        return True

    async def claim(
        self,
        shard: base.ShardId,
        record: _record.ShardRecord | None,
        row_version: int,
        *,
        excluded: _record.Holder | None = None,
        handed_over: bool = False,
    ) -> bool:
        """Write this instance into the record and start leading.

        The holder `excluded` does not become the standby.
        """
        service, _ = base.split_shard_id(shard)
        row = self._view.current.find_row(service)
        if row is None or self.stopping:
            return False
        self.claiming.add(shard)
        try:
            claimed = self._claims.make_record(shard, record, excluded)
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
                    else self._claims.bound_earlier(
                        record, self._roles.get_promise(shard)
                    )
                ),
                earlier=self._claims.list_earlier(record),
                former=record,
            )
            self._roles.leaders[shard].take_record(claimed, sent_at)
            return True
        finally:
            self.claiming.discard(shard)

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
            self._roles.depose(shard)
        return isinstance(result, stores.Committed)

    async def lead_without_table(self, standby: _standby.ShardStandby) -> None:
        """Take over under the reserved term while the store is down."""
        shard = standby.shard
        service, _ = base.split_shard_id(shard)
        row = self._view.current.find_row(service)
        if row is None or self.stopping or standby.record is None:
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
        shard = base.make_shard_id(row.service, self._region)
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
        leader.previous_record = former
        leader.previous_leaders_until = inherited_until
        await self._roles.add_leader(leader)
        logging.info("leader started shard=%s term=%d", shard, record.term)
        self._on_lead(leader)


def _checks_term(row: configuration.ServiceRow) -> bool:
    """Return whether the servers of a row refuse a lower term."""
    return servers.DIALECTS.find(row.dialect).checks_term
