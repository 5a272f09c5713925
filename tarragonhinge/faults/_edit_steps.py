"""Steps of an edit of the operators' table."""

from tarragonhinge import configuration
from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import stores
from tarragonhinge import testing


class _EditStep(_step.Step):
    """Step of an edit that an operator makes through the leader.

    Attributes
    ----------
    stage : Stage
        Stage at which the step is taken.
    """

    stage: testing.Stage

    async def trigger(self, trial):
        """Start an operator's edit."""
        trial.start_edit(trial.find_leader())

    def find_target(self, trial, event):
        """Return the instance that handles the edit."""
        if event.stage is not self.stage or not _concerns_table(event):
            return None
        return _trial.FaultTarget(node=event.source)


def _concerns_table(event: testing.ProbeEvent) -> bool:
    if not isinstance(event.content, stores.Transaction):
        return True
    return any(p.key == configuration.TABLE_KEY for p in event.content.puts)


@_step.STEPS.register("edit-proposed")
class Proposed(_EditStep):
    """An instance receives an edit from an operator."""

    title = "edit: proposed"
    stage = testing.Stage.EDIT_PROPOSED


@_step.STEPS.register("edit-written")
class Written(_EditStep):
    """The edit is stored and the store's answer is in transit."""

    title = "edit: written"
    stage = testing.Stage.TABLE_WRITTEN


@_step.STEPS.register("edit-acknowledged")
class Acknowledged(_EditStep):
    """The instance receives the store's answer to the edit."""

    title = "edit: acknowledged"
    stage = testing.Stage.TABLE_ANSWERED


@_step.STEPS.register("edit-spread")
class Spread(_EditStep):
    """An instance has read the row with the new table version."""

    title = "edit: spread"

    def find_target(self, trial, event):
        """Return the first instance with an older version that reads it."""
        if event.stage is not testing.Stage.TABLE_READ or not trial.accepted:
            return None
        node = trial.find_node(event.source)
        current = node.instance.view.current.version
        min_version = trial.accepted[-1].version
        if current >= min_version or not _reads_table(event, min_version):
            return None
        return _trial.FaultTarget(node=event.source)


def _reads_table(event: testing.ProbeEvent, min_version: int) -> bool:
    """Return whether a read returned the table in a version or a later one."""
    return any(
        row.version >= min_version and b'"edits"' in row.value
        for row in event.content
    )


@_step.STEPS.register("edit-in-force")
class InForce(_EditStep):
    """An instance puts the new table version in force."""

    title = "edit: in force"

    def find_target(self, trial, event):
        """Return the instance that puts the version in force."""
        if event.stage is not testing.Stage.VERSION_IN_FORCE:
            return None
        return _trial.FaultTarget(node=event.source)
