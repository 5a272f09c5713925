"""One service of the routing table."""

import msgspec

from tarragonhinge import base


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A set of backend servers that answer the same requests.

    Parameters
    ----------
    name : ServiceName
        Its name.
    max_connections : int
        Connections that one of its servers accepts from all callers.
    keyed : bool
        Whether each key of a request belongs to one server.
    warm_ms : int
        How long a key is slow at a server that got it without a handover.
    """

    name: base.ServiceName
    max_connections: int
    keyed: bool = False
    warm_ms: int = 0
