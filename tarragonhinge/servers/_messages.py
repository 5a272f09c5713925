"""Messages of the grant protocol that backend servers speak."""

import msgspec

from tarragonhinge import base

GRANT_PATH = "/.grants"

HEADER_SHARD = "Tarragonhinge-Shard"
HEADER_PARTITION = "Tarragonhinge-Partition"
HEADER_TERM = "Tarragonhinge-Term"
HEADER_EPOCH = "Tarragonhinge-Epoch"
HEADER_DEADLINE_MS = "Tarragonhinge-Deadline-Ms"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"

#: Set by a server on a refusal made before anything ran.
HEADER_NOT_RUN = "Tarragonhinge-Not-Run"


class PartitionGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to own one partition."""

    partition: base.PartitionId
    epoch: base.Epoch


class GrantRequest(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Batched heartbeat of a shard's leader to one server.

    Parameters
    ----------
    shard : ShardId
        Whose partitions these are.
    term : Term
        Fencing token of the leader; a server refuses a lower one than
        it has accepted.
    sequence : int
        Grows with each request of the term; a server refuses one that
        is not higher than the last, so that a late request undoes
        nothing.
    server_incarnation : str
        The run of the server that `expires_at` belongs to; empty on
        first contact, when nothing is granted.
    expires_at : int
        When all grants of the shard lapse, on the server's own clock.
    granted : list of PartitionGrant
        Partitions newly granted.
    revoked : list of PartitionId
        Partitions withdrawn.
    full : bool
        True if `granted` replaces all that the server held.
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
    """Answer to a `GrantRequest`.

    Parameters
    ----------
    accepted : bool
        False if the term is lower than `term`, the sequence is not
        higher than the last, or the incarnation is not the server's
        present one.
    term : Term
        Highest term that the server has accepted for the shard.
    server_incarnation : str
        This run of the server.
    clock_ms : int
        Reading of the server's monotonic clock.
    in_flight : int
        Requests running now.
    draining : bool
        True if the server asks for no new work.
    """

    accepted: bool
    term: base.Term
    server_incarnation: str
    clock_ms: int
    in_flight: int = 0
    draining: bool = False


class Fence(msgspec.Struct, frozen=True, kw_only=True):
    """Fencing token that a dispatched request carries."""

    shard: base.ShardId
    partition: base.PartitionId
    term: base.Term
    epoch: base.Epoch


class ServerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it goes to a backend server."""

    fence: Fence
    method: str
    path: str
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    deadline_ms: int = 0
    idempotency_key: str = ""
