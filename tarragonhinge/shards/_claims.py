"""Records that a claimant writes, and what it has to wait for."""

import msgspec

from tarragonhinge import base
from tarragonhinge.shards import _candidates
from tarragonhinge.shards import _record
from tarragonhinge.shards import _timing


class ClaimMaker:
    """Makes the claims of one instance.

    Parameters
    ----------
    holder : Holder
        This run of the process.
    candidates : Candidates
        Chooses the standby.
    clock : Clock
        This process's clock.
    timing : Timing
        Durations.
    """

    def __init__(
        self,
        *,
        holder: _record.Holder,
        candidates: _candidates.Candidates,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self._holder = holder
        self._candidates = candidates
        self._clock = clock
        self._timing = timing

    def make_record(
        self,
        shard: base.ShardId,
        record: _record.ShardRecord | None,
        excluded: _record.Holder | None,
    ) -> _record.ShardRecord:
        """Return the record that makes this instance the leader."""
        if record is None:
            return _record.ShardRecord(
                term=base.Term(1),
                leader=self._holder,
                standby=self._candidates.choose_standby(shard, None),
            )
        lost = excluded or record.leader
        step = 1 if self._is_reserved(record) else 2
        return msgspec.structs.replace(
            record,
            term=base.Term(record.term + step),
            leader=self._holder,
            standby=self._candidates.choose_standby(shard, lost),
            history="",
        )

    def _is_reserved(self, record: _record.ShardRecord) -> bool:
        """Return whether the next term is reserved for this process."""
        return (
            record.standby is not None
            and record.standby.incarnation == self._holder.incarnation
        )

    def bound_earlier(
        self, record: _record.ShardRecord | None, promised_until: int
    ) -> int:
        """Return when earlier leaders and their grants have surely ended.

        The standby knows what it promised; anyone else has to assume
        that an agreement for an outage was made just before the claim.
        No grant outlasts the authority that it was given under.
        """
        now = self._clock.now()
        if record is None:
            return now
        if not self._is_reserved(record):
            return now + self._timing.add_margin(self._timing.outage_lease_ms)
        left_ms = max(self._timing.lease_ms, promised_until - now)
        return now + self._timing.add_margin(left_ms)

    def list_earlier(
        self, record: _record.ShardRecord | None
    ) -> frozenset[base.InstanceId]:
        """Return the other instances that may act under a record."""
        if record is None:
            return frozenset()
        holders = [record.leader]
        if record.standby is not None:
            holders.append(record.standby)
        return frozenset(
            holder.instance
            for holder in holders
            if holder.incarnation != self._holder.incarnation
        )
