"""Shard ownership: leaders, standbys, server grants and takeover."""

from tarragonhinge.shards._authority import AuthorityLease
from tarragonhinge.shards._balanced_planner import BalancedPlanner
from tarragonhinge.shards._candidates import Candidates
from tarragonhinge.shards._claim_builder import ClaimBuilder
from tarragonhinge.shards._coordinator import ShardCoordinator
from tarragonhinge.shards._hashed_planner import HashedPlanner
from tarragonhinge.shards._keeper import GrantKeeper
from tarragonhinge.shards._keeper import ServerState
from tarragonhinge.shards._leader import LeaderState
from tarragonhinge.shards._leader import ShardLeader
from tarragonhinge.shards._messages import Handover
from tarragonhinge.shards._messages import HandoverAck
from tarragonhinge.shards._messages import Heartbeat
from tarragonhinge.shards._messages import HeartbeatAck
from tarragonhinge.shards._messages import LeaderQuery
from tarragonhinge.shards._messages import LeaderReply
from tarragonhinge.shards._outage_agreement import OutageAgreement
from tarragonhinge.shards._owners import ClientFactory
from tarragonhinge.shards._owners import ShardOwners
from tarragonhinge.shards._planner import Planner
from tarragonhinge.shards._planner import PLANNERS
from tarragonhinge.shards._record import Assignment
from tarragonhinge.shards._record import decode_record
from tarragonhinge.shards._record import encode_record
from tarragonhinge.shards._record import Holder
from tarragonhinge.shards._record import make_record_key
from tarragonhinge.shards._record import ShardRecord
from tarragonhinge.shards._recorder import ShardRecorder
from tarragonhinge.shards._roles import ShardRoles
from tarragonhinge.shards._server_report import ServerReport
from tarragonhinge.shards._standby import ShardStandby
from tarragonhinge.shards._standby_link import StandbyLink
from tarragonhinge.shards._timing import Timing
from tarragonhinge.shards._weighed_planner import WeighedPlanner

__all__ = [
    "PLANNERS",
    "Assignment",
    "AuthorityLease",
    "BalancedPlanner",
    "Candidates",
    "ClaimBuilder",
    "ClientFactory",
    "GrantKeeper",
    "Handover",
    "HandoverAck",
    "HashedPlanner",
    "Heartbeat",
    "HeartbeatAck",
    "Holder",
    "LeaderQuery",
    "LeaderReply",
    "LeaderState",
    "OutageAgreement",
    "Planner",
    "ServerReport",
    "ServerState",
    "ShardCoordinator",
    "ShardLeader",
    "ShardOwners",
    "ShardRecord",
    "ShardRecorder",
    "ShardRoles",
    "ShardStandby",
    "StandbyLink",
    "Timing",
    "WeighedPlanner",
    "decode_record",
    "encode_record",
    "make_record_key",
]
