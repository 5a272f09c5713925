"""Addresses of the leaders of shards."""

from tarragonhinge import base
from tarragonhinge import membership

#: Time for which an instance that did not respond is avoided.
SUSPECT_DURATION_MS = 1000


class LeaderDirectory:
    """Cache of leader addresses, updated by answers and refusals.

    For a shard without a recorded leader it chooses the instance that
    rendezvous hashing ranks first, since that instance claims the shard or
    can name its leader.

    An instance that did not respond is avoided for `SUSPECT_DURATION_MS`,
    unless there is no other.

    Parameters
    ----------
    instances : InstanceView
        Instances listed by the platform.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self, *, instances: membership.InstanceView, clock: base.Clock
    ) -> None:
        self._instances = instances
        self._clock = clock
        self._suspect_until: dict[base.Address, int] = {}
        self._leaders: dict[base.ShardId, base.Address] = {}

    def choose_address(
        self, shard: base.ShardId, attempt: int
    ) -> base.Address:
        """Return the address to send an attempt to.

        Parameters
        ----------
        shard : ShardId
            The shard.
        attempt : int
            Number of earlier attempts; selects among the instances if no
            leader is recorded.

        Returns
        -------
        Address
            The address; empty if no instance of the region is ready.
        """
        leader = self._leaders.get(shard)
        if leader and not self._is_suspect(leader):
            return leader
        _, region = base.split_shard_id(shard)
        entries = {
            entry.instance: entry.address
            for entry in self._instances.list_ready(region)
        }
        if not entries:
            return base.Address("")
        names = membership.rank_names(shard, entries)
        responsive = [n for n in names if not self._is_suspect(entries[n])]
        names = responsive or names
        return entries[names[attempt % len(names)]]

    def record_leader(self, shard: base.ShardId, address: str) -> None:
        """Record the address of a shard's leader."""
        self._leaders[shard] = base.Address(address)

    def forget_leader(self, shard: base.ShardId) -> None:
        """Drop the recorded address of a shard's leader."""
        self._leaders.pop(shard, None)

    def mark_suspect(self, address: base.Address) -> None:
        """Avoid an instance that did not respond."""
        self._suspect_until[address] = self._clock.now() + SUSPECT_DURATION_MS

    def _is_suspect(self, address: base.Address) -> bool:
        until = self._suspect_until.get(address)
        if until is None:
            return False
        if self._clock.now() < until:
            return True
        del self._suspect_until[address]
        return False
