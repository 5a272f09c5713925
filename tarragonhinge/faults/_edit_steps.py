"""Stages of an edit of the operators' table."""

from tarragonhinge import configuration
from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import stores
from tarragonhinge import testing


class _EditStep(_step.Step):
    """A stage of an edit that an operator makes at the leader."""

    stage: testing.Stage

    async def drive(self, trial):
        """Let an operator edit the table."""
        trial.start_edit(trial.find_leader())

    def find_place(self, trial, seen):
        """Return the instance that takes the edit."""
        if seen.stage is not self.stage or not _concerns_table(seen):
            return None
        return _trial.Place(node=seen.source)


def _concerns_table(seen: testing.ProbeEvent) -> bool:
    if not isinstance(seen.content, stores.Transaction):
        return True
    return any(p.key == configuration.TABLE_KEY for p in seen.content.puts)


@_step.STEPS.register("edit-proposed")
class Proposed(_EditStep):
    """An instance takes an edit from an operator."""

    title = "edit: proposed"
    stage = testing.Stage.EDIT_PROPOSED


@_step.STEPS.register("edit-written")
class Written(_EditStep):
    """The table has taken the edit, and its answer is under way."""

    title = "edit: written"
    stage = testing.Stage.TABLE_WRITTEN


@_step.STEPS.register("edit-acknowledged")
class Acknowledged(_EditStep):
    """The instance learns that the edit is stored."""

    title = "edit: acknowledged"
    stage = testing.Stage.TABLE_ANSWERED


@_step.STEPS.register("edit-spread")
class Spread(_EditStep):
    """Another instance has read the row that names the new version."""

    title = "edit: spread"

    def find_place(self, trial, seen):
        """Return the first other instance that reads the edit."""
        if seen.stage is not testing.Stage.TABLE_READ or not trial.accepted:
            return None
        node = trial.find_node(seen.source)
        current = node.instance.view.current.version
        wanted = trial.accepted[-1].version
        if current >= wanted or not _reads_table(seen, wanted):
            return None
        return _trial.Place(node=seen.source)


def _reads_table(seen: testing.ProbeEvent, wanted: int) -> bool:
    """Return whether a read returned the row of the wanted version."""
    return any(
        row.version >= wanted and b'"edits"' in row.value
        for row in seen.content
    )


@_step.STEPS.register("edit-in-force")
class InForce(_EditStep):
    """The first instance puts the new version in force."""

    title = "edit: in force"

    def find_place(self, trial, seen):
        """Return the instance at which the version is in force."""
        if seen.stage is not testing.Stage.VERSION_IN_FORCE:
            return None
        return _trial.Place(node=seen.source)
