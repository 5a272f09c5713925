"""Events of what the process believes or does as a whole."""

from tarragonhinge.events import _event


class Started(_event.Event, frozen=True, kw_only=True, tag="started"):
    """The process serves callers."""

    zone: str
    callers: str


class Stopping(_event.Event, frozen=True, kw_only=True, tag="stopping"):
    """A stop began."""

    reason: str
    in_flight: int


class Stopped(_event.Event, frozen=True, kw_only=True, tag="stopped"):
    """The process ends."""

    cut_off: int
    elapsed_ms: int


class Reloaded(_event.Event, frozen=True, kw_only=True, tag="reloaded"):
    """The settings were read again."""

    outcome: str


class Readiness(_event.Event, frozen=True, kw_only=True, tag="readiness"):
    """The answer to health checks changed."""

    ready: bool
    reason: str


class TableInForce(
    _event.Event, frozen=True, kw_only=True, tag="table_in_force"
):
    """A version of the routing table came into force."""

    version: int
    routes: int
    source: str


class ServerSeen(_event.Event, frozen=True, kw_only=True, tag="server_seen"):
    """A server appeared, changed or went."""

    server: str
    service: str
    state: str
    born_ms: int


class RowIgnored(_event.Event, frozen=True, kw_only=True, tag="row_ignored"):
    """A row could not be decoded and names nothing."""

    table: str
    key: str
    problem: str


class DependencyChanged(
    _event.Event, frozen=True, kw_only=True, tag="dependency"
):
    """A dependency was lost or is back."""

    dependency: str
    reachable: bool
    silent_ms: int


class LeadershipChanged(
    _event.Event, frozen=True, kw_only=True, tag="leadership"
):
    """The instance became, or ceased to be, the coordinator."""

    term: int
    leads: bool
    reason: str


class SegmentMoved(
    _event.Event, frozen=True, kw_only=True, tag="segment_moved"
):
    """Keys got another holder."""

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
    """Loads were compared, and moves planned where they pay."""

    service: str
    requests_per_s: float
    busiest: str
    use: float
    mean_use: float
    service_ms: int
    mean_service_ms: int
    moves: int


class GrantFailed(_event.Event, frozen=True, kw_only=True, tag="grant_failed"):
    """A grant was refused or not answered."""

    service: str
    server: str
    first: int
    last: int
    fence: int
    outcome: str


class ServerAvoided(
    _event.Event, frozen=True, kw_only=True, tag="server_avoided"
):
    """A server is left out for a while after failures."""

    server: str
    reason: str
    for_ms: int


class TaskFailed(_event.Event, frozen=True, kw_only=True, tag="task_failed"):
    """A background task ended by an error and is started again."""

    task: str
    problem: str


class LinesDropped(
    _event.Event, frozen=True, kw_only=True, tag="lines_dropped"
):
    """Lines were left out to keep the volume bounded."""

    count: int
