"""Events of single requests."""

from tarragonhinge.events import _event


class Received(_event.RequestEvent, frozen=True, kw_only=True, tag="received"):
    """A request was read and routed."""

    method: str
    path: str
    route: str
    service: str
    deadline_ms: int
    key: int | None = None
    table_version: int = 0


class Placed(_event.RequestEvent, frozen=True, kw_only=True, tag="placed"):
    """A server was chosen, with the estimates that decided."""

    server: str
    expected_ms: int
    in_flight: int
    others: float
    report_age_ms: int
    fence: int | None = None


class Rejected(_event.RequestEvent, frozen=True, kw_only=True, tag="rejected"):
    """No server would answer in time, by the estimates that decided."""

    reason: str
    servers: int
    server: str
    expected_ms: int
    limit_ms: int
    in_flight: int
    others: float
    report_age_ms: int


class Held(_event.RequestEvent, frozen=True, kw_only=True, tag="held"):
    """The key of the request has no holder that may be asked."""

    key: int
    reason: str
    unserved_ms: int


class Tried(_event.RequestEvent, frozen=True, kw_only=True, tag="tried"):
    """An attempt at a server ended without an answer for the caller."""

    server: str
    outcome: str
    elapsed_ms: int
    repeats: bool


class Ended(_event.RequestEvent, frozen=True, kw_only=True, tag="ended"):
    """The final answer, or the caller's leaving."""

    outcome: str
    status: int
    reason: str
    elapsed_ms: int
    retry_after_ms: int = 0
