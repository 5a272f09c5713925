"""Records of claims, and the waits that a takeover requires."""

import msgspec

from tarragonhinge import base
from tarragonhinge.shards import _candidates
from tarragonhinge.shards import _record
from tarragonhinge.shards import _timing


class ClaimBuilder:
    """Builds the records with which one instance claims shards.

    Parameters
    ----------
    holder : Holder
        This instance and this run of its process.
    candidates : Candidates
        Chooses the standby.
    clock : Clock
        Clock of this process.
    timing : Timing
        Durations of leases and heartbeats.
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
        """Return the record that makes this instance the leader.

        Parameters
        ----------
        shard : ShardId
            The shard.
        record : ShardRecord or None
            Current record; None if the shard has none.
        excluded : Holder or None
            Instance that must not become the standby; None excludes the
            leader of `record`.
        """
        if record is None:
            return _record.ShardRecord(
                term=base.Term(1),
                leader=self._holder,
                standby=self._candidates.choose_standby(shard, None),
            )
        lost = excluded or record.leader
        term_increment = 1 if self._is_reserved(record) else 2
        return msgspec.structs.replace(
            record,
            term=base.Term(record.term + term_increment),
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

    def compute_inherited_until(
        self, record: _record.ShardRecord | None, promised_until: int
    ) -> int:
        """Return when the authority and grants of previous leaders expire.

        No grant outlasts the authority under which it was given.  The
        recorded standby waits for the promise that it made to the leader;
        any other claimant has to assume that an outage agreement was made
        just before the claim.

        Parameters
        ----------
        record : ShardRecord or None
            Record before the claim.
        promised_until : int
            Instant until which this process promised, as a standby, not
            to reassign the leader's servers.

        Returns
        -------
        int
            Instant on this process's clock, in milliseconds.
        """
        now = self._clock.now()
        if record is None:
            return now
        if not self._is_reserved(record):
            return now + self._timing.add_margin(self._timing.outage_lease_ms)
        remaining_ms = max(self._timing.lease_ms, promised_until - now)
        return now + self._timing.add_margin(remaining_ms)

    def list_previous_holders(
        self, record: _record.ShardRecord | None
    ) -> frozenset[base.InstanceId]:
        """Return the other instances that may still act under a record."""
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
