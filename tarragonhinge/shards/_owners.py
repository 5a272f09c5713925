"""Which server owns each partition of a shard, and how that changes."""

import asyncio
from collections.abc import Callable

from absl import logging
import msgspec

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import servers
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _keeper
from tarragonhinge.shards import _planner
from tarragonhinge.shards import _record
from tarragonhinge.shards import _recorder
from tarragonhinge.shards import _timing

#: Period at which owners are compared with usable servers.
PLAN_PERIOD_MS = 50

#: Makes a connection to a server: ``(row, entry) -> ServerClient``.
ClientFactory = Callable[
    [configuration.ServiceRow, configuration.ServerEntry],
    servers.ServerClient,
]


class ShardOwners:
    """Assigns partitions to servers and moves them safely.

    A partition moves in this order: hold its requests, withdraw it at
    its server or wait until the grant has lapsed there, record the new
    owner, grant.  Until the record is written the old server is the
    only possible owner, and after it the new one, so a successor needs
    nothing but the record.

    Parameters
    ----------
    row : ServiceRow
        The service's row of the operators' table.
    recorder : ShardRecorder
        The shard's record.
    authority : AuthorityLease
        Checked before moves and renewals.
    inherited_until : int
        When grants of earlier leaders have lapsed everywhere.
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
        row: configuration.ServiceRow,
        recorder: _recorder.ShardRecorder,
        authority: _authority.AuthorityLease,
        inherited_until: int,
        make_client: ClientFactory,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self.row = row
        self.moved_count = 0
        self.keepers: dict[base.ServerId, _keeper.GrantKeeper] = {}
        self._recorder = recorder
        self._authority = authority
        self._inherited_until = inherited_until
        self._make_client = make_client
        self._clock = clock
        self._timing = timing
        self._tasks: dict[str, asyncio.Task] = {}
        self._in_flight: dict[base.PartitionId, int] = {}
        self._held: set[base.PartitionId] = set()

    # Serving -------------------------------------------------------------

    def find_owner(
        self, partition: base.PartitionId
    ) -> _keeper.GrantKeeper | None:
        """Return the server that owns a partition now, or None."""
        assignment = self._recorder.record.owners.get(partition)
        if assignment is None or partition in self._held:
            return None
        keeper = self.keepers.get(assignment.server)
        if keeper is None or not keeper.owns(partition, assignment.epoch):
            return None
        return keeper

    def list_owned(self) -> dict[base.ServerId, base.PartitionId]:
        """Return one partition of each server that owns any now."""
        owned: dict[base.ServerId, base.PartitionId] = {}
        for partition, assignment in self._recorder.record.owners.items():
            if assignment.server in owned:
                continue
            keeper = self.find_owner(partition)
            if keeper is not None and not keeper.draining:
                owned[assignment.server] = partition
        return owned

    def make_fence(self, partition: base.PartitionId) -> servers.Fence:
        """Return the fencing token of a partition that has an owner."""
        record = self._recorder.record
        return servers.Fence(
            shard=self._recorder.shard,
            partition=partition,
            term=record.term,
            epoch=record.owners[partition].epoch,
        )

    def enter(self, partition: base.PartitionId) -> None:
        """Count a dispatched request."""
        self._in_flight[partition] = self._in_flight.get(partition, 0) + 1

    def leave(self, partition: base.PartitionId) -> None:
        """Count a finished request."""
        count = self._in_flight.pop(partition) - 1
        if count:
            self._in_flight[partition] = count

    def count_in_flight(self) -> int:
        """Return the dispatched requests that have not finished."""
        return sum(self._in_flight.values())

    # Life cycle ----------------------------------------------------------

    def start(self) -> None:
        """Start heartbeats to all servers and the planning of moves."""
        self._tasks["plan"] = asyncio.create_task(self._keep_planning())
        self.update_row(self.row)

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        for keeper in self.keepers.values():
            await keeper.client.close()

    def update_row(self, row: configuration.ServiceRow) -> None:
        """Take over a new version of the service's row."""
        self.row = row
        _, region = base.split_shard_id(self._recorder.shard)
        for entry in row.list_servers(region):
            if entry.server not in self.keepers:
                self._add_keeper(entry)

    def _add_keeper(self, entry: configuration.ServerEntry) -> None:
        keeper = _keeper.GrantKeeper(
            entry=entry,
            client=self._make_client(self.row, entry),
            shard=self._recorder.shard,
            term=self._recorder.record.term,
            authority=self._authority,
            clock=self._clock,
            timing=self._timing,
            lapsed_at=self._inherited_until,
        )
        self.keepers[entry.server] = keeper
        task = asyncio.create_task(keeper.run())
        self._tasks[f"server/{entry.server}"] = task

    # Moves ---------------------------------------------------------------

    async def _keep_planning(self) -> None:
        while True:
            await self._plan()
            self._push_wanted()
            await self._clock.sleep(PLAN_PERIOD_MS)

    async def _plan(self) -> None:
        """Move partitions that no usable server owns."""
        weights = self._list_usable()
        if not weights or not self._authority.is_valid():
            return
        movable = [p for p in self._list_partitions() if self._may_move(p)]
        if not movable:
            return
        planner = _planner.PLANNERS.find(self.row.planner)(
            churn_weight=self.row.churn_weight
        )
        chosen = planner.place(
            movable, owners=self._recorder.record.owners, weights=weights
        )
        await self._write_owners(chosen)

    def _list_partitions(self) -> list[base.PartitionId]:
        _, region = base.split_shard_id(self._recorder.shard)
        return self.row.list_partitions(region)

    def _list_usable(self) -> dict[base.ServerId, float]:
        """Return the servers that may be given partitions, by weight."""
        _, region = base.split_shard_id(self._recorder.shard)
        listed = {e.server: e.weight for e in self.row.list_servers(region)}
        return {
            name: listed[name]
            for name, keeper in self.keepers.items()
            if name in listed
            and keeper.state is _keeper.ServerState.REACHABLE
            and not keeper.draining
        }

    def _may_move(self, partition: base.PartitionId) -> bool:
        """Return whether a partition needs a new owner and can have one."""
        assignment = self._recorder.record.owners.get(partition)
        if assignment is None:
            return self._clock.now() >= self._inherited_until
        keeper = self.keepers.get(assignment.server)
        if keeper is None:
            return self._clock.now() >= self._inherited_until
        if keeper.state is not _keeper.ServerState.REACHABLE:
            return keeper.has_lapsed()
        if assignment.server in self._list_usable():
            return False
        return self._release(partition, keeper)

    def _release(
        self, partition: base.PartitionId, keeper: _keeper.GrantKeeper
    ) -> bool:
        """Withdraw a partition from a leaving server; True once done."""
        self._held.add(partition)
        if self._in_flight.get(partition):
            return False
        return keeper.has_released(partition)

    async def _write_owners(
        self, chosen: dict[base.PartitionId, base.ServerId]
    ) -> None:
        def assign(record: _record.ShardRecord) -> _record.ShardRecord:
            owners = dict(record.owners)
            for partition, server in chosen.items():
                owners[partition] = _record.Assignment(
                    server=server, epoch=_make_epoch(owners.get(partition))
                )
            return msgspec.structs.replace(record, owners=owners)

        if not await self._recorder.write(assign):
            return
        self.moved_count += len(chosen)
        self._held.difference_update(chosen)
        logging.info(
            "partitions assigned shard=%s term=%d count=%d",
            self._recorder.shard,
            self._recorder.record.term,
            len(chosen),
        )

    def _push_wanted(self) -> None:
        """Tell each keeper which partitions its server is to own."""
        wanted: dict[base.ServerId, dict] = {n: {} for n in self.keepers}
        for partition, assignment in self._recorder.record.owners.items():
            if partition not in self._held and assignment.server in wanted:
                wanted[assignment.server][partition] = assignment.epoch
        for name, partitions in wanted.items():
            self.keepers[name].set_wanted(partitions)

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        owners = self._recorder.record.owners
        return {
            "servers": {n: k.state.value for n, k in self.keepers.items()},
            "owners": {str(p): a.server for p, a in owners.items()},
            "in_flight": self.count_in_flight(),
            "held": sorted(self._held),
        }


def _make_epoch(last: _record.Assignment | None) -> base.Epoch:
    return base.Epoch(last.epoch + 1 if last else 1)
