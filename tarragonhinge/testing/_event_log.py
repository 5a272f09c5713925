"""Event log for tests."""

import os

from tarragonhinge import base
from tarragonhinge import events


def make_event_log(
    clock: base.Clock, *, instance: str = "i1"
) -> events.EventLog:
    """Return an event log that discards its lines."""
    return events.EventLog(
        instance=base.InstanceId(instance),
        clock=clock,
        descriptor=os.open(os.devnull, os.O_WRONLY),
    )
