"""Gives every partition of a shard a usable owner."""

import asyncio
from collections.abc import Iterable
import random

from absl import logging

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _in_flight
from tarragonhinge.shards import _index
from tarragonhinge.shards import _keeper
from tarragonhinge.shards import _loads
from tarragonhinge.shards import _moves
from tarragonhinge.shards import _planner
from tarragonhinge.shards import _pool
from tarragonhinge.shards import _record
from tarragonhinge.shards import _recorder
from tarragonhinge.shards import _waits

#: Period at which waits are looked at while something is to be moved.
PENDING_PERIOD_MS = 50

#: Period at which loads are compared while all is well.
REBALANCE_PERIOD_MS = 1000

#: Longest time that a move for balance waits for requests in flight.
DRAIN_LIMIT_MS = 100

#: Share of a shard's partitions that may move for balance in a period.
MAX_MOVED_FRACTION = 1 / 64

#: Part of the servers' capacity below which loads are not compared.
IDLE_UTILIZATION = 0.05

#: Delays before a write that the store refused is tried again.
RETRY_BASE_MS = 100
RETRY_CAP_MS = 2000


class ShardMover:
    """Moves partitions, a bounded number at once.

    Nothing is done while nothing changes: keepers, the row and finished
    requests wake the mover, and only a partition that waits for a lapse
    makes it look again by itself.

    Parameters
    ----------
    recorder : ShardRecorder
        The shard's record.
    authority : AuthorityLease
        Checked before moves.
    keepers : dict
        Keeper of each server; the caller adds to it.
    in_flight : InFlightCounter
        Requests that are running.
    loads : LoadCounter
        Load of each partition.
    inherited_until : int
        When grants of earlier leaders have lapsed everywhere.
    clock : Clock
        This process's clock.
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
        self.book = _moves.MoveBook()
        self._recorder = recorder
        self._authority = authority
        self._keepers = keepers
        self._in_flight = in_flight
        self._loads = loads
        self._pool = _pool.ServerPool(
            keepers=keepers, inherited_until=inherited_until, clock=clock
        )
        self._clock = clock
        self._row: configuration.ServiceRow | None = None
        self._listed: list[base.PartitionId] = []
        self._planner: _planner.Planner | None = None
        self._index = _index.OwnerIndex()
        self._wake = asyncio.Event()
        self._stale: set[base.ServerId] = set()
        self._orphaned = False
        self._rebalance_at = clock.now() + REBALANCE_PERIOD_MS
        self._retry_at = clock.now()
        self._retry_ms = RETRY_BASE_MS
        self._rng = random.Random(recorder.shard)
        owned = {a.server for a in recorder.record.owners.values()}
        self._pool.ramp.mark_warm(owned)

    # Triggers ------------------------------------------------------------

    def wake(self) -> None:
        """Look at the shard as soon as possible."""
        self._wake.set()

    def set_inherited(self, until: int) -> None:
        """Set when earlier leaders and their grants have surely ended."""
        self._pool.set_inherited(until)
        self.wake()

    def retry_now(self) -> None:
        """Try a refused write again, since the table has been reached."""
        if self._clock.now() < self._retry_at:
            self._retry_at = self._clock.now()
            self._retry_ms = RETRY_BASE_MS
            self.wake()

    def count_usable(self) -> int:
        """Return the number of servers that may be given partitions."""
        return len(self._list_usable())

    def request_merge(self, partition: base.PartitionId) -> None:
        """Begin to merge a split partition back, if that is possible."""
        self._refresh()
        source = self._index.owners.get(partition)
        if source is None or partition in self.book:
            return
        if not self._pool.may_withdraw():
            return
        if source in self._list_usable() and self.book.has_room(source):
            self._start_move(partition, None, merges=True)
            self.wake()

    def update_row(self, row: configuration.ServiceRow) -> None:
        """Take over a new version of the service's row."""
        _, region = base.split_shard_id(self._recorder.shard)
        last, self._row = self._row, row
        listed = row.list_partitions(region)
        if listed != self._listed:
            self._listed = listed
        self._pool.update_row(row, region)
        policy = (row.planner, row.churn_weight)
        if last is None or policy != (last.planner, last.churn_weight):
            self._planner = _planner.PLANNERS.find(row.planner)(
                churn_weight=row.churn_weight
            )
        self._stale.update(self._keepers)
        self.wake()

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            self._wake.clear()
            await self._step()
            if not self._wake.is_set():
                await self._wait_turn()

    async def _wait_turn(self) -> None:
        pending = self._orphaned or len(self.book)
        delay_ms = PENDING_PERIOD_MS if pending else REBALANCE_PERIOD_MS
        await _waits.wait_event(
            self._wake, clock=self._clock, timeout_ms=delay_ms
        )

    # Planning ------------------------------------------------------------

    async def _step(self) -> None:
        self._refresh()
        usable = self._list_usable()
        if not usable:
            self._end_moves([m.partition for m in self.book.list_moves()])
        elif self._authority.is_valid():
            if self._may_start():
                self._start_evacuations(usable)
                self._start_rebalancing(usable)
            self._advance_moves()
            await self._assign(usable)
        self._push_wanted()

    def _may_start(self) -> bool:
        """Return whether requests may be held for moves that begin now."""
        retrying = self._clock.now() < self._retry_at
        return self._pool.may_withdraw() and not retrying

    def _refresh(self) -> None:
        owners = self._recorder.record.owners
        if self._index.update(owners, self._listed):
            self._stale.update(self._keepers)

    def _list_usable(self) -> dict[base.ServerId, float]:
        usable = self._pool.list_usable()
        if not self._index.owners:
            self._pool.ramp.mark_warm(usable)
            usable = self._pool.list_usable()
        return usable

    def _start_evacuations(self, usable: dict[base.ServerId, float]) -> None:
        """Begin to empty servers that leave, idle partitions first."""
        for server, held in self._index.servers.items():
            if server in usable or not self._pool.is_reachable(server):
                continue
            for partition in sorted(held, key=self._in_flight.count_partition):
                if not self.book.has_room(server):
                    break
                if partition not in self.book:
                    self._start_move(partition, None)

    def _start_rebalancing(self, usable: dict[base.ServerId, float]) -> None:
        """Begin moves for balance; only while all else is well."""
        now = self._clock.now()
        if now < self._rebalance_at or self._orphaned or len(self.book):
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
            if self.book.has_room(self._index.owners[partition]):
                self._start_move(partition, target)

    def _collect_loads(self, servers: int) -> dict[base.PartitionId, float]:
        """Return the loads; none where servers are idle all but always.

        Few requests spread unevenly by chance, and moving their keys
        would gain nothing.
        """
        loads = self._loads.collect()
        capacity_ms = servers * self._row.slots * _loads.WINDOW_MS
        if sum(loads.values()) < IDLE_UTILIZATION * capacity_ms:
            return {}
        return loads

    def _start_move(
        self,
        partition: base.PartitionId,
        target: base.ServerId | None,
        merges: bool = False,
    ) -> None:
        self.book.start(
            _moves.Move(
                partition=partition,
                source=self._index.owners[partition],
                target=target,
                started_at=self._clock.now(),
                merges=merges,
            )
        )

    def _advance_moves(self) -> None:
        """Withdraw what has drained; give up moves that take too long."""
        now = self._clock.now()
        for move in self.book.list_moves():
            if move.stage is not _moves.MoveStage.DRAINING:
                continue
            if self._has_drained(move):
                self.book.revoke(move.partition)
                self._stale.add(move.source)
                continue
            waited_ms = now - move.started_at
            if move.is_optional() and waited_ms >= DRAIN_LIMIT_MS:
                self.book.end(move.partition)

    def _has_drained(self, move: _moves.Move) -> bool:
        """Return whether no request of a partition can still run."""
        if self._in_flight.count_partition(move.partition):
            return False
        return self._pool.has_ended_inherited(move.source)

    # Assignment ----------------------------------------------------------

    async def _assign(self, usable: dict[base.ServerId, float]) -> None:
        """Record new owners for all partitions that can have one."""
        if self._clock.now() < self._retry_at:
            return
        self._hold_orphans(usable)
        if not self._index.owners and self._pool.awaits_first_answers():
            # The first server to answer would be given everything.
            return
        chosen = self._list_released(usable)
        if chosen:
            await self._write_owners(chosen)

    def _hold_orphans(self, usable: dict[base.ServerId, float]) -> None:
        """Withdraw lapsed grants, so that no returning server gets them.

        A server that answers again while the new owner is being written
        would otherwise be granted its old partitions once more.
        """
        for partition in self._list_lapsed(usable):
            if not self.book.is_revoked(partition):
                self.book.end(partition)
                self._start_move(partition, None)
                self.book.revoke(partition)
                self._stale.add(self._index.owners[partition])
        self._push_wanted()

    def _list_released(
        self, usable: dict[base.ServerId, float]
    ) -> dict[base.PartitionId, base.ServerId | None]:
        """Return the next owner of each partition that has none now.

        None stands for a split partition that is merged back.
        """
        chosen = {}
        free = set(self._index.unassigned)
        for move in self.book.list_moves():
            if not self._pool.has_released(move):
                continue
            if move.merges:
                chosen[move.partition] = None
            elif move.target in usable:
                chosen[move.partition] = move.target
            else:
                free.add(move.partition)
        if free:
            chosen.update(self._place(sorted(free), usable))
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
        """Return partitions of servers whose grants have lapsed."""
        lapsed = []
        waiting = bool(self._index.unassigned)
        for server, held in self._index.servers.items():
            if server in usable:
                continue
            waiting = True
            if self._pool.has_lapsed(server):
                lapsed.extend(held)
        self._orphaned = waiting
        return lapsed

    async def _write_owners(
        self, chosen: dict[base.PartitionId, base.ServerId | None]
    ) -> None:
        def assign(record: _record.ShardRecord) -> _record.ShardRecord:
            return _record.assign_owners(record, chosen)

        if not await self._recorder.write(assign):
            self._end_moves([m.partition for m in self.book.list_moves()])
            self._delay_retry()
            return
        self._end_moves(chosen)
        self._retry_ms = RETRY_BASE_MS
        self.moved_count += len(chosen)
        self._refresh()
        self.wake()
        logging.info(
            "partitions assigned shard=%s term=%d count=%d",
            self._recorder.shard,
            self._recorder.record.term,
            len(chosen),
        )

    def _end_moves(self, partitions: Iterable[base.PartitionId]) -> None:
        """Let requests go on, to the old owner if nothing was written."""
        for partition in partitions:
            self.book.end(partition)
        self._stale.update(self._keepers)

    def _delay_retry(self) -> None:
        jitter_ms = self._rng.randint(0, self._retry_ms)
        self._retry_at = self._clock.now() + self._retry_ms + jitter_ms
        self._retry_ms = min(2 * self._retry_ms, RETRY_CAP_MS)

    def _push_wanted(self) -> None:
        """Tell keepers which partitions their servers are to own."""
        for server in self._stale:
            keeper = self._keepers.get(server)
            if keeper is None:
                continue
            held = self._index.servers.get(server, {})
            keeper.set_wanted(
                {
                    partition: epoch
                    for partition, epoch in held.items()
                    if not self.book.is_revoked(partition)
                }
            )
        self._stale.clear()
