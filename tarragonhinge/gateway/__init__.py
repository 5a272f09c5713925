"""Request gateway between callers and backend servers."""

from tarragonhinge.gateway._call_handler import CallHandler
from tarragonhinge.gateway._caller_listener import CallerListener
from tarragonhinge.gateway._gateway import Gateway
from tarragonhinge.gateway._health import HealthServer
from tarragonhinge.gateway._options import InstanceOptions
from tarragonhinge.gateway._reporter import Reporter
from tarragonhinge.gateway._state_report import StateReport

__all__ = [
    "CallHandler",
    "CallerListener",
    "Gateway",
    "HealthServer",
    "InstanceOptions",
    "Reporter",
    "StateReport",
]
