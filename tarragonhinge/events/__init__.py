"""Structured events: one line for each decision or change of belief."""

from tarragonhinge.events._beliefs import DependencyChanged
from tarragonhinge.events._beliefs import GrantFailed
from tarragonhinge.events._beliefs import LeadershipChanged
from tarragonhinge.events._beliefs import LinesDropped
from tarragonhinge.events._beliefs import Planned
from tarragonhinge.events._beliefs import Readiness
from tarragonhinge.events._beliefs import Reloaded
from tarragonhinge.events._beliefs import RowIgnored
from tarragonhinge.events._beliefs import SegmentMoved
from tarragonhinge.events._beliefs import ServerAvoided
from tarragonhinge.events._beliefs import ServerSeen
from tarragonhinge.events._beliefs import Started
from tarragonhinge.events._beliefs import Stopped
from tarragonhinge.events._beliefs import Stopping
from tarragonhinge.events._beliefs import TableInForce
from tarragonhinge.events._beliefs import TaskFailed
from tarragonhinge.events._event import Event
from tarragonhinge.events._event import RequestEvent
from tarragonhinge.events._log import EventLog
from tarragonhinge.events._requests import Ended
from tarragonhinge.events._requests import Held
from tarragonhinge.events._requests import Placed
from tarragonhinge.events._requests import Received
from tarragonhinge.events._requests import Rejected
from tarragonhinge.events._requests import Tried
from tarragonhinge.events._story import format_timeline
from tarragonhinge.events._story import Line
from tarragonhinge.events._story import parse_lines
from tarragonhinge.events._trace import Trace

__all__ = [
    "DependencyChanged",
    "Ended",
    "Event",
    "EventLog",
    "GrantFailed",
    "Held",
    "LeadershipChanged",
    "LinesDropped",
    "Placed",
    "Planned",
    "Readiness",
    "Received",
    "Rejected",
    "Reloaded",
    "RequestEvent",
    "RowIgnored",
    "SegmentMoved",
    "ServerAvoided",
    "ServerSeen",
    "Started",
    "Stopped",
    "Stopping",
    "TableInForce",
    "TaskFailed",
    "Line",
    "Trace",
    "parse_lines",
    "format_timeline",
    "Tried",
]
