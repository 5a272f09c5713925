"""Faults of the platform and of operators."""

from tarragonhinge import base
from tarragonhinge.faults import _fault
from tarragonhinge import membership


class _StoreFault(_fault.Fault):
    """A fault of the table service, for all processes."""

    def heal(self, trial):
        """End all faults of the store, and replace lost processes."""
        trial.driver.apply("store-up", 0, 0)
        for node in trial.deployment.nodes:
            node.table.lose_answers = 0
        _fault.replace_lost(trial)


@_fault.FAULTS.register("store-down")
class StoreDown(_StoreFault):
    """Nothing reaches the store."""

    title = "store down"

    def strike(self, trial, place):
        """Take the store down."""
        trial.driver.apply("store-down", 0, 0)


@_fault.FAULTS.register("store-slow")
class StoreSlow(_StoreFault):
    """The store takes more than a second to answer."""

    title = "store slow"

    def strike(self, trial, place):
        """Slow the store down for everyone."""
        for number in range(len(trial.deployment.nodes)):
            trial.driver.apply("store-slow", number, 0)


@_fault.FAULTS.register("store-answer-lost")
class StoreAnswerLost(_StoreFault):
    """The answers to the next writes are lost after their effect."""

    title = "store's answer lost after effect"
    hold_ms = 1000

    def strike(self, trial, place):
        """Lose the answer to the next write of each process."""
        for number in range(len(trial.deployment.nodes)):
            trial.driver.apply("store-answers-lost", number, 0)


@_fault.FAULTS.register("racing-edits")
class RacingEdits(_fault.Fault):
    """Two operators edit the same version through two instances."""

    title = "racing edits"
    hold_ms = 1000

    def strike(self, trial, place):
        """Let two operators edit at once."""
        for node in trial.deployment.nodes[:2]:
            trial.driver.spawn(trial.edit(node))

    def heal(self, trial):
        """Replace lost processes."""
        _fault.replace_lost(trial)


@_fault.FAULTS.register("list-lagging")
class ListLagging(_fault.Fault):
    """The list lacks the process and shows one that is gone."""

    title = "instance list lagging"

    def strike(self, trial, place):
        """Let the list show an earlier state."""
        present = trial.deployment.instance_list
        node = trial.find_node(place.node).instance.me
        gone = membership.InstanceEntry(
            instance=base.InstanceId("i99"),
            address=base.Address("node-99"),
            region=node.region,
            zone=node.zone,
        )
        entries = [e for e in present.entries.values() if e != node]
        present.stale = [*entries, gone]

    def heal(self, trial):
        """Let the list show the present state."""
        trial.deployment.instance_list.stale = None
        _fault.replace_lost(trial)
