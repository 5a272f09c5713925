"""One request of a caller on its way."""

import dataclasses

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.gateway import _dialect
from tarragonhinge import http1


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """A request with what was decided about it so far.

    Parameters
    ----------
    request : Request
        What the caller sent.
    facts : RequestMetadata
        What its header says.
    route : Route
        The route that it matched.
    service : Service
        The service that takes it, for all its attempts.
    ends_at : int
        When the caller gets a final answer at the latest.
    is_return : bool
        Whether the caller comes back after a refusal.
    trace : Trace
        Its events.
    sent : int
        How often it was sent to a server.
    may_have_run : bool
        Whether a server may have run it without an answer.
    tried : set
        Servers that failed it.
    is_repeat_paid : bool
        Whether the budget has paid for the next attempt.
    refused_by : tuple or None
        Holder and fencing token that refused its key.
    """

    request: http1.HttpRequest
    facts: _dialect.RequestMetadata
    route: catalog.Route
    service: catalog.Service
    ends_at: int
    is_return: bool
    trace: events.Trace
    sent: int = 0
    may_have_run: bool = False
    tried: set[base.ServerId] = dataclasses.field(default_factory=set)
    is_repeat_paid: bool = False
    refused_by: tuple[base.ServerId, int] | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind is catalog.RequestKind.IDEMPOTENT

    @property
    def key(self) -> int | None:
        """The key, if the service's keys belong to servers."""
        return self.facts.key if self.service.keyed else None
