"""Faults of the platform's services, and concurrent edits of operators."""

from tarragonhinge import base
from tarragonhinge.faults import _fault
from tarragonhinge import membership


class _StoreFault(_fault.Fault):
    """Fault of the table service that affects all instances."""

    def heal(self, trial):
        """End all faults of the store and replace killed instances."""
        trial.driver.apply("store-up", 0, 0)
        for node in trial.deployment.nodes:
            node.table.lose_answers = 0
        _fault.restart_killed(trial)


@_fault.FAULTS.register("store-down")
class StoreDown(_StoreFault):
    """No call reaches the store."""

    title = "store down"

    def inject(self, trial, target):
        """Make the store unavailable."""
        trial.driver.apply("store-down", 0, 0)


@_fault.FAULTS.register("store-slow")
class StoreSlow(_StoreFault):
    """The store takes more than a second to answer."""

    title = "store slow"

    def inject(self, trial, target):
        """Delay the store's answers to all instances."""
        for number in range(len(trial.deployment.nodes)):
            trial.driver.apply("store-slow", number, 0)


@_fault.FAULTS.register("store-answer-lost")
class StoreAnswerLost(_StoreFault):
    """The next writes are applied but their answers are lost."""

    title = "store's answer lost after effect"
    duration_ms = 1000

    def inject(self, trial, target):
        """Lose the answer to the next write of each instance."""
        for number in range(len(trial.deployment.nodes)):
            trial.driver.apply("store-answers-lost", number, 0)


@_fault.FAULTS.register("racing-edits")
class RacingEdits(_fault.Fault):
    """Two operators edit the same version through two instances."""

    title = "racing edits"
    duration_ms = 1000

    def inject(self, trial, target):
        """Start two concurrent edits."""
        for node in trial.deployment.nodes[:2]:
            trial.driver.spawn(trial.edit(node))

    def heal(self, trial):
        """Replace killed instances."""
        _fault.restart_killed(trial)


@_fault.FAULTS.register("list-lagging")
class ListLagging(_fault.Fault):
    """The instance list lacks the target and has a stopped instance."""

    title = "instance list lagging"

    def inject(self, trial, target):
        """Let the list return an outdated state."""
        instance_list = trial.deployment.instance_list
        node = trial.find_node(target.node).instance.me
        stopped = membership.InstanceEntry(
            instance=base.InstanceId("i99"),
            address=base.Address("node-99"),
            region=node.region,
            zone=node.zone,
        )
        entries = [e for e in instance_list.entries.values() if e != node]
        instance_list.stale = [*entries, stopped]

    def heal(self, trial):
        """Let the list return the current state."""
        trial.deployment.instance_list.stale = None
        _fault.restart_killed(trial)
