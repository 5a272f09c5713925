"""Claims of shards by one instance."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from absl import logging

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import peers
from tarragonhinge import servers
from tarragonhinge.shards import _candidates
from tarragonhinge.shards import _claim_builder
from tarragonhinge.shards import _leader
from tarragonhinge.shards import _owners
from tarragonhinge.shards import _record
from tarragonhinge.shards import _record_reader
from tarragonhinge.shards import _roles
from tarragonhinge.shards import _standby
from tarragonhinge.shards import _timing
from tarragonhinge import stores

#: Maximum number of claims that one instance writes concurrently.
MAX_CONCURRENT_CLAIMS = 16


class ShardClaimant:
    """Writes claims and starts a leadership for each that succeeds.

    Parameters
    ----------
    holder : Holder
        This instance and this run of its process.
    region : RegionName
        Region of this instance.
    roles : ShardRoles
        Leader and standby roles of this instance.
    candidates : Candidates
        Chooses standbys.
    view : TableView
        Current version of the operators' table.
    reader : RecordReader
        Confirms records.
    table : TableClient
        Client of the table service, which stores the records.
    committer : Committer
        Writes records.
    transport : PeerTransport
        Sends messages to the other instances.
    make_client : callable
        Creates the connection to a server.
    on_lead : callable
        Called with each new `ShardLeader`.
    clock : Clock
        Clock of this process.
    timing : Timing
        Durations of leases and heartbeats.

    Attributes
    ----------
    claiming : set of ShardId
        Shards with a claim under way; heartbeats of their previous
        leaders are rejected.
    stopping : bool
        True once this instance claims no more shards.
    """

    def __init__(
        self,
        *,
        holder: _record.Holder,
        region: base.RegionName,
        roles: _roles.ShardRoles,
        candidates: _candidates.Candidates,
        view: configuration.TableView,
        reader: _record_reader.RecordReader,
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
        self._claim_builder = _claim_builder.ClaimBuilder(
            holder=holder, candidates=candidates, clock=clock, timing=timing
        )
        self._claim_slots = asyncio.Semaphore(MAX_CONCURRENT_CLAIMS)
        self._tasks: set[asyncio.Task] = set()

    async def stop(self) -> None:
        """Cancel the claims under way and refuse new ones."""
        self.stopping = True
        await base.cancel_tasks(self._tasks)

    def spawn(self, shard: base.ShardId, claim: Coroutine) -> None:
        """Run a claim in a task and mark its shard as being claimed."""
        self.claiming.add(shard)
        task = asyncio.create_task(claim)
        self._tasks.add(task)

        def finish(task: asyncio.Task) -> None:
            self.claiming.discard(shard)
            self._tasks.discard(task)

        task.add_done_callback(finish)

    async def claim_again(self, leader: _leader.ShardLeader) -> None:
        """Claim a shard again, with a term above the reserved one.

        The next term is reserved for the standby; the claim skips it and
        chooses another standby.
        """
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
        """Take over a shard with a write to the table."""
        if await self._refresh_standby(standby):
            await self.claim(
                standby.shard, standby.record, standby.row_version
            )

    async def _refresh_standby(self, standby: _standby.ShardStandby) -> bool:
        """Update the standby's copy of the record from the table.

        The last heartbeat of a lost leader may precede its last write,
        and a claim based on the older version would fail.

        Returns
        -------
        bool
            False if the record has another term or another standby; True
            otherwise, also if the store is unavailable.
        """
        rows = await self._table.read([_record.make_record_key(standby.shard)])
        if isinstance(rows, stores.Unavailable) or not rows[0].version:
            return True
        record = _record.decode_record(rows[0].value)
        standby_address = record.standby and record.standby.address
        if (
            record.term != standby.record.term
            or standby_address != self._holder.address
        ):
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
        """Record this instance as a shard's leader and start leading.

        Parameters
        ----------
        shard : ShardId
            The shard.
        record : ShardRecord or None
            Current record; None if the shard has none.
        row_version : int
            Version of the row that the claim replaces.
        excluded : Holder or None
            Instance that must not become the standby.
        handed_over : bool
            True if the previous leader asked for the takeover and has
            stopped dispatching.

        Returns
        -------
        bool
            True if the claim was stored.
        """
        service, _ = base.split_shard_id(shard)
        row = self._view.current.find_row(service)
        if row is None or self.stopping:
            return False
        self.claiming.add(shard)
        try:
            claimed = self._claim_builder.make_record(shard, record, excluded)
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
                    else self._claim_builder.compute_inherited_until(
                        record, self._roles.get_promised_until(shard)
                    )
                ),
                previous_holders=self._claim_builder.list_previous_holders(
                    record
                ),
                previous_record=record,
            )
            self._roles.leaders[shard].apply_record(claimed, sent_at)
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
            self._roles.end_roles(shard)
        return isinstance(result, stores.Committed)

    async def lead_without_table(self, standby: _standby.ShardStandby) -> None:
        """Take over under the reserved term, without a write to the table.

        An outage agreement with the previous leader allows this while
        the store is down.
        """
        shard = standby.shard
        service, _ = base.split_shard_id(shard)
        row = self._view.current.find_row(service)
        if row is None or self.stopping or standby.record is None:
            return
        previous_record = standby.record
        claimed = self._claim_builder.make_record(shard, previous_record, None)
        wait_ms = self._timing.add_margin(self._timing.outage_lease_ms)
        await self._lead(
            claimed,
            row,
            row_version=standby.row_version,
            inherited_until=self._clock.now() + wait_ms,
            previous_holders=self._claim_builder.list_previous_holders(
                previous_record
            ),
            previous_record=previous_record,
            authority_until=standby.get_authority_expiry(),
        )

    async def _lead(
        self,
        record: _record.ShardRecord,
        row: configuration.ServiceRow,
        *,
        row_version: int,
        inherited_until: int,
        previous_holders: frozenset[base.InstanceId],
        previous_record: _record.ShardRecord | None,
        authority_until: int | None = None,
    ) -> None:
        """Start a leadership.

        If `authority_until` bounds its authority, the leadership is
        unconfirmed: it is not stored in the table yet.
        """
        shard = base.make_shard_id(row.service, self._region)
        leader = _leader.ShardLeader(
            shard=shard,
            record=record,
            row_version=row_version,
            inherited_until=inherited_until,
            previous_holders=previous_holders,
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
        leader.previous_record = previous_record
        leader.previous_leaders_until = inherited_until
        await self._roles.add_leader(leader)
        logging.info("leader started shard=%s term=%d", shard, record.term)
        self._on_lead(leader)


def _checks_term(row: configuration.ServiceRow) -> bool:
    """Return whether the servers of a service reject lower terms."""
    return servers.DIALECTS.find(row.dialect).checks_term
