"""Limits that a leader enforces for one shard."""

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import shards


class ShardLimits:
    """Server slots of a shard, and its share of the service's limits.

    Parameters
    ----------
    shard : ShardId
        The shard.
    row : ServiceRow
        The service's row in force.
    tables : RecentTables
        Versions of the operators' table that some instance may still apply.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        shard: base.ShardId,
        row: configuration.ServiceRow,
        tables: admission.RecentTables,
        clock: base.Clock,
    ) -> None:
        self._shard = shard
        self._row = row
        self._picker = admission.PICKERS.find(row.picker)()
        self._tables = tables
        self._revision = tables.get_revision()
        self._clock = clock
        self._slots: dict[base.Address, admission.ServerSlots] = {}
        self.gate = admission.ServiceGate(
            share=self._compute_share(),
            queue=row.queue,
            count_lingering=self._count_lingering,
            clock=clock,
            discipline=row.discipline,
        )
        tables.subscribe(self._apply_limits)

    def update(self, leader: shards.ShardLeader) -> None:
        """Apply the limits in force, and subscribe to new servers' reports."""
        if self._tables.get_revision() != self._revision:
            self._apply_limits()
        for keeper in leader.owners.keepers.values():
            if keeper.on_report is None:
                self._subscribe_reports(keeper)

    def _apply_limits(self) -> None:
        self._revision = self._tables.get_revision()
        service, _ = base.split_shard_id(self._shard)
        self._row = self._tables.current.find_row(service) or self._row
        queue = self._row.queue
        self.gate.set_limits(share=self._compute_share(), queue=queue)
        for address, slots in self._slots.items():
            slots.lingering.expiry_ms = self._get_expiry_ms(address)
            slots.set_limits(
                slots=self._compute_slots(address),
                queue=queue,
                ramp_ms=self._row.ramp_ms,
            )

    def find_slots(self, keeper: shards.GrantKeeper) -> admission.ServerSlots:
        """Return the slots of a server, under the limits in force."""
        address = keeper.entry.address
        slots = self._slots.get(address)
        if slots is None:
            slots = self._make_slots(address)
            self._slots[address] = slots
        return slots

    def pick_partition(
        self, leader: shards.ShardLeader, priority: int
    ) -> base.PartitionId | None:
        """Return a partition of the server that the picker prefers.

        The result is None if no partition has an owner.
        """
        owned = leader.owners.list_owned()
        weights = {e.server: e.weight for e in leader.row.servers}
        candidates = [
            admission.Candidate(
                server=server,
                weight=weights.get(server, 1.0),
                slots=self.find_slots(leader.owners.keepers[server]),
            )
            for server in owned
        ]
        if not candidates:
            return None
        picked = self._picker.pick(candidates, priority=priority)
        return owned[picked.server]

    def _make_slots(self, address: base.Address) -> admission.ServerSlots:
        slots = admission.ServerSlots(
            slots=self._compute_slots(address),
            queue=self._row.queue,
            clock=self._clock,
            discipline=self._row.discipline,
            lingering=admission.LingeringCount(
                clock=self._clock, expiry_ms=self._get_expiry_ms(address)
            ),
        )
        slots.window.ramp_ms = self._row.ramp_ms
        return slots

    def _get_expiry_ms(self, address: base.Address) -> int | None:
        return self._row.deadline_ms if self._is_shared(address) else None

    def _is_shared(self, address: base.Address) -> bool:
        """Return whether several shards use a server.

        The highest number of shards in any recent table counts; it is the
        least of the negated numbers.
        """
        negated_count = self._tables.find_least(
            lambda table: -len(admission.list_sharing_shards(table, address))
        )
        return negated_count is not None and negated_count < -1

    def _compute_slots(self, address: base.Address) -> int:
        """Return this shard's slots on a server.

        A raised limit of a server that no other shard uses takes effect at
        once.
        """
        if not self._is_shared(address):
            return admission.limit_slots(self._row)
        min_slots = self._tables.find_least(
            lambda table: admission.compute_slots(table, self._shard, address)
        )
        return (
            admission.limit_slots(self._row)
            if min_slots is None
            else min_slots
        )

    def _compute_share(self) -> admission.ShardShare:
        return admission.ShardShare(
            rate=self._tables.find_least(
                lambda table: admission.compute_share(table, self._shard).rate
            ),
            concurrency=self._tables.find_least(
                lambda table: (
                    admission.compute_share(table, self._shard).concurrency
                )
            ),
        )

    def _subscribe_reports(self, keeper: shards.GrantKeeper) -> None:
        """Subscribe to the load reports of a server.

        The first report determines the slots that requests of previous
        leaders still occupy.
        """
        slots = self.find_slots(keeper)

        def apply_report(report: shards.ServerReport) -> None:
            slots.take_report(
                report.in_flight,
                sent_at=report.sent_at,
                incarnation=report.incarnation,
            )
            self.gate.refresh()

        def apply_first_report(report: shards.ServerReport) -> None:
            slots.count_inherited(report.in_flight)
            keeper.on_report = apply_report
            apply_report(report)

        keeper.on_report = apply_first_report
        if keeper.report is not None:
            apply_first_report(keeper.report)

    def _count_lingering(self) -> int:
        return sum(len(slots.lingering) for slots in self._slots.values())

    def dump(self) -> dict:
        """Return the current state, for operators."""
        return {
            "gate": self.gate.dump(),
            "servers": {
                address: slots.dump() for address, slots in self._slots.items()
            },
        }
