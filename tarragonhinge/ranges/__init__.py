"""Assignment of key ranges to servers: plans, grants, renewals, moves."""

from tarragonhinge.ranges._grants import CONNECTION_WAIT_MS
from tarragonhinge.ranges._grants import ConnectionId
from tarragonhinge.ranges._grants import Grant
from tarragonhinge.ranges._grants import GrantClient
from tarragonhinge.ranges._grants import GrantReply
from tarragonhinge.ranges._grants import GrantResult
from tarragonhinge.ranges._grants import Holder
from tarragonhinge.ranges._grants import Release
from tarragonhinge.ranges._grants import TIMEOUT_MS as GRANT_TIMEOUT_MS
from tarragonhinge.ranges._key_load import KeyLoad
from tarragonhinge.ranges._key_load import LoadProfile
from tarragonhinge.ranges._leader import RangeLeader
from tarragonhinge.ranges._planner import Balance
from tarragonhinge.ranges._planner import Capacity
from tarragonhinge.ranges._planner import divide_by_load
from tarragonhinge.ranges._planner import divide_evenly
from tarragonhinge.ranges._planner import plan_moves
from tarragonhinge.ranges._planner import PlannedMove
from tarragonhinge.ranges._record import decode_record
from tarragonhinge.ranges._record import encode_record
from tarragonhinge.ranges._record import RangeRecord
from tarragonhinge.ranges._record import TABLE
from tarragonhinge.ranges._recorder import LeadershipLostError
from tarragonhinge.ranges._recorder import RangeRecorder

__all__ = [
    "Balance",
    "CONNECTION_WAIT_MS",
    "Capacity",
    "ConnectionId",
    "GRANT_TIMEOUT_MS",
    "Grant",
    "GrantClient",
    "GrantReply",
    "GrantResult",
    "Holder",
    "KeyLoad",
    "LeadershipLostError",
    "LoadProfile",
    "PlannedMove",
    "RangeLeader",
    "RangeRecord",
    "RangeRecorder",
    "Release",
    "TABLE",
    "decode_record",
    "divide_by_load",
    "divide_evenly",
    "encode_record",
    "plan_moves",
]
