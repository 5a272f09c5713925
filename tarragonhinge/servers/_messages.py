"""Messages of the grant protocol between leaders and backend servers."""

import msgspec

from tarragonhinge import base

GRANT_PATH = "/.grants"

HEADER_SHARD = "Tarragonhinge-Shard"
HEADER_PARTITION = "Tarragonhinge-Partition"
HEADER_TERM = "Tarragonhinge-Term"
HEADER_EPOCH = "Tarragonhinge-Epoch"
HEADER_DEADLINE_MS = "Tarragonhinge-Deadline-Ms"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"

#: Header field of an answer by which a server refuses a request that it
#: did not run.
HEADER_NOT_RUN = "Tarragonhinge-Not-Run"


class PartitionGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Grant of the ownership of one partition."""

    partition: base.PartitionId
    epoch: base.Epoch


class GrantRequest(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Batched heartbeat of a shard's leader to one server.

    Parameters
    ----------
    shard : ShardId
        Shard of the partitions.
    term : Term
        Fencing token of the leader.  A server refuses a term lower than
        the highest one that it has accepted.
    sequence : int
        Increases with each request of the term.  A server refuses a
        sequence that is not higher than the last one, so that a delayed
        request cannot undo a later one.
    server_incarnation : str
        Incarnation of the server, to whose clock `expires_at` refers; empty
        in a heartbeat that grants nothing, such as the first one.
    expires_at : int
        Time at which all grants of the shard expire, on the server's clock
        in milliseconds.
    granted : list of PartitionGrant
        Partitions newly granted.
    revoked : list of PartitionId
        Partitions whose grants are revoked.
    full : bool
        True if `granted` replaces all previous grants.
    """

    shard: base.ShardId
    term: base.Term
    sequence: int = 0
    server_incarnation: str = ""
    expires_at: int = 0
    granted: list[PartitionGrant] = []
    revoked: list[base.PartitionId] = []
    full: bool = False


class GrantReply(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Reply to a `GrantRequest`.

    Parameters
    ----------
    accepted : bool
        False if the term is lower than `term`, the sequence is not higher
        than the last one, or the incarnation is not the server's current
        one.
    term : Term
        Highest term that the server has accepted for the shard.
    server_incarnation : str
        Current incarnation of the server.
    clock_ms : int
        Reading of the server's monotonic clock, in milliseconds.
    in_flight : int
        Number of running requests.
    draining : bool
        True if the server asks not to get new requests.
    """

    accepted: bool
    term: base.Term
    server_incarnation: str
    clock_ms: int
    in_flight: int = 0
    draining: bool = False


class Fence(msgspec.Struct, frozen=True, kw_only=True):
    """Fencing token of a dispatched request."""

    shard: base.ShardId
    partition: base.PartitionId
    term: base.Term
    epoch: base.Epoch


class ServerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request that a leader sends to a backend server."""

    fence: Fence
    method: str
    path: str
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    deadline_ms: int = 0
    idempotency_key: str = ""
