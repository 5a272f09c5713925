"""Services of the routing table."""

import msgspec

from tarragonhinge import base


class Service(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
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
    warm_up_ms : int
        Time in milliseconds for which a server that has started is cold.
    cold_rate : float
        Requests per second that a cold server takes from all instances
        together; 0 if the service states no rate.
    health_path : str
        Path of the servers' health check; empty if unknown.
    """

    name: base.ServiceName
    max_connections: int
    keyed: bool = False
    warm_ms: int = 0
    warm_up_ms: int = 0
    cold_rate: float = 0.0
    health_path: str = ""
