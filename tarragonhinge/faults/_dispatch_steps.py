"""Steps of the dispatch of a POST request with an idempotency key."""

from tarragonhinge import dispatch
from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import testing


def _make_target(
    trial: _trial.Trial, event: testing.ProbeEvent
) -> _trial.FaultTarget:
    """Return the leader and the server of a dispatched POST.

    Returns None for a request without an idempotency key or of another
    shard than the first.
    """
    if event.content.fence.shard != trial.deployment.shard:
        return None
    if not event.content.idempotency_key:
        return None
    return _trial.FaultTarget(node=event.source, server=event.target)


def _is_keyed_post(trial: _trial.Trial, content: object) -> bool:
    return (
        isinstance(content, dispatch.ForwardRequest)
        and bool(content.idempotency_key)
        and content.shard == trial.deployment.shard
    )


@_step.STEPS.register("dispatch-received")
class Received(_step.Step):
    """An entry instance receives a POST from a caller."""

    title = "dispatch: received"

    def find_target(self, trial, event):
        """Return the entry instance, unless it is the leader."""
        if event.stage is not testing.Stage.REQUEST_RECEIVED:
            return None
        if not _is_keyed_post(trial, event.content):
            return None
        if event.source == trial.find_leader().address:
            return None
        return _trial.FaultTarget(node=event.source)


@_step.STEPS.register("dispatch-forwarded")
class Forwarded(_step.Step):
    """A forwarded POST reaches the leader."""

    title = "dispatch: forwarded"

    def find_target(self, trial, event):
        """Return the leader when the POST arrives."""
        if event.stage is not testing.Stage.PEER_ARRIVED:
            return None
        if not _is_keyed_post(trial, event.content):
            return None
        return _trial.FaultTarget(node=event.target)


@_step.STEPS.register("dispatch-admitted")
class Admitted(_step.Step):
    """The leader has admitted a POST to a slot of its server."""

    title = "dispatch: admitted"

    def find_target(self, trial, event):
        """Return the leader and the server before the POST is sent."""
        if event.stage is not testing.Stage.REQUEST_ADMITTED:
            return None
        return _make_target(trial, event)


@_step.STEPS.register("dispatch-sent")
class Sent(_step.Step):
    """A POST reaches its server."""

    title = "dispatch: sent"

    def find_target(self, trial, event):
        """Return the leader and the server before the POST runs."""
        if event.stage is not testing.Stage.REQUEST_SENT:
            return None
        return _make_target(trial, event)


@_step.STEPS.register("dispatch-answered")
class Answered(_step.Step):
    """A server has run a POST."""

    title = "dispatch: answered"

    def find_target(self, trial, event):
        """Return the leader and the server before the answer is sent."""
        if event.stage is not testing.Stage.REQUEST_ANSWERED:
            return None
        return _make_target(trial, event)


class _ReplyStep(_step.Step):
    """The leader replies to the entry instance with an answer.

    Attributes
    ----------
    replayed : bool
        Whether the answer comes from the request history.
    """

    replayed: bool

    def find_target(self, trial, event):
        """Return the leader before it sends the answer to a POST."""
        if event.stage is not testing.Stage.PEER_REPLIED:
            return None
        reply = event.content
        if not isinstance(reply, dispatch.ForwardAnswered):
            return None
        if b" POST " not in reply.body or reply.replayed != self.replayed:
            return None
        if event.source != trial.find_leader().address:
            return None
        return _trial.FaultTarget(node=event.source)


@_step.STEPS.register("dispatch-remembered")
class Remembered(_ReplyStep):
    """The leader has recorded the answer to a POST in its history."""

    title = "dispatch: remembered"
    replayed = False


@_step.STEPS.register("dispatch-replayed")
class Replayed(_ReplyStep):
    """The leader replays the recorded answer to a POST."""

    title = "dispatch: replayed"
    replayed = True

    async def trigger(self, trial):
        """Let callers resend POST requests that were answered."""
        trial.load.repeat_answered()
