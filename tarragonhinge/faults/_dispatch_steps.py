"""Stages of a request."""

from tarragonhinge import dispatch
from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import testing


def _make_place(trial: _trial.Trial, seen: testing.ProbeEvent) -> _trial.Place:
    """Return the leader and the server of a dispatched request."""
    if seen.content.fence.shard != trial.deployment.shard:
        return None
    if not seen.content.idempotency_key:
        return None
    return _trial.Place(node=seen.source, server=seen.target)


def _is_order(trial: _trial.Trial, content: object) -> bool:
    return (
        isinstance(content, dispatch.ForwardRequest)
        and bool(content.idempotency_key)
        and content.shard == trial.deployment.shard
    )


@_step.STEPS.register("dispatch-received")
class Received(_step.Step):
    """An entry takes an order from a caller."""

    title = "dispatch: received"

    def find_place(self, trial, seen):
        """Return an entry that does not lead."""
        if seen.stage is not testing.Stage.REQUEST_RECEIVED:
            return None
        if not _is_order(trial, seen.content):
            return None
        if seen.source == trial.find_leader().address:
            return None
        return _trial.Place(node=seen.source)


@_step.STEPS.register("dispatch-forwarded")
class Forwarded(_step.Step):
    """An order reaches the leader."""

    title = "dispatch: forwarded"

    def find_place(self, trial, seen):
        """Return the leader as the order arrives."""
        if seen.stage is not testing.Stage.PEER_ARRIVED:
            return None
        if not _is_order(trial, seen.content):
            return None
        return _trial.Place(node=seen.target)


@_step.STEPS.register("dispatch-admitted")
class Admitted(_step.Step):
    """An order has got a slot."""

    title = "dispatch: admitted"

    def find_place(self, trial, seen):
        """Return the leader and the server before the order leaves."""
        if seen.stage is not testing.Stage.REQUEST_ADMITTED:
            return None
        return _make_place(trial, seen)


@_step.STEPS.register("dispatch-sent")
class Sent(_step.Step):
    """An order reaches its server."""

    title = "dispatch: sent"

    def find_place(self, trial, seen):
        """Return the leader and the server before the order runs."""
        if seen.stage is not testing.Stage.REQUEST_SENT:
            return None
        return _make_place(trial, seen)


@_step.STEPS.register("dispatch-answered")
class Answered(_step.Step):
    """A server has run an order."""

    title = "dispatch: answered"

    def find_place(self, trial, seen):
        """Return the leader and the server before the answer leaves."""
        if seen.stage is not testing.Stage.REQUEST_ANSWERED:
            return None
        return _make_place(trial, seen)


class _ReplyStep(_step.Step):
    """An answer leaves the leader for the entry."""

    replayed: bool

    def find_place(self, trial, seen):
        """Return the leader before the answer of an order leaves."""
        if seen.stage is not testing.Stage.PEER_REPLIED:
            return None
        reply = seen.content
        if not isinstance(reply, dispatch.ForwardAnswered):
            return None
        if b" POST " not in reply.body or reply.replayed != self.replayed:
            return None
        if seen.source != trial.find_leader().address:
            return None
        return _trial.Place(node=seen.source)


@_step.STEPS.register("dispatch-remembered")
class Remembered(_ReplyStep):
    """The leader has remembered an order's answer."""

    title = "dispatch: remembered"
    replayed = False


@_step.STEPS.register("dispatch-replayed")
class Replayed(_ReplyStep):
    """The leader replays an answer that it remembers."""

    title = "dispatch: replayed"
    replayed = True

    async def drive(self, trial):
        """Let callers repeat orders that were answered."""
        trial.load.repeat_answered()
