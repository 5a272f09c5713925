"""Events of the whole process: its lifecycle and changes of its state."""

from tarragonhinge.events import _event


class Started(_event.Event, frozen=True, kw_only=True, tag="started"):
    """The process has started to serve callers."""

    zone: str
    callers: str


class Stopping(_event.Event, frozen=True, kw_only=True, tag="stopping"):
    """A graceful stop began."""

    reason: str
    in_flight: int


class Stopped(_event.Event, frozen=True, kw_only=True, tag="stopped"):
    """A graceful stop ended.

    Parameters
    ----------
    cut_off : int
        Number of connections whose requests were aborted.
    elapsed_ms : int
        Duration of the stop.
    """

    cut_off: int
    elapsed_ms: int


class Reloaded(_event.Event, frozen=True, kw_only=True, tag="reloaded"):
    """The settings were reloaded and validated."""

    outcome: str


class Readiness(_event.Event, frozen=True, kw_only=True, tag="readiness"):
    """The result of the readiness check changed."""

    ready: bool
    reason: str


class TableInForce(
    _event.Event, frozen=True, kw_only=True, tag="table_in_force"
):
    """A new version of the routing table was applied."""

    version: int
    routes: int
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
    """A row was ignored because it could not be decoded."""

    table: str
    key: str
    problem: str


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
    """

    dependency: str
    reachable: bool
    silent_ms: int


class LeadershipChanged(
    _event.Event, frozen=True, kw_only=True, tag="leadership"
):
    """The instance became the coordinator or ceased to be it."""

    term: int
    leads: bool
    reason: str


class SegmentMoved(
    _event.Event, frozen=True, kw_only=True, tag="segment_moved"
):
    """The ownership of a key range moved to another server."""

    service: str
    first: int
    last: int
    source: str
    target: str
    fence: int
    handover: bool
    elapsed_ms: int
    reason: str


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
    """A grant was refused or got no response."""

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


class TaskFailed(_event.Event, frozen=True, kw_only=True, tag="task_failed"):
    """A task failed with an unexpected error.

    Background tasks are restarted.
    """

    task: str
    problem: str


class LinesDropped(
    _event.Event, frozen=True, kw_only=True, tag="lines_dropped"
):
    """Log lines were dropped to bound the volume of the log."""

    count: int
