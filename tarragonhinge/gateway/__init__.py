"""Request gateway between callers and backend servers."""

from tarragonhinge.gateway._call_handler import CallHandler
from tarragonhinge.gateway._caller_listener import CallerListener
from tarragonhinge.gateway._dialect import DEADLINE_LIMIT_MS
from tarragonhinge.gateway._dialect import Dialect
from tarragonhinge.gateway._dialect import Fields
from tarragonhinge.gateway._dialect import ReportedLoad
from tarragonhinge.gateway._dialect import RequestMetadata
from tarragonhinge.gateway._dialect import ResponseMetadata
from tarragonhinge.gateway._gateway import Gateway
from tarragonhinge.gateway._health import HealthServer
from tarragonhinge.gateway._options import InstanceOptions
from tarragonhinge.gateway._reporter import Reporter

__all__ = [
    "DEADLINE_LIMIT_MS",
    "CallHandler",
    "CallerListener",
    "Dialect",
    "Fields",
    "Gateway",
    "HealthServer",
    "InstanceOptions",
    "ReportedLoad",
    "Reporter",
    "RequestMetadata",
    "ResponseMetadata",
]
