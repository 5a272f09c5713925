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
    """A server that a request may be sent to.

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
    """Chooses the server with the lowest expected latency per weight.

    The servers that `list_avoided` returns are avoided; ties are broken by
    rotation.
    """

    def __init__(self) -> None:
        self._turn = itertools.count()

    def pick(
        self, candidates: Sequence[Candidate], *, priority: int
    ) -> Candidate:
        """Return the candidate with the lowest expected latency per weight."""
        avoided = _health.list_avoided(
            {
                c.server: c.slots.health.compute_error_ratio()
                for c in candidates
            },
            {c.server: c.weight for c in candidates},
        )
        start = next(self._turn) % len(candidates)
        rotated = [*candidates[start:], *candidates[:start]]
        usable = [c for c in rotated if c.server not in avoided]
        return min(usable, key=lambda c: _compute_cost(c, priority))


def _compute_cost(candidate: Candidate, priority: int) -> float:
    """Return the expected latency in milliseconds, divided by the weight."""
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
