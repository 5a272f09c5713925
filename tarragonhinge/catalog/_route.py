"""One route of the routing table."""

import msgspec

from tarragonhinge import base
from tarragonhinge.catalog import _kind


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A service that takes a part of a route's requests.

    Parameters
    ----------
    service : ServiceName
        The service.
    weight : float
        Its part, relative to those of the route's other targets.
    """

    service: base.ServiceName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host whose path begins with a prefix.

    Parameters
    ----------
    name : str
        Name of the route, for logs.
    host : str
        Host that it belongs to, in lower case.
    prefix : str
        Beginning of the path; it begins and ends with a slash.
    kind : RequestKind
        What may be repeated.
    timeout_ms : int
        Longest time that a caller is kept waiting.
    objective_ms : int
        Latency objective.
    priority : int
        Rank; 0 is the highest.
    max_attempts : int
        Most backend servers that one request may be sent to.
    targets : tuple of Target
        Where the requests go; never empty.
    """

    name: str
    host: str
    prefix: str
    kind: _kind.RequestKind
    timeout_ms: int
    objective_ms: int
    priority: int
    max_attempts: int
    targets: tuple[Target, ...]
