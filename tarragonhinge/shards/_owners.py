"""Owners of a shard's partitions."""

import asyncio
from collections.abc import Callable

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import servers
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _in_flight
from tarragonhinge.shards import _keeper
from tarragonhinge.shards import _loads
from tarragonhinge.shards import _mover
from tarragonhinge.shards import _moves
from tarragonhinge.shards import _recorder
from tarragonhinge.shards import _splitter
from tarragonhinge.shards import _timing
from tarragonhinge.shards import _waits

#: Creates the connection to a server: ``(row, entry) -> ServerClient``.
ClientFactory = Callable[
    [configuration.ServiceRow, configuration.ServerEntry],
    servers.ServerClient,
]


class ShardOwners:
    """Assigns partitions to servers and moves them safely.

    A move holds the partition's requests, withdraws the grant at the old
    server or waits until it has lapsed, records the new owner, and
    grants the partition to it.  The old server is the only possible
    owner until the record is written, and the new server after that, so
    that a successor needs nothing but the record.

    Parameters
    ----------
    row : ServiceRow
        The service's row of the operators' table.
    recorder : ShardRecorder
        Holds the shard's record.
    authority : AuthorityLease
        Checked before moves and renewals.
    inherited_until : int
        Instant by which all grants of previous leaders have lapsed.
    make_client : callable
        Creates the connection to a server.
    clock : Clock
        Clock of this process.
    timing : Timing
        Durations of leases and heartbeats.
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
        self.keepers: dict[base.ServerId, _keeper.GrantKeeper] = {}
        self._recorder = recorder
        self._authority = authority
        self._inherited_until = inherited_until
        self._make_client = make_client
        self._clock = clock
        self._timing = timing
        self._tasks: dict[str, asyncio.Task] = {}
        self._changed = asyncio.Event()
        self._in_flight = _in_flight.InFlightCounter()
        self._loads = _loads.LoadCounter(clock=clock)
        self._mover = _mover.PartitionMover(
            recorder=recorder,
            authority=authority,
            keepers=self.keepers,
            in_flight=self._in_flight,
            loads=self._loads,
            inherited_until=inherited_until,
            clock=clock,
        )

        self._splitter = _splitter.KeySplitter(
            recorder=recorder,
            authority=authority,
            in_flight=self._in_flight,
            count_servers=self._mover.count_usable,
            request_merge=self._mover.request_merge,
            on_written=self._wake_all,
            partitions=row.partitions,
            clock=clock,
        )

    @property
    def moves(self) -> _moves.MoveTracker:
        """Return the moves under way."""
        return self._mover.move_tracker

    @property
    def moved_count(self) -> int:
        """Return the number of assignments that this leader has recorded."""
        return self._mover.moved_count

    @property
    def inherited_until(self) -> int:
        """Return when the authority and grants of previous leaders expire."""
        return self._inherited_until

    def set_inherited_until(self, until: int) -> None:
        """Set when the authority and grants of previous leaders expire."""
        self._inherited_until = until
        for keeper in self.keepers.values():
            keeper.set_inherited_until(until)
        self._mover.set_inherited_until(until)

    def retry_writes(self) -> None:
        """Retry failed writes now, since the table is reachable again."""
        self._mover.retry_now()

    # Serving -------------------------------------------------------------

    def resolve(
        self, partition: base.PartitionId, key_hash: int
    ) -> base.PartitionId | None:
        """Return the partition that a key belongs to.

        Parameters
        ----------
        partition : PartitionId
            The key's partition by its hash.
        key_hash : int
            Hash of the key; a hot key may have its own partition.

        Returns
        -------
        PartitionId or None
            The partition; None while the key is being split out.
        """
        return self._splitter.resolve(partition, key_hash)

    def find_owner(
        self, partition: base.PartitionId | None
    ) -> _keeper.GrantKeeper | None:
        """Return the grant keeper of a partition's owner, or None."""
        assignment = self._recorder.record.owners.get(partition)
        if assignment is None or partition in self._mover.move_tracker:
            return None
        keeper = self.keepers.get(assignment.server)
        if keeper is None or not keeper.owns(partition, assignment.epoch):
            return None
        return keeper

    def list_owned(self) -> dict[base.ServerId, base.PartitionId]:
        """Return one partition of each server that owns at least one."""
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

    async def wait_change(self, timeout_ms: int) -> None:
        """Wait for a change of any server's grants, at most `timeout_ms`."""
        await _waits.wait_event(
            self._changed, clock=self._clock, timeout_ms=timeout_ms
        )

    def _wake_all(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        self._mover.wake()

    def enter(self, partition: base.PartitionId, key_hash: int = 0) -> None:
        """Count a dispatched request."""
        self._in_flight.enter(partition, key_hash)
        if key_hash:
            self._splitter.hot_keys.add(key_hash)

    def leave(
        self,
        partition: base.PartitionId,
        key_hash: int = 0,
        service_ms: int = 0,
    ) -> None:
        """Count a finished request and its load."""
        self._in_flight.leave(partition, key_hash)
        self._loads.add(partition, service_ms)
        if partition in self._mover.move_tracker:
            self._mover.wake()

    def count_in_flight(self) -> int:
        """Return the dispatched requests that have not finished."""
        return self._in_flight.total

    # Life cycle ----------------------------------------------------------

    def start(self) -> None:
        """Start heartbeats to all servers, moves and key splitting."""
        self.update_row(self.row)
        self._tasks["plan"] = asyncio.create_task(self._mover.run())
        self._tasks["split"] = asyncio.create_task(self._splitter.run())

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""
        await base.cancel_tasks(self._tasks.values())
        for keeper in self.keepers.values():
            await keeper.client.close()

    def update_row(self, row: configuration.ServiceRow) -> None:
        """Apply a new version of the service's row."""
        self.row = row
        _, region = base.split_shard_id(self._recorder.shard)
        for entry in row.list_servers(region):
            if entry.server not in self.keepers:
                self._add_keeper(entry)
        for name, keeper in self.keepers.items():
            keeper.lost = name in row.lost
        self._mover.update_row(row)

    def _add_keeper(self, entry: configuration.ServerEntry) -> None:
        keeper = _keeper.GrantKeeper(
            entry=entry,
            client=self._make_client(self.row, entry),
            shard=self._recorder.shard,
            term=self._recorder.record.term,
            authority=self._authority,
            clock=self._clock,
            timing=self._timing,
            dialect=servers.DIALECTS.find(self.row.dialect)(),
            inherited_until=self._inherited_until,
        )
        keeper.on_change = self._wake_all
        self.keepers[entry.server] = keeper
        task = asyncio.create_task(keeper.run())
        self._tasks[f"server/{entry.server}"] = task

    def dump(self) -> dict:
        """Return the internal state, for inspection by operators."""
        owners = self._recorder.record.owners
        return {
            "servers": {n: k.state.value for n, k in self.keepers.items()},
            "owners": {str(p): a.server for p, a in owners.items()},
            **self._splitter.dump(),
            "in_flight": self.count_in_flight(),
            "held": sorted(
                m.partition for m in self._mover.move_tracker.list_moves()
            ),
        }
