"""Messages between instances.

One instance reads the store and passes on what changes; the others
report the keys that they see.  So the calls to the store don't grow
with the fleet.
"""

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog


class Hello(msgspec.Struct, frozen=True, kw_only=True, tag="hello"):
    """Begins a subscription."""

    instance: base.InstanceId


class ServerSpeed(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Mean service time of a server at one instance."""

    server: base.ServerId
    count: int
    mean_ms: float


class Report(msgspec.Struct, frozen=True, kw_only=True, tag="report"):
    """What an instance saw since its last report.

    Parameters
    ----------
    keys : dict
        Keys of requests by service, two bytes each in network order.
    speeds : list of ServerSpeed
        Service times that were measured.
    is_store_silent : bool
        Whether the instance tried to reach the store and could not.
    """

    keys: dict[base.ServiceName, bytes] = {}
    speeds: list[ServerSpeed] = []
    is_store_silent: bool = False


class SeenLoad(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests that a server had, running and waiting."""

    server: base.ServerId
    total: int


class Loads(msgspec.Struct, frozen=True, kw_only=True, tag="loads"):
    """Load that instances have just seen at busy servers.

    Parameters
    ----------
    seen : list of SeenLoad
        The newest load of each server.
    """

    seen: list[SeenLoad]


class Update(msgspec.Struct, frozen=True, kw_only=True, tag="update"):
    """What changed, or everything.

    Parameters
    ----------
    is_whole : bool
        Whether the receiver replaces all that it knows.
    table : RoutingTable or None
        A version of the routing table.
    table_delta : RoutingDelta or None
        The same as a change of the version that was sent before.
    servers : list of ServerEntry
        New and changed entries.
    gone : list of ServerId
        Entries that went.
    segments : dict
        New and changed segments by service.
    """

    is_whole: bool = False
    table: catalog.RoutingTable | None = None
    table_delta: catalog.RoutingDelta | None = None
    servers: list[catalog.ServerEntry] = []
    gone: list[base.ServerId] = []
    segments: dict[base.ServiceName, list[catalog.Segment]] = {}


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="beat"):
    """Shows that the coordinator lives.

    Parameters
    ----------
    term : Term
        Its leadership.
    store_age_ms : int
        How long ago the store answered it.
    is_store_failing : bool
        Whether its last call to the store failed.
    fleet_size : int
        Instances that are subscribed, and itself.
    """

    term: base.Term
    store_age_ms: int
    is_store_failing: bool = False
    fleet_size: int


class Deposed(msgspec.Struct, frozen=True, kw_only=True, tag="deposed"):
    """The receiver's or the sender's leadership has ended.

    Parameters
    ----------
    term : Term
        The newest leadership that the sender knows.
    address : Address
        Where its coordinator listens, or empty if that is not known.
    """

    term: base.Term
    address: base.Address = base.Address("")


Message = Hello | Report | Loads | Update | Heartbeat | Deposed
