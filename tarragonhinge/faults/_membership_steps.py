"""Steps of instances that join or leave, and of servers that drain."""

from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import shards
from tarragonhinge import testing


@_step.STEPS.register("joining")
class Joining(_step.Step):
    """A new instance reads the table for the first time."""

    title = "joining of an instance"

    async def trigger(self, trial):
        """Start an additional instance."""
        trial.driver.spawn(trial.deployment.join())

    def find_target(self, trial, event):
        """Return the new instance at its first read of the table."""
        newest = trial.deployment.nodes[-1]
        if event.stage is not testing.Stage.TABLE_READ:
            return None
        if event.source != newest.address:
            return None
        return _trial.FaultTarget(node=event.source)


class _StopStep(_step.Step):
    """Step of a leader's planned stop."""

    async def trigger(self, trial):
        """Stop the leader as planned."""
        trial.driver.spawn(trial.stop_node(trial.find_leader()))


@_step.STEPS.register("leaving")
class Leaving(_StopStep):
    """A leader has announced that it stops."""

    title = "leaving: announced"

    def find_target(self, trial, event):
        """Return the leader that stops."""
        if event.stage is not testing.Stage.INSTANCE_LEAVING:
            return None
        return _trial.FaultTarget(node=event.source)


@_step.STEPS.register("stopping")
class Stopping(_StopStep):
    """A leader's handover reaches its standby."""

    title = "stopping: handover"

    def find_target(self, trial, event):
        """Return the leader that hands over."""
        if event.stage is not testing.Stage.PEER_ARRIVED:
            return None
        if not isinstance(event.content, shards.Handover):
            return None
        return _trial.FaultTarget(node=event.source)


@_step.STEPS.register("draining")
class Draining(_step.Step):
    """A server reports to its leader that it is draining."""

    title = "draining of a server"

    async def trigger(self, trial):
        """Let a server drain."""
        trial.drain(trial.find_server(_trial.FaultTarget(node="")))

    def find_target(self, trial, event):
        """Return the leader and the server when the reply is sent."""
        if event.stage is not testing.Stage.GRANT_ANSWERED:
            return None
        if not event.content.draining:
            return None
        return _trial.FaultTarget(node=event.source, server=event.target)
