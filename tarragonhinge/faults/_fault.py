"""Faults of the matrix."""

import abc

from tarragonhinge import base
from tarragonhinge.faults import _trial
from tarragonhinge import testing


class Fault(abc.ABC):
    """A fault that strikes at a place and is healed later.

    Attributes
    ----------
    title : str
        The fault in words.
    hold_ms : int
        How long it lasts.
    loses : bool
        True if a process or a server is lost, so that keys have to be
        served again within the target from then on.
    two_regions : bool
        True if the deployment needs a second region.
    """

    title: str
    hold_ms = 2200
    loses = False
    two_regions = False

    def __init__(self) -> None:
        self.hit: list[str] = []

    def explain_missing(self, step: str) -> str:
        """Return why the fault is impossible at a step, or nothing."""
        return ""

    @abc.abstractmethod
    def strike(self, trial: _trial.Trial, place: _trial.Place) -> None:
        """Apply the fault at once."""

    @abc.abstractmethod
    def heal(self, trial: _trial.Trial) -> None:
        """End the fault."""

    def hit_node(self, address: str) -> None:
        """Note that callers can't count on an instance meanwhile."""
        self.hit.append(address)


#: Faults by name.
FAULTS: base.Registry[Fault] = base.Registry(kind="fault")


def list_others(trial: _trial.Trial, node: testing.Node) -> list[str]:
    """Return the addresses of all other instances and servers."""
    nodes = [other.address for other in trial.deployment.nodes]
    nodes.remove(node.address)
    return [*nodes, *trial.deployment.servers]


def replace_lost(trial: _trial.Trial) -> None:
    """Let the platform replace all lost processes."""
    trial.driver.apply("restart", 0, 0)
