"""Instances and servers that come and go."""

from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import shards
from tarragonhinge import testing


@_step.STEPS.register("joining")
class Joining(_step.Step):
    """A new instance asks for the first time."""

    title = "joining of an instance"

    async def drive(self, trial):
        """Start a further instance."""
        trial.driver.spawn(trial.deployment.join())

    def find_place(self, trial, seen):
        """Return the new instance at its first read of the table."""
        newest = trial.deployment.nodes[-1]
        if seen.stage is not testing.Stage.TABLE_READ:
            return None
        if seen.source != newest.address:
            return None
        return _trial.Place(node=seen.source)


class _StopStep(_step.Step):
    """A stage of a leader's planned stop."""

    async def drive(self, trial):
        """Stop the leader."""
        trial.driver.spawn(trial.stop_node(trial.find_leader()))


@_step.STEPS.register("leaving")
class Leaving(_StopStep):
    """A leader has announced that it leaves."""

    title = "leaving: announced"

    def find_place(self, trial, seen):
        """Return the leader that leaves."""
        if seen.stage is not testing.Stage.INSTANCE_LEAVING:
            return None
        return _trial.Place(node=seen.source)


@_step.STEPS.register("stopping")
class Stopping(_StopStep):
    """A leader's handover reaches its standby."""

    title = "stopping: handover"

    def find_place(self, trial, seen):
        """Return the leader that stops."""
        if seen.stage is not testing.Stage.PEER_ARRIVED:
            return None
        if not isinstance(seen.content, shards.Handover):
            return None
        return _trial.Place(node=seen.source)


@_step.STEPS.register("draining")
class Draining(_step.Step):
    """A server tells its leader that it wants no new work."""

    title = "draining of a server"

    async def drive(self, trial):
        """Let a server drain."""
        trial.drain(trial.find_server(_trial.Place(node="")))

    def find_place(self, trial, seen):
        """Return leader and server as the wish is stated."""
        if seen.stage is not testing.Stage.GRANT_ANSWERED:
            return None
        if not seen.content.draining:
            return None
        return _trial.Place(node=seen.source, server=seen.target)
