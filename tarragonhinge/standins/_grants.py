"""Checks of grants and fencing tokens by a backend server."""

import dataclasses

from tarragonhinge import base
from tarragonhinge import servers


@dataclasses.dataclass(kw_only=True, slots=True)
class ShardGrants:
    """Grants that a server has received from the leader of one shard.

    Parameters
    ----------
    term : Term
        Highest term from which a heartbeat was received.
    sequence : int
        Sequence number of the latest accepted heartbeat.
    expires_at : int
        Server's time at which the grants expire, in milliseconds.
    epochs : dict
        Epoch of each granted partition.
    """

    term: base.Term = base.Term(0)
    sequence: int = 0
    expires_at: int = 0
    epochs: dict[base.PartitionId, base.Epoch] = dataclasses.field(
        default_factory=dict
    )


class GrantTable:
    """Grants that a server has received since it started.

    Parameters
    ----------
    incarnation : str
        Id of this run of the server.
    dialect : str
        Registered name of the dialect in which the server accepts grants.
    """

    def __init__(self, *, incarnation: str, dialect: str = "lapsing") -> None:
        self.incarnation = incarnation
        self._dialect = servers.DIALECTS.find(dialect)
        self.shards: dict[base.ShardId, ShardGrants] = {}

    def apply(
        self, request: servers.GrantRequest, *, now: int
    ) -> servers.GrantReply:
        """Apply a heartbeat that arrived at the server's time `now`, in ms."""
        shard_grants = self.shards.setdefault(request.shard, ShardGrants())
        if request.term > shard_grants.term:
            shard_grants = ShardGrants(term=request.term)
            self.shards[request.shard] = shard_grants
        accepted = self._is_current(request, shard_grants)
        if accepted:
            shard_grants.sequence = request.sequence
            self._store(request, shard_grants)
        return servers.GrantReply(
            accepted=accepted,
            term=shard_grants.term,
            server_incarnation=self.incarnation,
            clock_ms=now,
        )

    def _is_current(
        self, request: servers.GrantRequest, shard_grants: ShardGrants
    ) -> bool:
        if not self._dialect.checks_term:
            return True
        if (
            request.term < shard_grants.term
            or request.sequence <= shard_grants.sequence
        ):
            return False
        return request.server_incarnation in ("", self.incarnation)

    def _store(
        self, request: servers.GrantRequest, shard_grants: ShardGrants
    ) -> None:
        if request.full:
            shard_grants.epochs = {}
        for partition in request.revoked:
            shard_grants.epochs.pop(partition, None)
        for grant in request.granted:
            shard_grants.epochs[grant.partition] = grant.epoch
        if request.server_incarnation:
            shard_grants.expires_at = max(
                shard_grants.expires_at, request.expires_at
            )

    def owns(self, fence: servers.Fence, *, now: int) -> bool:
        """Return whether a request with the fencing token may run."""
        if not self._dialect.checks_term:
            return True
        shard_grants = self.shards.get(fence.shard)
        return (
            shard_grants is not None
            and shard_grants.term == fence.term
            and shard_grants.epochs.get(fence.partition) == fence.epoch
            and self.is_valid(fence.shard, now=now)
        )

    def is_valid(self, shard: base.ShardId, *, now: int) -> bool:
        """Return whether the grants of a shard have not expired."""
        if not self._dialect.lapses:
            return True
        return now < self.shards[shard].expires_at
