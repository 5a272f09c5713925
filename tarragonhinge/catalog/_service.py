"""Services of the routing table."""

import msgspec

from tarragonhinge import base


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of backend servers that serve the same requests.

    Parameters
    ----------
    name : ServiceName
        Name of the service.
    max_connections : int
        Number of connections that each server of the service accepts in
        total.
    keyed : bool
        Whether each key is owned by a single server.
    warm_ms : int
        Warm-up time in milliseconds of a key at a server that got the key
        without a handover.
    """

    name: base.ServiceName
    max_connections: int
    keyed: bool = False
    warm_ms: int = 0
