"""Where the leaders of shards are."""

from tarragonhinge import base
from tarragonhinge import membership

#: How long an instance that gave no answer is passed over.
SUSPECT_MS = 1000


class LeaderDirectory:
    """Addresses of leaders, learned on use and corrected by refusals.

    Without knowledge of a shard it guesses the instance that rendezvous
    hashing prefers, since that one claims the shard or knows who did.

    An instance that gave no answer is passed over for a while, unless
    no other is left.

    Parameters
    ----------
    instances : InstanceView
        The platform's list.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self, *, instances: membership.InstanceView, clock: base.Clock
    ) -> None:
        self._instances = instances
        self._clock = clock
        self._suspects: dict[base.Address, int] = {}
        self._known: dict[base.ShardId, base.Address] = {}

    def guess(self, shard: base.ShardId, attempt: int) -> base.Address:
        """Return the address to try, or an empty one."""
        known = self._known.get(shard)
        if known and not self._is_suspect(known):
            return known
        _, region = base.split_shard_id(shard)
        entries = {
            entry.instance: entry.address
            for entry in self._instances.list_ready(region)
        }
        if not entries:
            return base.Address("")
        names = membership.rank_names(shard, entries)
        trusted = [n for n in names if not self._is_suspect(entries[n])]
        names = trusted or names
        return entries[names[attempt % len(names)]]

    def learn(self, shard: base.ShardId, address: str) -> None:
        """Remember the leader that a refusal named."""
        self._known[shard] = base.Address(address)

    def forget(self, shard: base.ShardId) -> None:
        """Drop an address that did not lead to the leader."""
        self._known.pop(shard, None)

    def suspect(self, address: base.Address) -> None:
        """Pass an instance over, since it gave no answer."""
        self._suspects[address] = self._clock.now() + SUSPECT_MS

    def _is_suspect(self, address: base.Address) -> bool:
        until = self._suspects.get(address)
        if until is None:
            return False
        if self._clock.now() < until:
            return True
        del self._suspects[address]
        return False
