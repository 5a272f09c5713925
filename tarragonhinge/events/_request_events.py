"""Events of individual requests."""

import msgspec

from tarragonhinge.events import _event


class Received(_event.RequestEvent, frozen=True, kw_only=True, tag="received"):
    """A request was received and matched to a route.

    Parameters
    ----------
    method, path : str
        Method and target of the request.
    route, service : str
        Names of the route and its service.
    deadline_ms : int
        Time until the deadline of the request.
    key : int or None
        Shard key; None for a request without a key.
    table_version : int
        Version of the routing table.
    origin : str or UnsetType
        Instance that has forwarded the request; unset for a caller's.
    """

    method: str
    path: str
    route: str
    service: str
    deadline_ms: int
    key: int | None = None
    table_version: int = 0
    origin: str | msgspec.UnsetType = msgspec.UNSET


class Placed(_event.RequestEvent, frozen=True, kw_only=True, tag="placed"):
    """A server was selected for an attempt.

    Parameters
    ----------
    server : str
        Id of the server.
    expected_ms : int
        Estimated response time.
    in_flight : int
        Requests of this instance at the server.
    others : float
        Estimated number of other instances' requests at the server.
    report_age_ms : int
        Age of the server's last load report; -1 if there is none.
    fence : int or None
        Fencing token of the owner; None for requests without a key.
    """

    server: str
    expected_ms: int
    in_flight: int
    others: float
    report_age_ms: int
    fence: int | None = None


class Forwarded(
    _event.RequestEvent, frozen=True, kw_only=True, tag="forwarded"
):
    """The request was forwarded to another instance.

    Parameters
    ----------
    peer : str
        Id of the other instance.
    outcome : str
        Outcome there: ``answered``, the reason of a refusal or failure,
        ``unsent`` without a connection, or ``unknown`` without a response.
    elapsed_ms : int
        Time until then.
    """

    peer: str
    outcome: str
    elapsed_ms: int


class Rejected(
    _event.RequestEvent,
    frozen=True,
    kw_only=True,
    tag="rejected",
    omit_defaults=True,
):
    """The request was rejected, as no server would respond in time.

    Parameters
    ----------
    reason : str
        Reason of the rejection.
    servers : int
        Number of candidate servers.
    server : str
        Id of the candidate with the shortest estimate; empty if there is none.
    expected_ms, limit_ms : int
        Estimated response time and its limit.
    in_flight : int
        Requests of this instance at that server.
    others : float
        Estimated number of other instances' requests at that server.
    report_age_ms : int
        Age of that server's last load report; -1 if there is none.
    wait_ms : int
        Time until a server takes requests again, if all of them ask to wait.
    """

    reason: str
    servers: int
    server: str
    expected_ms: int
    limit_ms: int
    in_flight: int
    others: float
    report_age_ms: int
    wait_ms: int = 0


class Excluded(_event.RequestEvent, frozen=True, kw_only=True, tag="excluded"):
    """Some ready servers of the service may not get the request.

    Parameters
    ----------
    servers : dict
        Number of these servers by reason.
    """

    servers: dict[str, int]


class Held(_event.RequestEvent, frozen=True, kw_only=True, tag="held"):
    """The request waits, since its key has no available owner.

    Parameters
    ----------
    key : int
        Shard key.
    reason : str
        Why there is no available owner.
    unserved_ms : int
        Time for which the key's range has been unserved.
    """

    key: int
    reason: str
    unserved_ms: int


class Limited(_event.RequestEvent, frozen=True, kw_only=True, tag="limited"):
    """The chosen server names a limit, and the request asked for a slot.

    Parameters
    ----------
    server : str
        Id of the server.
    granted : bool
        Whether the request may be sent after the wait.
    wait_ms : int
        Time until the next free slot.
    """

    server: str
    granted: bool
    wait_ms: int


class Yielded(_event.RequestEvent, frozen=True, kw_only=True, tag="yielded"):
    """The request waited here, since more urgent ones went first.

    Parameters
    ----------
    waited_ms : int
        Time for which it waited.
    """

    waited_ms: int


class Tried(
    _event.RequestEvent,
    frozen=True,
    kw_only=True,
    tag="tried",
    omit_defaults=True,
):
    """An attempt failed without a response for the caller.

    Parameters
    ----------
    server : str
        Id of the server.
    outcome : str
        Outcome of the attempt.
    elapsed_ms : int
        Duration of the attempt.
    repeats : bool
        Whether the request is retried.
    detail : str
        How it failed, if the outcome does not tell.
    """

    server: str
    outcome: str
    elapsed_ms: int
    repeats: bool
    detail: str = ""


class Ended(_event.RequestEvent, frozen=True, kw_only=True, tag="ended"):
    """The request ended with a response, or without one.

    Parameters
    ----------
    outcome : str
        Outcome of the request; ``caller_left`` if the caller disconnected,
        ``cut_off`` if this instance closed the connection.
    status : int
        Status of the response; 0 if there was none.
    reason : str
        Reason of a refusal or failure, or why there was no response; empty
        otherwise.
    elapsed_ms : int
        Time since the request was received.
    retry_after_ms : int
        Delay that the response states for a retry; 0 if it states none.
    """

    outcome: str
    status: int
    reason: str
    elapsed_ms: int
    retry_after_ms: int = 0


class Quarantined(
    _event.RequestEvent, frozen=True, kw_only=True, tag="quarantined"
):
    """The request has crashed servers, and whether it was sent all the same.

    Parameters
    ----------
    digest : str
        Digest of the request, which is the same for all its attempts.
    crashes : int
        Number of servers that it crashed.
    trial : str or None
        Reason for which it was sent once more; None if it was refused.
    """

    digest: str
    crashes: int
    trial: str | None


class CrashWitnessed(
    _event.RequestEvent, frozen=True, kw_only=True, tag="crash_witnessed"
):
    """The server to which the request was sent has crashed.

    Parameters
    ----------
    digest : str
        Digest of the request, which is the same for all its attempts.
    server, route : str
        Ids of the server and the route.
    crashes : int
        Number of crashes at which the request was present and that no refused
        request explains.
    """

    digest: str
    server: str
    route: str
    crashes: int
