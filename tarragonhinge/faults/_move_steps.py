"""Steps of a partition's move away from a draining server."""

from tarragonhinge import base
from tarragonhinge.faults import _ownership_steps
from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import testing

#: Service time of the draining server, which keeps requests in flight
#: during the move, and service time after the step.
SERVICE_MS = 300
NORMAL_SERVICE_MS = 5


class _MoveStep(_step.Step):
    """Step of a move."""

    async def trigger(self, trial):
        """Drain a server that has requests in flight."""
        server = trial.find_server(_trial.FaultTarget(node=""))
        server.service_ms = SERVICE_MS
        await trial.deployment.wait(SERVICE_MS)
        trial.drain(server)

    def clean_up(self, trial):
        """Restore the normal service time."""
        for server in trial.deployment.servers.values():
            server.service_ms = min(server.service_ms, NORMAL_SERVICE_MS)


@_step.STEPS.register("move-hold")
class MoveHold(_MoveStep):
    """The leader starts to hold the requests of a partition."""

    title = "move: hold"

    def find_target(self, trial, event):
        """Return the leader and the source server when the move starts."""
        if event.stage is not testing.Stage.MOVE_HELD:
            return None
        return _trial.FaultTarget(node=event.source, server=event.target)


@_step.STEPS.register("move-drain")
class MoveDrain(_MoveStep):
    """A request in flight ends while its partition is moved."""

    title = "move: drain"

    def find_target(self, trial, event):
        """Return the leader and the source server when the request ends."""
        if event.stage is not testing.Stage.REQUEST_ANSWERED:
            return None
        fence = event.content.fence
        if fence.shard != trial.deployment.shard:
            return None
        leader = trial.deployment.find_leadership(
            trial.find_node(event.source)
        )
        if fence.partition not in leader.owners.moves:
            return None
        return _trial.FaultTarget(node=event.source, server=event.target)


@_step.STEPS.register("move-revoke")
class MoveRevoke(_MoveStep):
    """The grant of the partition at the source server is revoked."""

    title = "move: revoke"

    def find_target(self, trial, event):
        """Return the leader and the source server at the revocation."""
        heartbeat = _ownership_steps.get_grant_request(trial, event)
        if heartbeat is None or not heartbeat.revoked:
            return None
        return _trial.FaultTarget(node=event.source, server=event.target)


@_step.STEPS.register("move-record")
class MoveRecord(_MoveStep):
    """The leader records the new owner in the table."""

    title = "move: record"

    def find_target(self, trial, event):
        """Return the leader and the source server when the write arrives."""
        if event.stage is not testing.Stage.TABLE_ASKED:
            return None
        record = _ownership_steps.get_written_record(trial, event)
        if record is None or not trial.drained:
            return None
        return _trial.FaultTarget(node=event.source, server=_get_source(trial))


@_step.STEPS.register("move-grant")
class MoveGrant(_MoveStep):
    """The new owner is granted the partition, and requests resume."""

    title = "move: grant and release"

    def find_target(self, trial, event):
        """Return the leader and the new owner when the grant arrives."""
        heartbeat = _ownership_steps.get_grant_request(trial, event)
        if heartbeat is None or not heartbeat.granted:
            return None
        if event.target in trial.drained or not trial.drained:
            return None
        return _trial.FaultTarget(node=event.source, server=event.target)


def _get_source(trial: _trial.Trial) -> base.ServerId:
    return next(iter(trial.drained))
