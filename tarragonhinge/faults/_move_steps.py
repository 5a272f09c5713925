"""Stages of a move from a server that drains."""

from tarragonhinge import base
from tarragonhinge.faults import _ownership_steps
from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import testing

#: How long a server works on a request while it is emptied.
SERVICE_MS = 300
USUAL_MS = 5


class _MoveStep(_step.Step):
    """A stage of a move."""

    async def drive(self, trial):
        """Drain a server that has requests in flight."""
        server = trial.find_server(_trial.Place(node=""))
        server.service_ms = SERVICE_MS
        await trial.deployment.wait(SERVICE_MS)
        trial.drain(server)

    def finish(self, trial):
        """Let the server work at its usual pace."""
        for server in trial.deployment.servers.values():
            server.service_ms = min(server.service_ms, USUAL_MS)


@_step.STEPS.register("move-hold")
class MoveHold(_MoveStep):
    """Requests of a partition are held."""

    title = "move: hold"

    def find_place(self, trial, seen):
        """Return leader and source as the move begins."""
        if seen.stage is not testing.Stage.MOVE_HELD:
            return None
        return _trial.Place(node=seen.source, server=seen.target)


@_step.STEPS.register("move-drain")
class MoveDrain(_MoveStep):
    """A request in flight ends while its partition is held."""

    title = "move: drain"

    def find_place(self, trial, seen):
        """Return leader and source as the request ends."""
        if seen.stage is not testing.Stage.REQUEST_ANSWERED:
            return None
        fence = seen.content.fence
        if fence.shard != trial.deployment.shard:
            return None
        leader = trial.deployment.find_leadership(trial.find_node(seen.source))
        if fence.partition not in leader.owners.moves:
            return None
        return _trial.Place(node=seen.source, server=seen.target)


@_step.STEPS.register("move-revoke")
class MoveRevoke(_MoveStep):
    """The source is told that it no longer owns a partition."""

    title = "move: revoke"

    def find_place(self, trial, seen):
        """Return leader and source as the withdrawal arrives."""
        beat = _ownership_steps.read_grant(trial, seen)
        if beat is None or not beat.revoked:
            return None
        return _trial.Place(node=seen.source, server=seen.target)


@_step.STEPS.register("move-record")
class MoveRecord(_MoveStep):
    """The new owner is written."""

    title = "move: record"

    def find_place(self, trial, seen):
        """Return leader and source as the write reaches the table."""
        if seen.stage is not testing.Stage.TABLE_ASKED:
            return None
        record = _ownership_steps.read_record(trial, seen)
        if record is None or not trial.drained:
            return None
        return _trial.Place(node=seen.source, server=_get_source(trial))


@_step.STEPS.register("move-grant")
class MoveGrant(_MoveStep):
    """The new owner is granted the partition, and requests go on."""

    title = "move: grant and release"

    def find_place(self, trial, seen):
        """Return leader and new owner as the grant arrives."""
        beat = _ownership_steps.read_grant(trial, seen)
        if beat is None or not beat.granted:
            return None
        if seen.target in trial.drained or not trial.drained:
            return None
        return _trial.Place(node=seen.source, server=seen.target)


def _get_source(trial: _trial.Trial) -> base.ServerId:
    return next(iter(trial.drained))
