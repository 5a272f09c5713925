"""Events of the whole process: its lifecycle and changes of its state."""

import msgspec

from tarragonhinge.events import _event


class Started(_event.Event, frozen=True, kw_only=True, tag="started"):
    """The process has started to serve callers.

    Parameters
    ----------
    zone : str
        Availability zone of the instance.
    callers : str
        Address on which the instance accepts callers.
    """

    zone: str
    callers: str


class Stopping(_event.Event, frozen=True, kw_only=True, tag="stopping"):
    """A graceful stop began.

    Parameters
    ----------
    reason : str
        Cause of the stop.
    in_flight : int
        Number of requests in flight.
    """

    reason: str
    in_flight: int


class Stopped(_event.Event, frozen=True, kw_only=True, tag="stopped"):
    """A graceful stop ended.

    Parameters
    ----------
    cut_off : int
        Number of requests that were aborted.
    elapsed_ms : int
        Duration of the stop.
    """

    cut_off: int
    elapsed_ms: int


class Reloaded(_event.Event, frozen=True, kw_only=True, tag="reloaded"):
    """The settings were reloaded and validated.

    Parameters
    ----------
    outcome : str
        Result of the validation.
    """

    outcome: str


class Readiness(_event.Event, frozen=True, kw_only=True, tag="readiness"):
    """The result of the readiness check changed."""

    ready: bool
    reason: str


class TableInForce(
    _event.Event, frozen=True, kw_only=True, tag="table_in_force"
):
    """A new version of the routing table was applied.

    Parameters
    ----------
    version : int
        Version of the table.
    routes : int
        Number of its routes.
    source : str
        Where the table was read: ``store`` or ``coordinator``.
    """

    version: int
    routes: int
    source: str


class EvacuationChanged(
    _event.Event, frozen=True, kw_only=True, tag="evacuation"
):
    """The operator has evacuated zones, or ended an evacuation.

    Parameters
    ----------
    zones : list of str
        All zones whose servers are to get no requests.
    source : str
        Where this instance heard of it: ``store`` or ``coordinator``.
    """

    zones: list[str]
    source: str


class ServerSeen(_event.Event, frozen=True, kw_only=True, tag="server_seen"):
    """A backend server was added, changed or removed.

    Parameters
    ----------
    server, service : str
        Ids of the server and its service.
    state : str
        State of the server, or ``gone`` once it is removed.
    born_ms : int
        Wall-clock time of the server's start, in milliseconds.
    """

    server: str
    service: str
    state: str
    born_ms: int


class RowIgnored(_event.Event, frozen=True, kw_only=True, tag="row_ignored"):
    """A row was ignored because it could not be decoded.

    Parameters
    ----------
    table, key : str
        Table and key of the row.
    problem : str
        Error of the decoder.
    """

    table: str
    key: str
    problem: str


class WriteRejected(
    _event.Event, frozen=True, kw_only=True, tag="write_rejected"
):
    """The store does not accept a row's content; it is not repeated as it is.

    Logged once until the row is written.

    Parameters
    ----------
    table, key : str
        Table and key of the largest row of the write.
    bytes : int
        Length of its value in base64.
    limit_bytes : int
        Longest value that the store accepts.
    problem : str
        Reason that the store states.
    """

    table: str
    key: str
    bytes: int
    limit_bytes: int
    problem: str


class RecordOutdated(
    _event.Event, frozen=True, kw_only=True, tag="record_outdated"
):
    """The record of a service's keys may lack grants that are in force.

    Parameters
    ----------
    service : str
        Service that the keys belong to.
    wait_ms : int
        Time until these grants have expired, in which no key is granted.
    moving : int
        Number of segments that were moving in the view.
    problem : str
        Why the holders are not taken from the view, or empty if they are.
    """

    service: str
    wait_ms: int
    moving: int = 0
    problem: str = ""


class StoreRestored(
    _event.Event, frozen=True, kw_only=True, tag="store_restored"
):
    """A table was read again, since the store came back from an older copy.

    Parameters
    ----------
    table : str
        Name of the table.
    era : int
        Era of the store.
    version : int
        Version of the store when the table was read.
    """

    table: str
    era: int
    version: int


class DependencyChanged(
    _event.Event, frozen=True, kw_only=True, tag="dependency"
):
    """A dependency became unreachable or reachable again.

    Parameters
    ----------
    dependency : str
        Name of the dependency.
    reachable : bool
        Whether it is reachable now.
    silent_ms : int
        Time since its last response; -1 if there was none.
    reason : str or UnsetType
        Cause of the change; unset if it is not known.
    """

    dependency: str
    reachable: bool
    silent_ms: int
    reason: str | msgspec.UnsetType = msgspec.UNSET


class LimitNamed(_event.Event, frozen=True, kw_only=True, tag="limit"):
    """A server names another limit than before, or none.

    Parameters
    ----------
    server : str
        Id of the server.
    rate : float or None
        Requests per second from all instances; None for no limit.
    source : str
        Whether a response of the server or another instance said so.
    """

    server: str
    rate: float | None
    source: str


class ServerCold(_event.Event, frozen=True, kw_only=True, tag="server_cold"):
    """A server counts as cold from now on, or no longer.

    Parameters
    ----------
    server : str
        Id of the server.
    for_ms : int
        Time for which it counts as cold; 0 if evidence has ended it.
    rate : float
        Requests per second that it gets meanwhile from all instances.
    source : str
        Evidence: ``entry``, ``health``, ``evacuation`` or ``path``.
    """

    server: str
    for_ms: int
    rate: float
    source: str


class LeadershipChanged(
    _event.Event, frozen=True, kw_only=True, tag="leadership"
):
    """The instance became the coordinator or ceased to be it.

    Parameters
    ----------
    term : int
        Term of the leadership.
    leads : bool
        Whether the instance is the coordinator now.
    reason : str
        Cause of the change.
    """

    term: int
    leads: bool
    reason: str


class SegmentMoved(
    _event.Event, frozen=True, kw_only=True, tag="segment_moved"
):
    """The ownership of a key range moved to another server.

    Parameters
    ----------
    service : str
        Name of the service.
    first, last : int
        Bounds of the key range, both inclusive.
    source, target : str
        Ids of the previous and the new owner.
    fence : int
        Fencing token of the new grant.
    handover : bool
        Whether the previous owner released the keys with a handover; it may
        also have released them without one, or its grant may have expired.
    elapsed_ms : int
        Duration of the move.
    reason : str
        Cause of the move.
    """

    service: str
    first: int
    last: int
    source: str
    target: str
    fence: int
    handover: bool
    elapsed_ms: int
    reason: str


class KeysEvacuated(
    _event.Event, frozen=True, kw_only=True, tag="keys_evacuated"
):
    """The keys of a service begin to leave zones or regions, or have left.

    Parameters
    ----------
    service : str
        Name of the service.
    zones : list of str
        Evacuated zones; empty if keys leave regions that routes do not allow.
    left : int
        Number of segments that have not moved yet.
    elapsed_ms : int
        Time since the first of them began to move.
    """

    service: str
    zones: list[str]
    left: int
    elapsed_ms: int


class Planned(_event.Event, frozen=True, kw_only=True, tag="planned"):
    """The loads of the servers were compared and moves were planned.

    Parameters
    ----------
    service : str
        Name of the service.
    requests_per_s : float
        Request rate of the service.
    busiest : str
        Id of the server with the highest load.
    use, mean_use : float
        Load of that server, and mean load of all servers.
    service_ms, mean_service_ms : int
        Service time of that server, and mean service time of all servers.
    moves : int
        Number of planned moves.
    """

    service: str
    requests_per_s: float
    busiest: str
    use: float
    mean_use: float
    service_ms: int
    mean_service_ms: int
    moves: int


class GrantFailed(_event.Event, frozen=True, kw_only=True, tag="grant_failed"):
    """A grant was refused or got no response.

    Parameters
    ----------
    service, server : str
        Name of the service and id of the server.
    first, last : int
        Bounds of the key range, both inclusive.
    fence : int
        Fencing token of the grant.
    outcome : str
        Result of the request for the grant.
    """

    service: str
    server: str
    first: int
    last: int
    fence: int
    outcome: str


class ServerAvoided(
    _event.Event, frozen=True, kw_only=True, tag="server_avoided"
):
    """A server gets no requests for some time after failures.

    Parameters
    ----------
    server : str
        Id of the server.
    reason : str
        Cause of the last failure.
    for_ms : int
        Time for which the server is avoided.
    """

    server: str
    reason: str
    for_ms: int


class ClientClosed(
    _event.Event, frozen=True, kw_only=True, tag="client_closed"
):
    """The connection of a client is closed, since something is short.

    Parameters
    ----------
    peer : str
        Address of the client.
    reason : str
        What is short: ``memory`` or ``descriptors``.
    held_bytes, moved_bytes : int
        Memory that the client held, and bytes that it sent and read.
    window_ms : int
        Time in which it did so.
    """

    peer: str
    reason: str
    held_bytes: int = 0
    moved_bytes: int = 0
    window_ms: int = 0


class MemoryShort(_event.Event, frozen=True, kw_only=True, tag="memory_short"):
    """Much more is resident than the account counts, or no longer so.

    Parameters
    ----------
    short : bool
        Whether it is so now.
    resident_bytes, counted_bytes : int
        Memory that the process holds, and what it counts for clients.
    uncounted_bytes : int
        Memory that is missing from the budget.
    """

    short: bool
    resident_bytes: int
    counted_bytes: int
    uncounted_bytes: int


class PathChanged(_event.Event, frozen=True, kw_only=True, tag="path_changed"):
    """A server is out of reach of this instance, or in reach again.

    Parameters
    ----------
    server : str
        Id of the server.
    reachable : bool
        Whether it accepts connections of this instance.
    reason : str
        ``refused`` or ``silent`` if it does not, else ``connected``.
    """

    server: str
    reachable: bool
    reason: str


class ServerCrashed(
    _event.Event, frozen=True, kw_only=True, tag="server_crashed"
):
    """A server has crashed, according to this instance.

    Parameters
    ----------
    server : str
        Id of the server.
    born_ms : int
        Wall-clock time of the server's start, in milliseconds.
    proof : str
        How it was recognized: ``refused`` (it refuses connections) or
        ``reborn`` (its entry states another start).
    requests : list of str
        Digests of this instance's requests that were running there.
    """

    server: str
    born_ms: int
    proof: str
    requests: list[str]


class RequestQuarantined(
    _event.Event, frozen=True, kw_only=True, tag="request_quarantined"
):
    """A request is refused from now on, since it crashes its servers.

    Parameters
    ----------
    digest : str
        Digest of the request.
    servers : list of str
        Ids of the servers that it crashed.
    certain : bool
        Whether it was the only request at one of these servers.
    """

    digest: str
    servers: list[str]
    certain: bool


class QuarantineLifted(
    _event.Event, frozen=True, kw_only=True, tag="quarantine_lifted"
):
    """A request is no longer refused, since a server has completed it.

    Parameters
    ----------
    digest : str
        Digest of the request.
    """

    digest: str


class TrialGranted(
    _event.Event, frozen=True, kw_only=True, tag="trial_granted"
):
    """A refused request may be sent once more.

    Parameters
    ----------
    digest : str
        Digest of the request.
    reason : str
        Why: a ``version`` that it has not crashed, or ``doubt``.
    """

    digest: str
    reason: str


class TaskFailed(_event.Event, frozen=True, kw_only=True, tag="task_failed"):
    """A task failed with an unexpected error.

    Background tasks are restarted.

    Parameters
    ----------
    task : str
        Name of the task.
    problem : str
        The error.
    """

    task: str
    problem: str


class LinesDropped(
    _event.Event, frozen=True, kw_only=True, tag="lines_dropped"
):
    """Log lines were dropped to bound the volume of the log."""

    count: int
