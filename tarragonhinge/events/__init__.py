"""Structured events, logged as one JSON line each."""

from tarragonhinge.events._event import Event
from tarragonhinge.events._event import RequestEvent
from tarragonhinge.events._log import EventLog
from tarragonhinge.events._process_events import ClientClosed
from tarragonhinge.events._process_events import DependencyChanged
from tarragonhinge.events._process_events import EvacuationChanged
from tarragonhinge.events._process_events import GrantFailed
from tarragonhinge.events._process_events import KeysEvacuated
from tarragonhinge.events._process_events import LeadershipChanged
from tarragonhinge.events._process_events import LimitNamed
from tarragonhinge.events._process_events import LinesDropped
from tarragonhinge.events._process_events import MemoryShort
from tarragonhinge.events._process_events import PathChanged
from tarragonhinge.events._process_events import Planned
from tarragonhinge.events._process_events import QuarantineLifted
from tarragonhinge.events._process_events import Readiness
from tarragonhinge.events._process_events import RecordOutdated
from tarragonhinge.events._process_events import Reloaded
from tarragonhinge.events._process_events import RequestQuarantined
from tarragonhinge.events._process_events import RowIgnored
from tarragonhinge.events._process_events import SegmentMoved
from tarragonhinge.events._process_events import ServerAvoided
from tarragonhinge.events._process_events import ServerCold
from tarragonhinge.events._process_events import ServerCrashed
from tarragonhinge.events._process_events import ServerSeen
from tarragonhinge.events._process_events import Started
from tarragonhinge.events._process_events import Stopped
from tarragonhinge.events._process_events import Stopping
from tarragonhinge.events._process_events import StoreRestored
from tarragonhinge.events._process_events import TableInForce
from tarragonhinge.events._process_events import TaskFailed
from tarragonhinge.events._process_events import TrialGranted
from tarragonhinge.events._process_events import WriteRejected
from tarragonhinge.events._request_events import CrashWitnessed
from tarragonhinge.events._request_events import Ended
from tarragonhinge.events._request_events import Excluded
from tarragonhinge.events._request_events import Forwarded
from tarragonhinge.events._request_events import Held
from tarragonhinge.events._request_events import Limited
from tarragonhinge.events._request_events import Placed
from tarragonhinge.events._request_events import Quarantined
from tarragonhinge.events._request_events import Received
from tarragonhinge.events._request_events import Rejected
from tarragonhinge.events._request_events import Tried
from tarragonhinge.events._request_events import Yielded
from tarragonhinge.events._timeline import format_timeline
from tarragonhinge.events._timeline import LogLine
from tarragonhinge.events._timeline import parse_lines
from tarragonhinge.events._trace import Trace

__all__ = [
    "ClientClosed",
    "CrashWitnessed",
    "DependencyChanged",
    "Ended",
    "EvacuationChanged",
    "Event",
    "EventLog",
    "Excluded",
    "Forwarded",
    "GrantFailed",
    "Held",
    "KeysEvacuated",
    "LeadershipChanged",
    "LimitNamed",
    "Limited",
    "LinesDropped",
    "LogLine",
    "PathChanged",
    "Placed",
    "Planned",
    "QuarantineLifted",
    "Quarantined",
    "MemoryShort",
    "Readiness",
    "Received",
    "Rejected",
    "Reloaded",
    "RequestQuarantined",
    "RequestEvent",
    "RecordOutdated",
    "RowIgnored",
    "SegmentMoved",
    "ServerAvoided",
    "ServerCold",
    "ServerCrashed",
    "ServerSeen",
    "Started",
    "Stopped",
    "Stopping",
    "StoreRestored",
    "TableInForce",
    "TaskFailed",
    "TrialGranted",
    "Trace",
    "Tried",
    "Yielded",
    "format_timeline",
    "parse_lines",
    "WriteRejected",
]
