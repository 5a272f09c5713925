"""Policies that choose a server for a request without a key."""

import abc
from collections.abc import Sequence
import dataclasses
import itertools

from tarragonhinge.admission import _health
from tarragonhinge.admission import _slots
from tarragonhinge import base


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that may take a request.

    Parameters
    ----------
    server : ServerId
        Id of the server.
    weight : float
        Weight of the server in the operators' table.
    slots : ServerSlots
        Load of the server, as seen by the leader.
    """

    server: base.ServerId
    weight: float
    slots: _slots.ServerSlots


class Picker(abc.ABC):
    """Chooses among the servers of a shard."""

    @abc.abstractmethod
    def pick(
        self, candidates: Sequence[Candidate], *, priority: int
    ) -> Candidate:
        """Return one of `candidates`, which must not be empty."""


#: Pickers by their name in the operators' table.
PICKERS: base.Registry[Picker] = base.Registry(kind="picker")


@PICKERS.register("least_loaded")
class LeastLoadedPicker(Picker):
    """Chooses the server with the lowest expected latency.

    Servers with a high error ratio are avoided, as `list_avoided` allows;
    ties are broken by rotation.
    """

    def __init__(self) -> None:
        self._turn = itertools.count()

    def pick(
        self, candidates: Sequence[Candidate], *, priority: int
    ) -> Candidate:
        """Return the candidate with the lowest expected latency."""
        avoided = _health.list_avoided(
            {
                c.server: c.slots.health.compute_error_ratio()
                for c in candidates
            },
            {c.server: c.weight for c in candidates},
        )
        start = next(self._turn) % len(candidates)
        turned = [*candidates[start:], *candidates[:start]]
        kept = [c for c in turned if c.server not in avoided]
        return min(kept, key=lambda c: _estimate(c, priority))


def _estimate(candidate: Candidate, priority: int) -> float:
    slots = candidate.slots
    wait_ms = slots.estimate_wait_ms(priority)
    return (wait_ms + slots.estimate_service_ms()) / candidate.weight


@PICKERS.register("round_robin")
class RoundRobinPicker(Picker):
    """Chooses all servers in turn regardless of load, as a baseline."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def pick(
        self, candidates: Sequence[Candidate], *, priority: int
    ) -> Candidate:
        """Return the next candidate."""
        return candidates[next(self._turn) % len(candidates)]
