"""Messages between an instance and the one that sends its requests.

They travel in a header field of an HTTP/1.1 request, whose remaining fields
and body are the caller's, and in one of its response.
"""

import base64
import enum

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import http1
from tarragonhinge import limits

#: Header field of a call, and of its response.
CALL_FIELD = "forwarding-call"
OUTCOME_FIELD = "forwarding-outcome"


class ForwardedRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag="request"
):
    """Call that asks another instance to send a caller's request.

    Parameters
    ----------
    origin : InstanceId
        Instance that the caller sent the request to.
    service : Service
        Target service, which the origin has chosen.
    route : Route
        Route that the origin has matched; `max_attempts` is the number of
        attempts that are left.
    deadline_ms : int
        Time left until the deadline.
    is_caller_retry : bool
        Whether the caller retries after a refusal.
    """

    origin: base.InstanceId
    service: catalog.Service
    route: catalog.Route
    deadline_ms: int
    is_caller_retry: bool = False


class PathQuery(msgspec.Struct, frozen=True, kw_only=True, tag="paths"):
    """Call that asks another instance which servers it reaches.

    Parameters
    ----------
    servers : list of Incarnation
        Servers and the start times of their processes.
    is_fresh : bool
        Whether all of them are to be tried now.
    """

    servers: list[limits.Incarnation]
    is_fresh: bool = False


class PathState(enum.Enum):
    """Whether an instance reaches a server.

    REACHABLE: it accepts connections. REFUSED: it refuses them, and the
    instance reaches other servers. UNREACHABLE: it does not accept them, and
    the instance may be cut off. UNKNOWN: it was not tried.
    """

    REACHABLE = "reachable"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class PathReport(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a `PathQuery`.

    Parameters
    ----------
    states : list of PathState
        State of each server, in the order of the query.
    closed_count : int
        Number of servers that the instance can't reach.
    """

    states: list[PathState]
    closed_count: int = 0


class OutcomeKind(enum.Enum):
    """Kind of the final response to a forwarded request.

    ANSWERED: it is a server's. REFUSED: no server ran the request. FAILED:
    a server may have run it.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


class ForwardedOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a forwarded request, beside its response.

    Parameters
    ----------
    kind : OutcomeKind
        Kind of the response.
    reason : str
        Reason of a refusal or failure.
    retry_after_ms : int
        Delay after which the caller should retry; 0 if none is stated.
    sent_count : int
        Number of times that the request was sent to a server.
    is_transferable : bool
        Whether another instance may be able to send the request.
    server : Incarnation or None
        Server that answered successfully.
    """

    kind: OutcomeKind
    reason: str = ""
    retry_after_ms: int = 0
    sent_count: int = 0
    is_transferable: bool = False
    server: limits.Incarnation | None = None


_call_decoder = msgspec.json.Decoder(ForwardedRequest | PathQuery)
_outcome_decoder = msgspec.json.Decoder(ForwardedOutcome)


def _encode(message: msgspec.Struct) -> str:
    # Names may hold characters that a header field can't.
    return base64.b64encode(msgspec.json.encode(message)).decode("ascii")


def add_call(
    fields: http1.FieldList, call: ForwardedRequest | PathQuery
) -> http1.FieldList:
    """Return the header fields of a call, with those of the caller."""
    return _replace_field(fields, CALL_FIELD, call)


def add_outcome(
    fields: http1.FieldList, outcome: ForwardedOutcome
) -> http1.FieldList:
    """Return the header fields of a response, with those of the server."""
    return _replace_field(fields, OUTCOME_FIELD, outcome)


def _replace_field(
    fields: http1.FieldList, name: str, message: msgspec.Struct
) -> http1.FieldList:
    # A caller or a server may use the name, too.
    _, others = _take_field(fields, name)
    return [*others, (name, _encode(message))]


def read_call(
    request: http1.HttpRequest,
) -> tuple[ForwardedRequest | PathQuery, http1.HttpRequest]:
    """Return a call and the caller's request without it.

    Raises
    ------
    CodecError
        If the field is missing or invalid.
    """
    value, fields = _take_field(request.fields, CALL_FIELD)
    call = _decode(_call_decoder, value)
    return call, http1.HttpRequest(
        method=request.method,
        target=request.target,
        fields=fields,
        body=request.body,
        usage=request.usage,
    )


def read_outcome(
    response: http1.HttpResponse,
) -> tuple[ForwardedOutcome, http1.HttpResponse]:
    """Return an outcome and the response without it.

    Raises
    ------
    CodecError
        If the field is missing or invalid.
    """
    value, fields = _take_field(response.fields, OUTCOME_FIELD)
    outcome = _decode(_outcome_decoder, value)
    return outcome, http1.HttpResponse(
        status=response.status, fields=fields, body=response.body
    )


def _take_field(
    fields: http1.FieldList, wanted: str
) -> tuple[str, http1.FieldList]:
    """Return the value of a field, or an empty one, and the other fields."""
    value = "".join(v for name, v in fields if name == wanted)
    return value, [(n, v) for n, v in fields if n != wanted]


def _decode(decoder: msgspec.json.Decoder, value: str) -> msgspec.Struct:
    try:
        return decoder.decode(base64.b64decode(value, validate=True))
    except base.DECODE_ERRORS as error:
        raise base.CodecError(
            problem=f"a message of an instance cannot be decoded: {error}",
            remedy="run the same version of the program on all instances",
        ) from error
