"""Chooses the server for a request, or refuses the request.

Under even load the nearest server is chosen, since traffic between
regions is billed.  Under a burst in one region, requests spill over to
another region only if the local region would miss the latency objective.
A request that would exceed the limit of admission at every server is refused
immediately, so that queues stay short enough for the other requests.
Where more urgent requests run at the same servers, a request joins no queue
in which they would then wait for too long.
"""

from collections.abc import Sequence
import dataclasses
import enum
import math

from tarragonhinge.balancing import _standing_queue
from tarragonhinge import base

#: Cost of sending a thousand bytes to another region or availability zone and
#: back, as a fraction of the latency objective.
CROSS_REGION_COST_FRACTION = 0.225
CROSS_ZONE_COST_FRACTION = 0.015

#: Size to which these costs refer, and default size of a request with its
#: response, in bytes.
COST_BYTES = 1_000
DEFAULT_BYTES = 2_000.0

#: Lower bound of the success ratio by which the expected latency of a server
#: is divided.
MIN_SUCCESS_RATIO = 0.1


class Distance(enum.Enum):
    """Network distance to a server: same zone, same region or remote."""

    ZONE = "zone"
    REGION = "region"
    REMOTE = "remote"


_COST_FRACTIONS = {
    Distance.ZONE: 0.0,
    Distance.REGION: CROSS_ZONE_COST_FRACTION,
    Distance.REMOTE: CROSS_REGION_COST_FRACTION,
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that the request may be sent to, with its estimates.

    Parameters
    ----------
    server : ServerId
        Id of the server.
    distance : Distance
        Network distance of the server.
    round_trip_ms : float
        Network round trip time.
    wait_ms, service_ms : float
        Estimated queueing time and service time.
    error_ratio : float
        Fraction of requests that fail at the server.
    is_cooling_down : bool
        Whether the server is excluded after failed connections.
    closed_ms : int
        Time left for which the server wants no requests.
    is_out_of_reach : bool
        Whether no request can be sent to it from this instance.
    wait_limit_ms : float
        Longest queueing time with which the request may be sent to it, since
        more urgent ones would wait behind it.
    is_full : bool
        Whether its queue is estimated to have no room.
    pace_wait_ms : float
        Time until its pace leaves room for another request.
    standing_wait_ms : float
        Queueing time that has lasted for some time.
    contention : Contention
        Whether less urgent requests wait for a free slot.
    """

    server: base.ServerId
    distance: Distance
    round_trip_ms: float
    wait_ms: float
    service_ms: float
    error_ratio: float = 0.0
    is_cooling_down: bool = False
    closed_ms: int = 0
    is_out_of_reach: bool = False
    wait_limit_ms: float = math.inf
    is_full: bool = False
    pace_wait_ms: float = 0.0
    standing_wait_ms: float = 0.0
    contention: _standing_queue.Contention = _standing_queue.Contention.NONE

    def compute_idle_ms(self) -> float:
        """Return the expected latency of a request that need not wait."""
        return self.round_trip_ms + self.service_ms

    def compute_expected_ms(self) -> float:
        """Return the expected latency of a request."""
        return self.compute_idle_ms() + self.wait_ms


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The server chosen for a request, with its expected latency."""

    server: base.ServerId
    expected_ms: float


class RefusalReason(enum.Enum):
    """Reason why a request is refused without being sent.

    URGENT_FIRST: it would be in time, but more urgent ones would wait for too
    long behind it. PACED: each server has come up lately, and has as many
    requests as it can be trusted with.
    """

    NO_SERVER = "no_server"
    OVERLOAD = "overload"
    URGENT_FIRST = "urgent_first"
    UNREACHABLE = "unreachable"
    SERVER_WAIT = "server_wait"
    PACED = "paced"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """A refused request.

    Parameters
    ----------
    reason : RefusalReason
        Reason of the refusal.
    expected_ms, idle_ms : float
        Lowest expected latency, and the lowest one without a wait.
    limit_ms : float
        Highest expected latency at which a server would have been chosen.
    wait_ms : int
        Time until a server takes requests again, if none takes any now.
    may_detour : bool
        Whether another instance may reach more of the servers.
    """

    reason: RefusalReason
    expected_ms: float = 0.0
    idle_ms: float = 0.0
    limit_ms: float = math.inf
    wait_ms: int = 0
    may_detour: bool = False


def place(
    candidates: Sequence[Candidate],
    *,
    objective_ms: float,
    limit_ms: float,
    standing_limit_ms: float = math.inf,
    admits_idle: bool = True,
    traffic_bytes: float = DEFAULT_BYTES,
) -> Choice | Refusal:
    """Choose the server with the lowest cost, if possible one in time.

    If `admits_idle` is set, a server with a free slot may be chosen even if
    its expected latency exceeds the limit, since a wrong estimate is
    corrected only by further responses.

    Parameters
    ----------
    candidates : sequence of Candidate
        Servers that the request may be sent to; of servers with equal
        cost, the first one is chosen.
    objective_ms : float
        Latency objective of the route.
    limit_ms : float
        Highest expected latency at which the request is admitted.
    standing_limit_ms : float
        The same for a server with a queue that stands beyond the objective.
    admits_idle : bool
        Whether a server with a free slot may exceed the limit; set if the
        deadline leaves at least the latency objective.
    traffic_bytes : float
        Expected size of the request and its response, in bytes.

    Returns
    -------
    Choice or Refusal
        The chosen server, or the reason for refusing the request.
    """
    if not candidates:
        return Refusal(reason=RefusalReason.NO_SERVER)
    usable = [
        c
        for c in candidates
        if not (c.is_cooling_down or c.is_out_of_reach) and c.closed_ms <= 0
    ]
    may_detour = any(c.is_out_of_reach for c in candidates)
    paced = [c for c in usable if c.pace_wait_ms > 0]
    if paced and len(paced) == len(usable):
        return Refusal(
            reason=RefusalReason.PACED,
            idle_ms=min(c.compute_idle_ms() for c in paced),
            wait_ms=math.ceil(min(c.pace_wait_ms for c in paced)),
            may_detour=may_detour,
        )
    if paced:
        usable = [c for c in usable if c.pace_wait_ms <= 0]
    if not usable:
        waits_ms = [c.closed_ms for c in candidates if c.closed_ms > 0]
        if waits_ms:
            return Refusal(
                reason=RefusalReason.SERVER_WAIT,
                wait_ms=min(waits_ms),
                may_detour=may_detour,
            )
        return Refusal(reason=RefusalReason.UNREACHABLE, may_detour=may_detour)

    def compute_cost(candidate: Candidate) -> float:
        cost_fraction = _COST_FRACTIONS[candidate.distance]
        penalty_ms = cost_fraction * traffic_bytes / COST_BYTES * objective_ms
        success_ratio = max(MIN_SUCCESS_RATIO, 1 - candidate.error_ratio)
        return candidate.compute_expected_ms() / success_ratio + penalty_ms

    def get_limit_ms(candidate: Candidate) -> float:
        return _standing_queue.compute_limit_ms(
            limit_ms=limit_ms,
            standing_limit_ms=standing_limit_ms,
            standing_wait_ms=candidate.standing_wait_ms,
            spare_ms=objective_ms - candidate.compute_idle_ms(),
        )

    timely = [
        c
        for c in usable
        if not c.is_full
        and (
            c.compute_expected_ms() <= get_limit_ms(c)
            or (admits_idle and c.wait_ms <= 0)
        )
    ]
    acceptable = [c for c in timely if c.wait_ms <= c.wait_limit_ms]
    if not acceptable:
        return Refusal(
            reason=RefusalReason.URGENT_FIRST
            if timely
            else RefusalReason.OVERLOAD,
            expected_ms=min(c.compute_expected_ms() for c in usable),
            idle_ms=min(c.compute_idle_ms() for c in usable),
            limit_ms=max(map(get_limit_ms, usable)),
            may_detour=may_detour,
        )
    in_time = [
        c for c in acceptable if c.compute_expected_ms() <= objective_ms
    ]
    best = min(in_time or acceptable, key=compute_cost)
    return Choice(server=best.server, expected_ms=best.compute_expected_ms())
