"""Which server takes a request, or whether it is refused.

Answers two patterns.  Under even load the nearest server wins, since
bytes between regions are paid for; under a burst in one region requests
spill to another only where the own region would miss the objective.
What would end after its objective everywhere is refused at once, so that
queues stay short enough for the others.
"""

from collections.abc import Sequence
import dataclasses
import enum

from tarragonhinge import base

#: Cost of crossing to another region and availability zone, as a part of
#: the latency objective: what a late answer would lose about equals what
#: the crossing costs.
REGION_PART = 0.45
ZONE_PART = 0.03

#: Least factor by which failures make a server look slow.
HEALTH_FLOOR = 0.1


class Distance(enum.Enum):
    """How far away a server stands."""

    ZONE = "zone"
    REGION = "region"
    REMOTE = "remote"


_PENALTY = {
    Distance.ZONE: 0.0,
    Distance.REGION: ZONE_PART,
    Distance.REMOTE: REGION_PART,
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that may take the request.

    Parameters
    ----------
    server : ServerId
        Its id.
    distance : Distance
        How far away it stands.
    travel_ms : float
        Time on the network, there and back.
    wait_ms, service_ms : float
        Estimated time until a slot is free, and for the work.
    error_ratio : float
        Part of the requests there that fail.
    is_paused : bool
        Whether it is left out after failures.
    """

    server: base.ServerId
    distance: Distance
    travel_ms: float
    wait_ms: float
    service_ms: float
    error_ratio: float = 0.0
    is_paused: bool = False

    def compute_expected_ms(self) -> float:
        """Return the expected time to the answer."""
        return self.travel_ms + self.wait_ms + self.service_ms


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The request goes to a server."""

    server: base.ServerId
    expected_ms: float


class RefusalReason(enum.Enum):
    """Why a request is refused before it was sent."""

    NO_SERVER = "no_server"
    OVERLOAD = "overload"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The request is refused; `expected_ms` is the least expected time."""

    reason: RefusalReason
    expected_ms: float = 0.0


def place(
    candidates: Sequence[Candidate],
    *,
    objective_ms: float,
    limit_ms: float,
    admits_idle: bool = True,
) -> Choice | Refusal:
    """Choose the server with the least cost.

    A server with a free slot takes a request even if its estimate is
    above the limit: without answers an estimate that is wrong would
    never be corrected.

    Parameters
    ----------
    candidates : sequence of Candidate
        Servers that may take the request; ties go to the first.
    objective_ms : float
        Latency objective of the route.
    limit_ms : float
        Expected time from which the request is refused.
    admits_idle : bool
        Whether the caller waits long enough for a server with a free
        slot to be tried in any case.
    """
    if not candidates:
        return Refusal(reason=RefusalReason.NO_SERVER)
    usable = [c for c in candidates if not c.is_paused]
    if not usable:
        return Refusal(reason=RefusalReason.UNREACHABLE)

    def cost(candidate: Candidate) -> float:
        penalty_ms = _PENALTY[candidate.distance] * objective_ms
        success = max(HEALTH_FLOOR, 1 - candidate.error_ratio)
        return candidate.compute_expected_ms() / success + penalty_ms

    in_time = [
        c
        for c in usable
        if c.compute_expected_ms() <= limit_ms
        or (admits_idle and c.wait_ms <= 0)
    ]
    if not in_time:
        least_ms = min(c.compute_expected_ms() for c in usable)
        return Refusal(reason=RefusalReason.OVERLOAD, expected_ms=least_ms)
    best = min(in_time, key=cost)
    return Choice(server=best.server, expected_ms=best.compute_expected_ms())
