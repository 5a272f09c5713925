"""Continuous ownership checks of a running deployment."""

import collections
from collections.abc import Callable

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge import stores
from tarragonhinge.testing import _servers


class OwnershipMonitor:
    """Records each violation of an ownership guarantee.

    The monitor compares the grants of the servers with the table. It never
    relies on a leader's own view of its authority, since that view may be
    wrong.

    Parameters
    ----------
    shard : ShardId
        Shard to monitor.
    servers : dict
        Servers of the deployment by name.
    table : MemoryTable
        Table shared by all instances.
    timing : Timing
        Protocol durations of the deployment.

    Attributes
    ----------
    check_count : int
        Number of checks of the servers' grants.
    record_failures : list of str
        Violations that concern the shard's record in the table.
    run_count : int
        Number of requests of the shard that servers ran.
    """

    def __init__(
        self,
        *,
        shard: base.ShardId,
        servers: dict[base.ServerId, _servers.MemoryServer],
        table: stores.MemoryTable,
        timing: shards.Timing,
    ) -> None:
        self.check_count = 0
        self.record_failures: list[str] = []
        self.run_count = 0
        self._shard = shard
        self._servers = servers
        self._table = table
        self._timing = timing
        self._last: shards.ShardRecord | None = None
        self._superseded_at: dict[base.Term, int] = {}
        self._runs: collections.Counter[str] = collections.Counter()
        self._failures: list[str] = []
        table.on_write = _chain(table.on_write, self.check_record)
        for server in servers.values():
            server.on_grant = _chain(server.on_grant, self.check_grants)
            server.on_run = _chain(server.on_run, self.check_run)

    @property
    def failures(self) -> list[str]:
        """Return all violations recorded so far."""
        return list(self._failures)

    def verify(self) -> None:
        """Check the grants and raise the first recorded violation.

        Raises
        ------
        AssertionError
            If a guarantee was violated since the monitor was created.
        """
        self.check_grants()
        assert not self._failures, self._failures[0]

    def check_grants(self) -> None:
        """Check that at most one server has a valid grant per partition."""
        self.check_count += 1
        owners: dict[base.PartitionId, base.ServerId] = {}
        for name, server in self._servers.items():
            for partition in server.list_owned(self._shard):
                other = owners.setdefault(partition, name)
                if other != name:
                    self._fail(f"{partition} owned by {other} and {name}")

    def check_record(self) -> None:
        """Check that no term or epoch in the record decreases.

        Called after each write to the table.
        """
        record = self._read_record()
        last = self._last
        self._last = record
        if record is None or last is None:
            return
        if record.term < last.term:
            self._fail_record(
                f"term decreased from {last.term} to {record.term}"
            )
        if record.term > last.term:
            self._superseded_at[last.term] = _read_time()
        for partition, old in last.owners.items():
            new = record.owners.get(partition)
            if new != old and (new is None or new.epoch <= old.epoch):
                self._fail_record(
                    f"owner of {partition} changed without a new epoch from "
                    f"{old} to {new}"
                )

    def check_copy(self, recorder: shards.ShardRecorder) -> None:
        """Check that a leader's acknowledged record is in the table.

        Parameters
        ----------
        recorder : ShardRecorder
            Recorder of a leader of the shard.
        """
        copy = recorder.record
        stored = self._last
        if stored is None:
            self._fail_record(f"{copy} was never stored")
            return
        if recorder.confirmed and stored.term < copy.term:
            self._fail_record(f"term {copy.term} was never stored")
        for partition, acknowledged in copy.owners.items():
            owner = stored.owners.get(partition)
            if owner is None or owner.epoch < acknowledged.epoch:
                self._fail_record(f"{partition} lost its owner {acknowledged}")
            elif (
                owner.epoch == acknowledged.epoch
                and owner.server != acknowledged.server
            ):
                self._fail_record(
                    f"owner of {partition} is {owner}, not {acknowledged}"
                )

    def check_run(self, name: base.ServerId, run: _servers.Run) -> None:
        """Check a request that a server has started to run.

        The server has to be the recorded owner of the partition, under the
        current epoch, and the term must not have been superseded for too
        long. A request with an idempotency key must not run twice.
        """
        if run.fence.shard != self._shard:
            return
        self.run_count += 1
        self.check_grants()
        record = self._read_record()
        owner = record.owners.get(run.fence.partition) if record else None
        if owner is None or owner.server != name:
            self._fail(f"{name} ran {run} owned by {owner}")
        elif owner.epoch != run.fence.epoch:
            self._fail(f"{name} ran {run} under an outdated epoch")
        superseded_at = self._superseded_at.get(run.fence.term)
        if superseded_at is not None:
            elapsed_ms = run.at_ms - superseded_at
            if elapsed_ms > self._get_max_superseded_ms():
                self._fail(
                    f"{run} ran {elapsed_ms} ms after its term was superseded"
                )
        if run.idempotency_key:
            self._runs[run.idempotency_key] += 1
            if self._runs[run.idempotency_key] > 1:
                self._fail(f"{run} ran twice")

    def _get_max_superseded_ms(self) -> int:
        """Return how long requests of a superseded term may still run."""
        timing = self._timing
        return timing.outage_lease_ms + timing.grant_ms + 2 * timing.margin_ms

    def _read_record(self) -> shards.ShardRecord | None:
        row = self._table.get_row(shards.make_record_key(self._shard))
        return shards.decode_record(row.value) if row.version else None

    def _fail_record(self, text: str) -> None:
        self.record_failures.append(f"at {_read_time()} ms: {text}")
        self._fail(text)

    def _fail(self, text: str) -> None:
        self._failures.append(f"at {_read_time()} ms: {text}")


def _chain(first: Callable | None, second: Callable) -> Callable:
    """Return a callback that calls both callbacks in order."""
    if first is None:
        return second

    def call(*arguments) -> None:
        first(*arguments)
        second(*arguments)

    return call


def _read_time() -> int:
    return base.Clock().now()
