"""An instance's side towards callers and backend servers."""

from tarragonhinge.gateway._dialect import AnswerFacts
from tarragonhinge.gateway._dialect import DEADLINE_LIMIT_MS
from tarragonhinge.gateway._dialect import Dialect
from tarragonhinge.gateway._dialect import Fields
from tarragonhinge.gateway._dialect import ReportedLoad
from tarragonhinge.gateway._dialect import RequestFacts
from tarragonhinge.gateway._front import Front
from tarragonhinge.gateway._gateway import Gateway
from tarragonhinge.gateway._health import HealthServer
from tarragonhinge.gateway._options import InstanceOptions
from tarragonhinge.gateway._reporter import Reporter

__all__ = [
    "DEADLINE_LIMIT_MS",
    "AnswerFacts",
    "Dialect",
    "Fields",
    "Front",
    "Gateway",
    "HealthServer",
    "InstanceOptions",
    "ReportedLoad",
    "Reporter",
    "RequestFacts",
]
