"""Shows a test each step that a deployment takes, as it takes it."""

from collections.abc import Callable
import dataclasses
import enum


class Stage(enum.Enum):
    """Where a message, a write or a request is."""

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
    """One step that was just taken.

    Parameters
    ----------
    stage : Stage
        Which step.
    source, target : str
        Addresses of the two ends; the target may be empty.
    content : object
        The message, transaction, request, move or version.
    """

    stage: Stage
    source: str
    target: str = ""
    content: object = None


class Probe:
    """Calls a test at each step, before anything follows from it.

    Attributes
    ----------
    on_event : callable or None
        Called with each `ProbeEvent`; may apply a fault at once.
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
        """Show a step to the test, if one looks."""
        if self.on_event is not None:
            self.on_event(
                ProbeEvent(
                    stage=stage, source=source, target=target, content=content
                )
            )
