"""Distributes store updates from the coordinator to the other instances."""

from tarragonhinge.relay._exchange import Exchange
from tarragonhinge.relay._frames import encode_frame
from tarragonhinge.relay._frames import read_message
from tarragonhinge.relay._hub import HEARTBEAT_INTERVAL_MS
from tarragonhinge.relay._hub import Hub
from tarragonhinge.relay._messages import Deposed
from tarragonhinge.relay._messages import Heartbeat
from tarragonhinge.relay._messages import Hello
from tarragonhinge.relay._messages import Loads
from tarragonhinge.relay._messages import MeasuredServiceTime
from tarragonhinge.relay._messages import ObservedLoad
from tarragonhinge.relay._messages import Permit
from tarragonhinge.relay._messages import PermitRequest
from tarragonhinge.relay._messages import Report
from tarragonhinge.relay._messages import Update
from tarragonhinge.relay._subscription import EndReason
from tarragonhinge.relay._subscription import Subscription

__all__ = [
    "HEARTBEAT_INTERVAL_MS",
    "Deposed",
    "EndReason",
    "Exchange",
    "Heartbeat",
    "Hello",
    "Hub",
    "Loads",
    "MeasuredServiceTime",
    "ObservedLoad",
    "Permit",
    "PermitRequest",
    "Report",
    "Subscription",
    "Update",
    "encode_frame",
    "read_message",
]
