"""Assignment and moves of a shard's partitions."""

import asyncio
from collections.abc import Iterable
import random

from absl import logging

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _in_flight
from tarragonhinge.shards import _keeper
from tarragonhinge.shards import _loads
from tarragonhinge.shards import _moves
from tarragonhinge.shards import _owner_index
from tarragonhinge.shards import _planner
from tarragonhinge.shards import _record
from tarragonhinge.shards import _recorder
from tarragonhinge.shards import _server_pool
from tarragonhinge.shards import _waits

#: Polling period while partitions wait for a move or an owner.
PENDING_POLL_PERIOD_MS = 50

#: Period of rebalancing while no partition waits for a move or an owner.
REBALANCE_PERIOD_MS = 1000

#: Longest time for which an optional move waits for requests in flight.
DRAIN_TIMEOUT_MS = 100

#: Fraction of a shard's partitions that one rebalancing may move.
MAX_MOVED_FRACTION = 1 / 64

#: Utilization of the servers below which loads are not balanced.
IDLE_UTILIZATION = 0.05

#: Range of the delay, before jitter, until a failed write is retried.
WRITE_RETRY_MIN_MS = 100
WRITE_RETRY_MAX_MS = 2000


class PartitionMover:
    """Gives each partition a usable owner and balances the servers' load.

    The number of concurrent moves is bounded.  Changes of keepers, of
    the row and finished requests wake the mover; it polls frequently
    only while partitions wait for a move or an owner.

    Parameters
    ----------
    recorder : ShardRecorder
        Holds the shard's record.
    authority : AuthorityLease
        Checked before moves.
    keepers : dict
        Grant keeper of each server; the caller adds to the mapping.
    in_flight : InFlightCounter
        Requests in flight.
    loads : LoadCounter
        Load of each partition.
    inherited_until : int
        Instant by which all grants of previous leaders have lapsed.
    clock : Clock
        Clock of this process.
    """

    def __init__(
        self,
        *,
        recorder: _recorder.ShardRecorder,
        authority: _authority.AuthorityLease,
        keepers: dict[base.ServerId, _keeper.GrantKeeper],
        in_flight: _in_flight.InFlightCounter,
        loads: _loads.LoadCounter,
        inherited_until: int,
        clock: base.Clock,
    ) -> None:
        self.moved_count = 0
        self.move_tracker = _moves.MoveTracker()
        self._recorder = recorder
        self._authority = authority
        self._keepers = keepers
        self._in_flight = in_flight
        self._loads = loads
        self._pool = _server_pool.ServerPool(
            keepers=keepers, inherited_until=inherited_until, clock=clock
        )
        self._clock = clock
        self._row: configuration.ServiceRow | None = None
        self._partitions: list[base.PartitionId] = []
        self._planner: _planner.Planner | None = None
        self._index = _owner_index.OwnerIndex()
        self._wake = asyncio.Event()
        self._outdated_servers: set[base.ServerId] = set()
        self._has_unserved_partitions = False
        self._rebalance_at = clock.now() + REBALANCE_PERIOD_MS
        self._retry_at = clock.now()
        self._retry_ms = WRITE_RETRY_MIN_MS
        self._rng = random.Random(recorder.shard)
        owned = {a.server for a in recorder.record.owners.values()}
        self._pool.ramp.mark_warm(owned)

    # Triggers ------------------------------------------------------------

    def wake(self) -> None:
        """Run the next planning step without delay."""
        self._wake.set()

    def set_inherited_until(self, until: int) -> None:
        """Set when the authority and grants of previous leaders expire."""
        self._pool.set_inherited_until(until)
        self.wake()

    def retry_now(self) -> None:
        """Retry a failed write now, since the table is reachable again."""
        if self._clock.now() < self._retry_at:
            self._retry_at = self._clock.now()
            self._retry_ms = WRITE_RETRY_MIN_MS
            self.wake()

    def count_usable(self) -> int:
        """Return the number of servers that may be assigned partitions."""
        return len(self._list_usable())

    def request_merge(self, partition: base.PartitionId) -> None:
        """Start merging a split partition back, if that is possible now."""
        self._refresh_index()
        source = self._index.owners.get(partition)
        if source is None or partition in self.move_tracker:
            return
        if not self._pool.may_withdraw():
            return
        if source in self._list_usable() and self.move_tracker.has_room(
            source
        ):
            self._start_move(partition, None, merges=True)
            self.wake()

    def update_row(self, row: configuration.ServiceRow) -> None:
        """Apply a new version of the service's row."""
        _, region = base.split_shard_id(self._recorder.shard)
        previous_row, self._row = self._row, row
        partitions = row.list_partitions(region)
        if partitions != self._partitions:
            self._partitions = partitions
        self._pool.update_row(row, region)
        policy = (row.planner, row.churn_weight)
        if previous_row is None or policy != (
            previous_row.planner,
            previous_row.churn_weight,
        ):
            self._planner = _planner.PLANNERS.find(row.planner)(
                churn_weight=row.churn_weight
            )
        self._outdated_servers.update(self._keepers)
        self.wake()

    async def run(self) -> None:
        """Plan and move until cancelled."""
        while True:
            self._wake.clear()
            await self._step()
            if not self._wake.is_set():
                await self._wait_next()

    async def _wait_next(self) -> None:
        pending = self._has_unserved_partitions or len(self.move_tracker)
        delay_ms = PENDING_POLL_PERIOD_MS if pending else REBALANCE_PERIOD_MS
        await _waits.wait_event(
            self._wake, clock=self._clock, timeout_ms=delay_ms
        )

    # Planning ------------------------------------------------------------

    async def _step(self) -> None:
        self._refresh_index()
        usable = self._list_usable()
        if not usable:
            self._end_moves(
                [m.partition for m in self.move_tracker.list_moves()]
            )
        elif self._authority.is_valid():
            if self._may_start_moves():
                self._start_evacuations(usable)
                self._start_rebalancing(usable)
            self._advance_moves()
            await self._assign(usable)
        self._update_keepers()

    def _may_start_moves(self) -> bool:
        """Return whether requests may be held for new moves now."""
        retrying = self._clock.now() < self._retry_at
        return self._pool.may_withdraw() and not retrying

    def _refresh_index(self) -> None:
        owners = self._recorder.record.owners
        if self._index.update(owners, self._partitions):
            self._outdated_servers.update(self._keepers)

    def _list_usable(self) -> dict[base.ServerId, float]:
        usable = self._pool.list_usable()
        if not self._index.owners:
            self._pool.ramp.mark_warm(usable)
            usable = self._pool.list_usable()
        return usable

    def _start_evacuations(self, usable: dict[base.ServerId, float]) -> None:
        """Start moves away from draining or removed servers.

        Partitions with the fewest requests in flight move first.
        """
        for server, owned in self._index.servers.items():
            if server in usable or not self._pool.is_reachable(server):
                continue
            for partition in sorted(
                owned, key=self._in_flight.count_partition
            ):
                if not self.move_tracker.has_room(server):
                    break
                if partition not in self.move_tracker:
                    self._start_move(partition, None)

    def _start_rebalancing(self, usable: dict[base.ServerId, float]) -> None:
        """Start moves for load balance, unless other moves are pending."""
        now = self._clock.now()
        if (
            now < self._rebalance_at
            or self._has_unserved_partitions
            or len(self.move_tracker)
        ):
            return
        self._rebalance_at = now + REBALANCE_PERIOD_MS
        chosen = self._planner.rebalance(
            owners=self._index.owners,
            loads=self._collect_loads(len(usable)),
            weights=usable,
            limit=max(1, int(len(self._index.owners) * MAX_MOVED_FRACTION)),
            splits=self._recorder.record.splits,
        )
        for partition, target in chosen.items():
            if self.move_tracker.has_room(self._index.owners[partition]):
                self._start_move(partition, target)

    def _collect_loads(self, servers: int) -> dict[base.PartitionId, float]:
        """Return the load of each partition; empty at low utilization.

        At low utilization the load is uneven by chance, and moves would
        gain nothing.
        """
        loads = self._loads.collect()
        capacity_ms = servers * self._row.slots * _loads.DECAY_TIME_CONSTANT_MS
        if sum(loads.values()) < IDLE_UTILIZATION * capacity_ms:
            return {}
        return loads

    def _start_move(
        self,
        partition: base.PartitionId,
        target: base.ServerId | None,
        merges: bool = False,
    ) -> None:
        self.move_tracker.start(
            _moves.Move(
                partition=partition,
                source=self._index.owners[partition],
                target=target,
                started_at=self._clock.now(),
                merges=merges,
            )
        )

    def _advance_moves(self) -> None:
        """Revoke drained partitions and cancel slow optional moves."""
        now = self._clock.now()
        for move in self.move_tracker.list_moves():
            if move.stage is not _moves.MoveStage.DRAINING:
                continue
            if self._has_drained(move):
                self.move_tracker.revoke(move.partition)
                self._outdated_servers.add(move.source)
                continue
            waited_ms = now - move.started_at
            if move.is_optional() and waited_ms >= DRAIN_TIMEOUT_MS:
                self.move_tracker.end(move.partition)

    def _has_drained(self, move: _moves.Move) -> bool:
        """Return whether all requests of a moving partition have finished.

        Requests that previous leaders dispatched count, too.
        """
        if self._in_flight.count_partition(move.partition):
            return False
        return self._pool.has_finished_inherited(move.source)

    # Assignment ----------------------------------------------------------

    async def _assign(self, usable: dict[base.ServerId, float]) -> None:
        """Record new owners for all partitions that can have one."""
        if self._clock.now() < self._retry_at:
            return
        self._revoke_lapsed(usable)
        if not self._index.owners and self._pool.awaits_first_replies():
            # Otherwise the first server to reply would get all partitions.
            return
        chosen = self._choose_owners(usable)
        if chosen:
            await self._write_owners(chosen)

    def _revoke_lapsed(self, usable: dict[base.ServerId, float]) -> None:
        """Start revoking the partitions of servers whose grants lapsed.

        Otherwise a server that replies again while the new owner is
        being written would be granted its old partitions again.
        """
        for partition in self._list_lapsed(usable):
            if not self.move_tracker.is_revoked(partition):
                self.move_tracker.end(partition)
                self._start_move(partition, None)
                self.move_tracker.revoke(partition)
                self._outdated_servers.add(self._index.owners[partition])
        self._update_keepers()

    def _choose_owners(
        self, usable: dict[base.ServerId, float]
    ) -> dict[base.PartitionId, base.ServerId | None]:
        """Return the next owner of each partition that has none now.

        Returns
        -------
        dict
            New owners; None merges a split partition back.
        """
        chosen = {}
        unowned = set(self._index.unassigned)
        for move in self.move_tracker.list_moves():
            if not self._pool.has_released(move):
                continue
            if move.merges:
                chosen[move.partition] = None
            elif move.target in usable:
                chosen[move.partition] = move.target
            else:
                unowned.add(move.partition)
        if unowned:
            chosen.update(self._place(sorted(unowned), usable))
        return chosen

    def _place(
        self,
        partitions: list[base.PartitionId],
        usable: dict[base.ServerId, float],
    ) -> dict[base.PartitionId, base.ServerId]:
        return self._planner.place(
            partitions,
            owners=self._index.owners,
            loads=self._loads.collect(),
            weights=usable,
        )

    def _list_lapsed(
        self, usable: dict[base.ServerId, float]
    ) -> list[base.PartitionId]:
        """Return the partitions of servers whose grants have lapsed.

        Also updates whether any partition lacks a usable owner.
        """
        lapsed = []
        has_unserved = bool(self._index.unassigned)
        for server, owned in self._index.servers.items():
            if server in usable:
                continue
            has_unserved = True
            if self._pool.has_lapsed(server):
                lapsed.extend(owned)
        self._has_unserved_partitions = has_unserved
        return lapsed

    async def _write_owners(
        self, chosen: dict[base.PartitionId, base.ServerId | None]
    ) -> None:
        def assign(record: _record.ShardRecord) -> _record.ShardRecord:
            return _record.assign_owners(record, chosen)

        if not await self._recorder.write(assign):
            self._end_moves(
                [m.partition for m in self.move_tracker.list_moves()]
            )
            self._delay_retry()
            return
        self._end_moves(chosen)
        self._retry_ms = WRITE_RETRY_MIN_MS
        self.moved_count += len(chosen)
        self._refresh_index()
        self.wake()
        logging.info(
            "partitions assigned shard=%s term=%d count=%d",
            self._recorder.shard,
            self._recorder.record.term,
            len(chosen),
        )

    def _end_moves(self, partitions: Iterable[base.PartitionId]) -> None:
        """End moves and release their requests.

        The requests go to the old owner if no new one has been recorded.
        """
        for partition in partitions:
            self.move_tracker.end(partition)
        self._outdated_servers.update(self._keepers)

    def _delay_retry(self) -> None:
        jitter_ms = self._rng.randint(0, self._retry_ms)
        self._retry_at = self._clock.now() + self._retry_ms + jitter_ms
        self._retry_ms = min(2 * self._retry_ms, WRITE_RETRY_MAX_MS)

    def _update_keepers(self) -> None:
        """Update the partitions that each outdated keeper should grant."""
        for server in self._outdated_servers:
            keeper = self._keepers.get(server)
            if keeper is None:
                continue
            owned = self._index.servers.get(server, {})
            keeper.set_wanted(
                {
                    partition: epoch
                    for partition, epoch in owned.items()
                    if not self.move_tracker.is_revoked(partition)
                }
            )
        self._outdated_servers.clear()
