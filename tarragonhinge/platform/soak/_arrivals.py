"""Requests that arrived at servers, with the instances that sent them."""

from collections.abc import Iterable
import dataclasses

from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform import standins


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that arrived at a server.

    Parameters
    ----------
    at : float
        Monotonic time in seconds.
    attempt : Attempt
        Attempt of the caller.
    sender : InstanceProcess
        Instance that sent it to the server, which may not be the one that
        the caller sent it to.
    """

    at: float
    attempt: _attempts.Attempt
    sender: _instances.InstanceProcess


def list_arrivals(
    server: standins.StandInServer,
    attempts: Iterable[_attempts.Attempt],
    instances: Iterable[_instances.InstanceProcess],
) -> list[Arrival]:
    """Return the requests of callers that arrived at a server."""
    by_id = {attempt.attempt_id: attempt for attempt in attempts}
    by_ip = {instance.ip: instance for instance in instances}
    return [
        Arrival(at=at, attempt=by_id[attempt_id], sender=by_ip[source])
        for (at, attempt_id), source in zip(
            server.arrivals, server.sources, strict=True
        )
        if attempt_id in by_id
    ]
