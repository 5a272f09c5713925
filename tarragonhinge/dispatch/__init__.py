"""Dispatch of requests by a shard's leader.

The leader runs each request at most once and enforces the limits of its
servers and of the service.
"""

from tarragonhinge.dispatch._dispatcher import Dispatcher
from tarragonhinge.dispatch._fingerprint import parse_key
from tarragonhinge.dispatch._history import RequestHistory
from tarragonhinge.dispatch._history_policy import HISTORY_POLICIES
from tarragonhinge.dispatch._history_policy import HistoryPolicy
from tarragonhinge.dispatch._messages import CancelReply
from tarragonhinge.dispatch._messages import CancelRequest
from tarragonhinge.dispatch._messages import decode_outcome
from tarragonhinge.dispatch._messages import encode_outcome
from tarragonhinge.dispatch._messages import ForwardAnswered
from tarragonhinge.dispatch._messages import ForwardNotRun
from tarragonhinge.dispatch._messages import ForwardReply
from tarragonhinge.dispatch._messages import ForwardRequest
from tarragonhinge.dispatch._messages import ForwardUnknown
from tarragonhinge.dispatch._messages import HistoryBatch
from tarragonhinge.dispatch._standby_policy import StandbyPolicy
from tarragonhinge.dispatch._table_policy import TablePolicy

__all__ = [
    "HISTORY_POLICIES",
    "CancelReply",
    "CancelRequest",
    "Dispatcher",
    "ForwardAnswered",
    "ForwardNotRun",
    "ForwardReply",
    "ForwardRequest",
    "ForwardUnknown",
    "HistoryBatch",
    "HistoryPolicy",
    "RequestHistory",
    "StandbyPolicy",
    "TablePolicy",
    "decode_outcome",
    "encode_outcome",
    "parse_key",
]
