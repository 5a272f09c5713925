"""Byte budgets for traffic between regions."""

import collections
import math

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import dispatch
from tarragonhinge import membership

#: Duration over which unused bytes accumulate.
BURST_DURATION_MS = 1000

#: Fraction of a burst reserved for non-idempotent requests.
RESERVED_BURST_FRACTION = 0.2

#: Size of a message apart from its path, header fields and body.
MESSAGE_OVERHEAD_BYTES = 128


class CrossRegionBudgets:
    """Limits of services' bytes per second to and from other regions.

    The entry charges a request before it is forwarded, and its answer on
    arrival, which may overdraw the budget.  Each entry of a region gets an
    equal share of the budget in a service's row.  The share is based on the
    recent maximum of the number of entries, so that it is lowered at once
    and raised with a delay.  Idempotent requests are refused first.

    Parameters
    ----------
    region : RegionName
        Region of this instance.
    view : TableView
        Versions of the operators' table.
    instances : InstanceView
        Instances listed by the platform.
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
        self._entry_counts: collections.deque[tuple[int, int]] = (
            collections.deque()
        )

    def admit(self, request: dispatch.ForwardRequest) -> base.NotRun | None:
        """Charge a request to another region.

        Returns
        -------
        NotRun or None
            A refusal if the budget is exhausted, else None.
        """
        bucket = self._find_bucket(request.shard)
        if bucket is None:
            return None
        reserved = (
            RESERVED_BURST_FRACTION if self._is_idempotent(request) else 0.0
        )
        wait_ms = bucket.take(
            _compute_request_bytes(request), reserved=reserved
        )
        if not wait_ms:
            return None
        self.refused_count += 1
        return base.NotRun(
            reason=base.NotRunReason.OVERLOADED, retry_after_ms=wait_ms
        )

    def charge_answer(
        self, request: dispatch.ForwardRequest, outcome: base.Outcome
    ) -> None:
        """Charge an answer from another region."""
        bucket = self._find_bucket(request.shard)
        if bucket is None or not isinstance(outcome, base.Answered):
            return
        header_bytes = sum(len(n) + len(v) for n, v in outcome.headers)
        bucket.charge(
            MESSAGE_OVERHEAD_BYTES + header_bytes + len(outcome.body)
        )

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
        rate = (
            math.inf if limit is None else limit / self._get_max_entry_count()
        )
        bucket = self._buckets.get(shard)
        if bucket is None:
            bucket = admission.TokenBucket(
                rate=rate, clock=self._clock, burst_ms=BURST_DURATION_MS
            )
            self._buckets[shard] = bucket
        bucket.set_rate(rate)
        return bucket

    def _get_max_entry_count(self) -> int:
        """Return the recent maximum of the number of entries of the region."""
        now = self._clock.now()
        count = max(1, len(self._instances.list_ready(self._region)))
        while self._entry_counts and self._entry_counts[-1][1] <= count:
            self._entry_counts.pop()
        self._entry_counts.append((now, count))
        while self._entry_counts[0][0] <= now - admission.IN_FORCE_LIMIT_MS:
            self._entry_counts.popleft()
        return self._entry_counts[0][1]

    def dump(self) -> dict:
        """Return the current state, for operators."""
        return {
            shard: bucket.dump() for shard, bucket in self._buckets.items()
        }


def _get_limit(
    table: configuration.OperatorsTable, service: base.ServiceName
) -> float | None:
    row = table.find_row(service)
    if row is None or not row.cross_region_bytes:
        return None
    return float(row.cross_region_bytes)


def _compute_request_bytes(request: dispatch.ForwardRequest) -> int:
    header_bytes = sum(
        len(name) + len(value) for name, value in request.headers
    )
    return (
        MESSAGE_OVERHEAD_BYTES
        + len(request.path)
        + header_bytes
        + len(request.body)
    )
