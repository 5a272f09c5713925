"""Routes, services, backend servers and owners of keys."""

from tarragonhinge.catalog._caller_limits import CallerLimits
from tarragonhinge.catalog._owner_map import KEY_COUNT
from tarragonhinge.catalog._owner_map import OwnerMap
from tarragonhinge.catalog._owner_map import Segment
from tarragonhinge.catalog._owner_map import SegmentState
from tarragonhinge.catalog._request_kind import RequestKind
from tarragonhinge.catalog._route import Route
from tarragonhinge.catalog._route import Target
from tarragonhinge.catalog._routing_table import RoutingTable
from tarragonhinge.catalog._server import ServerEntry
from tarragonhinge.catalog._server import ServerState
from tarragonhinge.catalog._service import Service
from tarragonhinge.catalog._table_delta import compute_delta
from tarragonhinge.catalog._table_delta import RoutingDelta
from tarragonhinge.catalog._view import index_servers
from tarragonhinge.catalog._view import View

__all__ = [
    "KEY_COUNT",
    "CallerLimits",
    "OwnerMap",
    "RequestKind",
    "Route",
    "RoutingDelta",
    "RoutingTable",
    "Segment",
    "SegmentState",
    "ServerEntry",
    "ServerState",
    "Service",
    "Target",
    "View",
    "compute_delta",
    "index_servers",
]
