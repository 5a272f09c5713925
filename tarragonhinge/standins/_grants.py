"""Check of grants as a backend server makes it."""

import dataclasses

from tarragonhinge import base
from tarragonhinge import servers


@dataclasses.dataclass(kw_only=True, slots=True)
class ShardGrants:
    """What a server holds of one shard."""

    term: base.Term = base.Term(0)
    sequence: int = 0
    expires_at: int = 0
    epochs: dict[base.PartitionId, base.Epoch] = dataclasses.field(
        default_factory=dict
    )


class GrantTable:
    """Grants of one run of a server.

    Parameters
    ----------
    incarnation : str
        This run.
    dialect : str
        How this server takes grants.
    """

    def __init__(self, *, incarnation: str, dialect: str = "lapsing") -> None:
        self.incarnation = incarnation
        self._dialect = servers.DIALECTS.find(dialect)
        self.shards: dict[base.ShardId, ShardGrants] = {}

    def apply(
        self, request: servers.GrantRequest, *, now: int
    ) -> servers.GrantReply:
        """Take a heartbeat at the server's time `now`."""
        held = self.shards.setdefault(request.shard, ShardGrants())
        if request.term > held.term:
            held = ShardGrants(term=request.term)
            self.shards[request.shard] = held
        accepted = self._is_current(request, held)
        if accepted:
            held.sequence = request.sequence
            self._store(request, held)
        return servers.GrantReply(
            accepted=accepted,
            term=held.term,
            server_incarnation=self.incarnation,
            clock_ms=now,
        )

    def _is_current(
        self, request: servers.GrantRequest, held: ShardGrants
    ) -> bool:
        if not self._dialect.checks_term:
            return True
        if request.term < held.term or request.sequence <= held.sequence:
            return False
        return request.server_incarnation in ("", self.incarnation)

    def _store(self, request: servers.GrantRequest, held: ShardGrants) -> None:
        if request.full:
            held.epochs = {}
        for partition in request.revoked:
            held.epochs.pop(partition, None)
        for grant in request.granted:
            held.epochs[grant.partition] = grant.epoch
        if request.server_incarnation:
            held.expires_at = max(held.expires_at, request.expires_at)

    def owns(self, fence: servers.Fence, *, now: int) -> bool:
        """Return whether a request with a fencing token may run."""
        if not self._dialect.checks_term:
            return True
        held = self.shards.get(fence.shard)
        return (
            held is not None
            and held.term == fence.term
            and held.epochs.get(fence.partition) == fence.epoch
            and self.is_valid(fence.shard, now=now)
        )

    def is_valid(self, shard: base.ShardId, *, now: int) -> bool:
        """Return whether the grants of a shard have not lapsed."""
        if not self._dialect.lapses:
            return True
        return now < self.shards[shard].expires_at
