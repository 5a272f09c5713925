"""Messages between leaders, standbys and claimants."""

import msgspec

from tarragonhinge import base
from tarragonhinge import peers


@peers.register_message("shard.heartbeat")
class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """Leader to standby.

    Parameters
    ----------
    shard : ShardId
        The shard.
    term : Term
        The leader's term.
    row_version : int
        Version of the shard's row in the table.
    sequence : int
        Grows with each heartbeat of the term; late ones are refused.
    record : bytes
        Content of the row; empty if the standby has this version.
    outage : bool
        True if the leader sees the store down and offers an agreement.
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
    """Standby to leader.

    Parameters
    ----------
    accepted : bool
        False if the standby knows of a higher term or a later heartbeat.
    incarnation : IncarnationId
        This run of the standby's process.
    row_version : int
        Version of the row that the standby holds.
    lease_ms : int
        How long, from when the heartbeat was sent, the standby leaves
        the leader's servers to it; `Timing.outage_lease_ms` if both
        see the store down.
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
    """A leaving leader asks its standby to take over at once."""

    shard: base.ShardId
    term: base.Term
    row_version: int
    record: bytes
    history: bytes = b""


@peers.register_message("shard.handover_ack")
class HandoverAck(msgspec.Struct, frozen=True, kw_only=True):
    """The standby leads now, or could not take over."""

    accepted: bool


@peers.register_message("shard.roles_query")
class RolesQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks which of some shards the receiver leads or stands by for."""

    shards: list[base.ShardId]


@peers.register_message("shard.roles_reply")
class RolesReply(msgspec.Struct, frozen=True, kw_only=True):
    """Those of the shards that the sender leads or stands by for."""

    shards: list[base.ShardId]


@peers.register_message("shard.query")
class LeaderQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks whether the receiver leads a shard."""

    shard: base.ShardId


@peers.register_message("shard.query_reply")
class LeaderReply(msgspec.Struct, frozen=True, kw_only=True):
    """Role of the sender in a shard, and the leader it knows of."""

    leads: bool
    stands_by: bool = False
    leader: base.Address = base.Address("")
