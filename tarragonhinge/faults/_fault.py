"""Base class and registry of the faults of the matrix."""

import abc

from tarragonhinge import base
from tarragonhinge.faults import _trial
from tarragonhinge import testing


class Fault(abc.ABC):
    """Fault that is injected at a target and healed later.

    Attributes
    ----------
    title : str
        Description of the fault.
    duration_ms : int
        Time from the injection to the healing.
    causes_loss : bool
        Whether an instance or a server is lost, so that keys have to be
        served again within the target time after the injection.
    two_regions : bool
        Whether the deployment needs a second region.
    affected_nodes : list of str
        Addresses of the instances that may not serve during the fault.
    """

    title: str
    duration_ms = 2200
    causes_loss = False
    two_regions = False

    def __init__(self) -> None:
        self.affected_nodes: list[str] = []

    def explain_impossible(self, step: str) -> str:
        """Return why the fault is impossible at a step.

        Returns an empty string if it is possible.
        """
        return ""

    @abc.abstractmethod
    def inject(self, trial: _trial.Trial, target: _trial.FaultTarget) -> None:
        """Inject the fault synchronously."""

    @abc.abstractmethod
    def heal(self, trial: _trial.Trial) -> None:
        """End the fault."""

    def mark_affected(self, address: str) -> None:
        """Exempt an instance from serving during the fault."""
        self.affected_nodes.append(address)


#: Faults by name.
FAULTS: base.Registry[Fault] = base.Registry(kind="fault")


def list_other_addresses(trial: _trial.Trial, node: testing.Node) -> list[str]:
    """Return the addresses of all other instances and servers."""
    nodes = [other.address for other in trial.deployment.nodes]
    nodes.remove(node.address)
    return [*nodes, *trial.deployment.servers]


def restart_killed(trial: _trial.Trial) -> None:
    """Replace all killed instances, as the platform does."""
    trial.driver.apply("restart", 0, 0)
