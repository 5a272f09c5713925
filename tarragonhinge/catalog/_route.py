"""One route of the routing table."""

import msgspec

from tarragonhinge import base
from tarragonhinge.catalog import _request_kind


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A service that receives a share of a route's requests.

    Parameters
    ----------
    service : ServiceName
        Name of the service.
    weight : float
        Share of the requests, relative to the route's other targets.
    """

    service: base.ServiceName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Rule for the requests of one host whose path has a prefix.

    Parameters
    ----------
    name : str
        Name of the route, for logs.
    host : str
        Host name to match, in lower case.
    prefix : str
        Path prefix to match; begins and ends with a slash.
    kind : RequestKind
        Whether the requests of the route are idempotent.
    timeout_ms : int
        Maximum time in milliseconds until the caller gets a response.
    objective_ms : int
        Latency objective in milliseconds.
    priority : int
        Priority of the route; 0 is the highest.
    max_attempts : int
        Maximum number of backend servers that one request is sent to.
    targets : tuple of Target
        Services that receive the requests; never empty.
    allowed_regions : tuple of RegionName
        Regions whose servers may get the requests; empty for all regions.
    """

    name: str
    host: str
    prefix: str
    kind: _request_kind.RequestKind
    timeout_ms: int
    objective_ms: int
    priority: int
    max_attempts: int
    targets: tuple[Target, ...]
    allowed_regions: tuple[base.RegionName, ...] = ()
