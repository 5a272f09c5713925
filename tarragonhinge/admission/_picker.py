"""Policies that pick a server for a request without a key."""

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
        Its name.
    weight : float
        Its weight in the row.
    slots : ServerSlots
        Its load, as the leader sees it.
    """

    server: base.ServerId
    weight: float
    slots: _slots.ServerSlots


class Picker(abc.ABC):
    """Picks among the servers of a shard."""

    @abc.abstractmethod
    def pick(
        self, candidates: Sequence[Candidate], *, priority: int
    ) -> Candidate:
        """Return one of `candidates`, which are not empty."""


#: Pickers by the name that a row of the operators' table gives.
PICKERS: base.Registry[Picker] = base.Registry(kind="picker")


@PICKERS.register("least_loaded")
class LeastLoadedPicker(Picker):
    """Picks the server that is expected to answer first.

    Servers whose requests fail are avoided, within the floor of
    `list_avoided`; equal ones are taken in turn.
    """

    def __init__(self) -> None:
        self._turn = itertools.count()

    def pick(
        self, candidates: Sequence[Candidate], *, priority: int
    ) -> Candidate:
        """Return the candidate with the least expected time."""
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
    """Baseline: takes all servers in turn, whatever their load."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def pick(
        self, candidates: Sequence[Candidate], *, priority: int
    ) -> Candidate:
        """Return the next candidate."""
        return candidates[next(self._turn) % len(candidates)]
