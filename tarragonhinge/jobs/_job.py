"""State of one request while it is routed."""

import asyncio
import dataclasses

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge import http1
from tarragonhinge.jobs import _dialect
from tarragonhinge import limits
from tarragonhinge import quarantine


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """A caller's request and its routing state.

    Parameters
    ----------
    request : HttpRequest
        The request as received.
    metadata : RequestMetadata
        Metadata from the header fields of the request.
    route : Route
        Route that the request matched.
    service : Service
        Target service, which all attempts use.
    deadline_at : int
        Latest time of the final response to the caller.
    is_caller_retry : bool
        Whether the request is assumed to be a retry by the caller after a
        refusal.
    first_at : int
        Time of the caller's first attempt, as far as it is known.
    trace : Trace
        Events of the request.
    sent_count : int
        Number of times that the request was sent to a server.
    unsent_count : int
        Number of times that a connection ended before it was sent there.
    may_have_run : bool
        Whether a server may have run the request, although no valid response
        arrived.
    failed_servers : set
        Servers at which an attempt failed.
    silent_servers : set
        Servers at which an attempt goes on after a failover.
    attempts : set of Task
        Attempts that have not ended.
    answer : HttpResponse or None
        Response of a server, once there is a valid one.
    answered_by : Incarnation or None
        Server of this response, unless another instance got it.
    is_retry_paid : bool
        Whether the retry budget was already charged for the next attempt.
    trial : str or None
        Reason for which it may be sent although it is refused, since it
        crashed servers.
    may_have_trial : bool
        Whether no trial was requested so far.
    connections : list of ServerConnection
        Connections on which it was sent. A server may write its refusal
        once more there, which names the same attempt.
    refused_by_grant : tuple or None
        Owner and fencing token of the grant under which the request was
        last refused.
    is_forwarded : bool
        Whether another instance has forwarded the request to this one.
    permit : Incarnation or None
        Server for which its present placement has a permit.
    """

    request: http1.HttpRequest
    metadata: _dialect.RequestMetadata
    route: catalog.Route
    service: catalog.Service
    deadline_at: int
    is_caller_retry: bool
    trace: events.Trace
    first_at: int = 0
    sent_count: int = 0
    unsent_count: int = 0
    may_have_run: bool = False
    failed_servers: set[base.ServerId] = dataclasses.field(default_factory=set)
    silent_servers: set[base.ServerId] = dataclasses.field(default_factory=set)
    attempts: set[asyncio.Task] = dataclasses.field(default_factory=set)
    answer: http1.HttpResponse | None = None
    answered_by: limits.Incarnation | None = None
    is_retry_paid: bool = False
    trial: str | None = None
    may_have_trial: bool = True
    connections: list[http1.ServerConnection] = dataclasses.field(
        default_factory=list
    )
    refused_by_grant: tuple[base.ServerId, int] | None = None
    is_forwarded: bool = False
    permit: limits.Incarnation | None = None
    _digest: quarantine.RequestDigest | None = None

    def close(self, *, keeps_digest: bool) -> None:
        """Drop the request and its response when the job has ended.

        Parameters
        ----------
        keeps_digest : bool
            Whether the digest is asked for later.
        """
        if keeps_digest:
            self.compute_digest()
        self.request = http1.HttpRequest(method="", target="", fields=[])
        self.answer = None
        self.connections.clear()

    def count_attempts_left(self) -> int:
        """Return the number of servers that it may still be sent to.

        Servers that refused it count only if others may have run it.
        """
        left = self.route.max_attempts - self.sent_count
        return left if self.may_have_run else max(1, left)

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind is catalog.RequestKind.IDEMPOTENT

    @property
    def digest(self) -> quarantine.RequestDigest:
        """Digest, which is the same for all attempts of the request."""
        return self.compute_digest()

    def compute_digest(self) -> quarantine.RequestDigest:
        """Return the digest; it is computed once, from the whole body."""
        if self._digest is None:
            self._digest = quarantine.compute_digest(
                host=self.request.find("host") or "",
                method=self.request.method,
                target=self.request.target,
                caller=self.metadata.caller,
                key=self.key,
                body=self.request.body,
            )
        return self._digest

    @property
    def key(self) -> int | None:
        """Key of the request, or None if the service is not keyed."""
        return self.metadata.key if self.service.keyed else None
