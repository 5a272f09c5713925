"""Hook that reports each protocol step of a deployment to a test."""

from collections.abc import Callable
import dataclasses
import enum


class Stage(enum.Enum):
    """Stage of a message, a write, a request, a move or an edit."""

    PEER_ARRIVED = "peer_arrived"
    PEER_REPLIED = "peer_replied"
    TABLE_READ = "table_read"
    TABLE_ASKED = "table_asked"
    TABLE_WRITTEN = "table_written"
    TABLE_ANSWERED = "table_answered"
    GRANT_ARRIVED = "grant_arrived"
    GRANT_ANSWERED = "grant_answered"
    REQUEST_RECEIVED = "request_received"
    REQUEST_ADMITTED = "request_admitted"
    REQUEST_SENT = "request_sent"
    REQUEST_ANSWERED = "request_answered"
    MOVE_HELD = "move_held"
    EDIT_PROPOSED = "edit_proposed"
    VERSION_IN_FORCE = "version_in_force"
    INSTANCE_LEAVING = "instance_leaving"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeEvent:
    """Protocol step that a deployment has just taken.

    Parameters
    ----------
    stage : Stage
        Stage that was reached.
    source, target : str
        Addresses of the initiator and of its peer, which may be empty.
    content : object
        Message, transaction, request, move or version that the step
        concerns.
    """

    stage: Stage
    source: str
    target: str = ""
    content: object = None


class Probe:
    """Calls a test synchronously at each step.

    A fault that the test injects in the call precedes all effects of the
    step.

    Attributes
    ----------
    on_event : callable or None
        Called with each `ProbeEvent`.
    """

    def __init__(self) -> None:
        self.on_event: Callable[[ProbeEvent], None] | None = None

    def report(
        self,
        stage: Stage,
        source: str,
        target: str = "",
        content: object = None,
    ) -> None:
        """Report a step to the test, if it has set `on_event`."""
        if self.on_event is not None:
            self.on_event(
                ProbeEvent(
                    stage=stage, source=source, target=target, content=content
                )
            )
