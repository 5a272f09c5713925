"""Messages between the coordinator and its subscribers.

The coordinator reads the store and sends the changes to the other
instances, which report the keys of their requests. The number of calls to
the store therefore does not grow with the fleet.
"""

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import forwarding
from tarragonhinge import limits
from tarragonhinge import quarantine


class Hello(msgspec.Struct, frozen=True, kw_only=True, tag="hello"):
    """First message that a subscriber sends.

    Parameters
    ----------
    instance : InstanceId
        Its id.
    peer : PeerInstance or UnsetType
        Where it accepts requests of other instances; unset if it does not.
    """

    instance: base.InstanceId
    peer: forwarding.PeerInstance | msgspec.UnsetType = msgspec.UNSET


class MeasuredServiceTime(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Mean service time of a server over `count` responses to an instance."""

    server: base.ServerId
    count: int
    mean_ms: float


class Report(msgspec.Struct, frozen=True, kw_only=True, tag="report"):
    """Measurements of an instance since its last report.

    Parameters
    ----------
    keys : dict
        Keys of requests by service, packed as two bytes each in network
        byte order.
    speeds : list of MeasuredServiceTime
        Measured service times.
    is_store_silent : bool
        Whether the instance tried to reach the store and failed.
    """

    keys: dict[base.ServiceName, bytes] = {}
    speeds: list[MeasuredServiceTime] = []
    is_store_silent: bool = False


class ObservedLoad(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Load of a server, as one of its responses stated it.

    Parameters
    ----------
    server : ServerId
        The server.
    total : int
        Number of its running and waiting requests.
    """

    server: base.ServerId
    total: int


class Loads(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="loads",
    omit_defaults=True,
):
    """Loads of busy servers and limits that instances observed recently.

    Parameters
    ----------
    seen : list of ObservedLoad
        Most recent load of each server.
    named_limits : list of NamedLimit
        Limits that servers name, or no longer name.
    leaving : list of Incarnation
        Servers that say in their responses that they leave. Other instances
        hear of them by the state of their entries.
    cold : list of ColdServer
        Servers that are cold, as their entries do not state.
    work_percents : dict
        Duration of work on the machines of servers in `seen` where it is not
        the usual one, which is 100.
    """

    seen: list[ObservedLoad]
    named_limits: list[limits.NamedLimit] = []
    leaving: list[limits.Incarnation] = []
    cold: list[limits.ColdServer] = []
    work_percents: dict[base.ServerId, int] = {}

    def __bool__(self) -> bool:
        """Return whether there is anything to report."""
        return bool(
            self.seen or self.named_limits or self.leaving or self.cold
        )


class PermitRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag="permit_request"
):
    """Request for a permit to send a request to a server with a limit.

    Parameters
    ----------
    number : int
        Number of the request on its connection.
    server : ServerId
        The server.
    born_ms : int
        Start time of its process.
    rate : float
        Its limit in requests per second, as the sender knows it.
    max_wait_ms : int
        Longest time that the request can wait.
    is_cold : bool
        Whether the sender knows that the server is cold.
    """

    number: int
    server: base.ServerId
    born_ms: int
    rate: float
    max_wait_ms: int
    is_cold: bool = False


class Permit(msgspec.Struct, frozen=True, kw_only=True, tag="permit"):
    """Answer to a `PermitRequest`, which may be a refusal.

    Parameters
    ----------
    number : int
        Number of the request.
    reservation : Reservation
        The reserved slot, or the refusal.
    """

    number: int
    reservation: limits.Reservation


class TrialRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag="trial_request"
):
    """Request for a trial of a request that is refused.

    Parameters
    ----------
    number : int
        Number of the message on its connection.
    digest : RequestDigest
        The refused request.
    version : str or None
        Version that all servers of its service run; None if they differ.
    """

    number: int
    digest: quarantine.RequestDigest
    version: str | None


class Trial(msgspec.Struct, frozen=True, kw_only=True, tag="trial"):
    """Answer to a `TrialRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    reason : str or None
        Reason of the trial; None if there is none.
    """

    number: int
    reason: str | None


class Update(msgspec.Struct, frozen=True, kw_only=True, tag="update"):
    """Changes of the coordinator's view, or a snapshot of it.

    Parameters
    ----------
    is_whole : bool
        Whether the update is a snapshot, which replaces the receiver's state.
    table : RoutingTable or None
        New routing table.
    table_delta : RoutingDelta or None
        New routing table as a delta to the last version sent.
    servers : list of ServerEntry
        New and changed server entries.
    gone : list of ServerId
        Servers whose entries were removed.
    segments : dict
        New and changed segments by service.
    evacuated_zones : list of ZoneName or UnsetType
        All evacuated zones; unset if they have not changed, or if the
        coordinator's build does not know of them.
    """

    is_whole: bool = False
    table: catalog.RoutingTable | None = None
    table_delta: catalog.RoutingDelta | None = None
    servers: list[catalog.ServerEntry] = []
    gone: list[base.ServerId] = []
    segments: dict[base.ServiceName, list[catalog.Segment]] = {}
    evacuated_zones: list[base.ZoneName] | msgspec.UnsetType = msgspec.UNSET


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="beat"):
    """Periodic message that shows that the coordinator is running.

    Parameters
    ----------
    term : Term
        Leadership term of the coordinator.
    store_age_ms : int
        Time since the store last responded to the coordinator.
    is_store_failing : bool
        Whether the coordinator's last call to the store failed.
    fleet_size : int
        Number of instances: the subscribers and the coordinator.
    knows_holders : bool or UnsetType
        Whether the updates sent so far name the only server that may hold a
        key; unset by older builds, which grant keys to servers that they have
        not published yet.
    peers : list of PeerInstance or UnsetType
        All instances that accept requests of others; unset if they have not
        changed since the last heartbeat.
    """

    term: base.Term
    store_age_ms: int
    is_store_failing: bool = False
    fleet_size: int
    knows_holders: bool | msgspec.UnsetType = msgspec.UNSET
    peers: list[forwarding.PeerInstance] | msgspec.UnsetType = msgspec.UNSET


class Deposed(msgspec.Struct, frozen=True, kw_only=True, tag="deposed"):
    """Notice that the leadership of the sender or the receiver has ended.

    A coordinator that has stepped down sends it to its subscribers, an
    instance that does not coordinate sends it to instances that try to
    subscribe, and a new coordinator sends it to the previous one.

    Parameters
    ----------
    term : Term
        Term of the newest leadership known to the sender.
    address : Address
        Address of that term's coordinator, or empty if unknown.
    """

    term: base.Term
    address: base.Address = base.Address("")


Message = (
    Hello
    | Report
    | Loads
    | Update
    | Heartbeat
    | Deposed
    | PermitRequest
    | Permit
    | TrialRequest
    | Trial
    | quarantine.Evidence
)
