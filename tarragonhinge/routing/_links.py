"""Budgets of bytes between regions."""

import collections
import math

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import dispatch
from tarragonhinge import membership

#: Time for which unused bytes are kept.
BURST_MS = 1000

#: Part of a burst that only non-idempotent requests may use.
RESERVED_PART = 0.2

#: Bytes of a message besides its path, header fields and body.
OVERHEAD_BYTES = 128


class CrossRegionBudgets:
    """Bytes a second that a service may send to each other region.

    The entry counts both ways: a request before it is forwarded, and
    its answer when it arrives, which may leave a debt.  Entries of a
    region divide a row's budget by their number, the largest of late,
    so that a share is lowered at once and raised late.  Idempotent
    requests are refused first.

    Parameters
    ----------
    region : RegionName
        Region of this instance.
    view : TableView
        Versions of the operators' table.
    instances : InstanceView
        The platform's list.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        region: base.RegionName,
        view: configuration.TableView,
        instances: membership.InstanceView,
        clock: base.Clock,
    ) -> None:
        self.refused_count = 0
        self._region = region
        self._view = view
        self._tables = admission.RecentTables(view=view, clock=clock)
        self._instances = instances
        self._clock = clock
        self._buckets: dict[base.ShardId, admission.TokenBucket] = {}
        self._counts: collections.deque[tuple[int, int]] = collections.deque()

    def admit(self, request: dispatch.ForwardRequest) -> base.NotRun | None:
        """Count a request to another region; return a refusal if above."""
        bucket = self._find_bucket(request.shard)
        if bucket is None:
            return None
        reserved = RESERVED_PART if self._is_idempotent(request) else 0.0
        wait_ms = bucket.take(_count_bytes(request), reserved=reserved)
        if not wait_ms:
            return None
        self.refused_count += 1
        return base.NotRun(
            reason=base.NotRunReason.OVERLOADED, retry_after_ms=wait_ms
        )

    def charge_answer(
        self, request: dispatch.ForwardRequest, outcome: base.Outcome
    ) -> None:
        """Count an answer from another region."""
        bucket = self._find_bucket(request.shard)
        if bucket is None or not isinstance(outcome, base.Answered):
            return
        fields = sum(len(n) + len(v) for n, v in outcome.headers)
        bucket.charge(OVERHEAD_BYTES + fields + len(outcome.body))

    def _is_idempotent(self, request: dispatch.ForwardRequest) -> bool:
        service, _ = base.split_shard_id(request.shard)
        row = self._view.current.find_row(service)
        return row is not None and request.method in row.idempotent_methods

    def _find_bucket(
        self, shard: base.ShardId
    ) -> admission.TokenBucket | None:
        service, region = base.split_shard_id(shard)
        if region == self._region:
            return None
        limit = self._tables.find_least(
            lambda table: _get_limit(table, service)
        )
        rate = math.inf if limit is None else limit / self._count_entries()
        bucket = self._buckets.get(shard)
        if bucket is None:
            bucket = admission.TokenBucket(
                rate=rate, clock=self._clock, burst_ms=BURST_MS
            )
            self._buckets[shard] = bucket
        bucket.set_rate(rate)
        return bucket

    def _count_entries(self) -> int:
        """Return the most entries of the region that were listed of late."""
        now = self._clock.now()
        count = max(1, len(self._instances.list_ready(self._region)))
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while self._counts[0][0] <= now - admission.IN_FORCE_LIMIT_MS:
            self._counts.popleft()
        return self._counts[0][1]

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        return {name: b.dump() for name, b in self._buckets.items()}


def _get_limit(
    table: configuration.OperatorsTable, service: base.ServiceName
) -> float | None:
    row = table.find_row(service)
    if row is None or not row.cross_region_bytes:
        return None
    return float(row.cross_region_bytes)


def _count_bytes(request: dispatch.ForwardRequest) -> int:
    fields = sum(len(name) + len(value) for name, value in request.headers)
    return OVERHEAD_BYTES + len(request.path) + fields + len(request.body)
