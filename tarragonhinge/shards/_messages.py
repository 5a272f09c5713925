"""Messages between leaders, standbys and claimants."""

import msgspec

from tarragonhinge import base
from tarragonhinge import peers


@peers.register_message("shard.heartbeat")
class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """Heartbeat from a leader to its standby.

    Parameters
    ----------
    shard : ShardId
        The shard.
    term : Term
        The leader's term.
    row_version : int
        Version of the shard's row in the table.
    sequence : int
        Increases with each heartbeat of the term; heartbeats that
        arrive out of order are rejected.
    record : bytes
        Content of the row; empty if the standby has this version.
    outage : bool
        True if the leader cannot reach the store and offers an outage
        agreement.
    store_age_ms : int
        Time since the leader's last confirmed contact with the table.
    """

    shard: base.ShardId
    term: base.Term
    row_version: int
    sequence: int
    record: bytes = b""
    outage: bool = False
    store_age_ms: int = 0


@peers.register_message("shard.heartbeat_ack")
class HeartbeatAck(msgspec.Struct, frozen=True, kw_only=True):
    """Acknowledgement from a standby to its leader.

    Parameters
    ----------
    accepted : bool
        False if the standby has seen a higher term or a later heartbeat,
        or the receiver leads or claims the shard itself.
    incarnation : IncarnationId
        Identifies this run of the standby's process.
    row_version : int
        Version of the row that the standby has a copy of.
    lease_ms : int
        Time, counted from the sending of the heartbeat, during which the
        standby does not reassign the leader's servers;
        `Timing.outage_lease_ms` if neither can reach the store.
    store_age_ms : int
        Time since the standby's last confirmed contact with the table.
    """

    accepted: bool
    incarnation: base.IncarnationId = base.IncarnationId("")
    row_version: int = 0
    lease_ms: int = 0
    store_age_ms: int = 0


@peers.register_message("shard.handover")
class Handover(msgspec.Struct, frozen=True, kw_only=True):
    """Request from a stopping leader that the receiver take over.

    Parameters
    ----------
    shard : ShardId
        The shard.
    term : Term
        The leader's term.
    row_version : int
        Version of the shard's row in the table.
    record : bytes
        Content of the row.
    history : bytes
        Encoded request history of the shard; may be empty.
    """

    shard: base.ShardId
    term: base.Term
    row_version: int
    record: bytes
    history: bytes = b""


@peers.register_message("shard.handover_ack")
class HandoverAck(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `Handover`: whether the receiver leads the shard now."""

    accepted: bool


@peers.register_message("shard.roles_query")
class RolesQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks which of the listed shards the receiver has a role in."""

    shards: list[base.ShardId]


@peers.register_message("shard.roles_reply")
class RolesReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `RolesQuery`: the shards in which the sender has a role."""

    shards: list[base.ShardId]


@peers.register_message("shard.query")
class LeaderQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks whether the receiver leads a shard."""

    shard: base.ShardId


@peers.register_message("shard.query_reply")
class LeaderReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `LeaderQuery`: the sender's role, and the leader if known."""

    leads: bool
    stands_by: bool = False
    leader: base.Address = base.Address("")
