"""Second way to a backend server, by way of another instance."""

from tarragonhinge.forwarding._client import ForwardingClient
from tarragonhinge.forwarding._client import PeerError
from tarragonhinge.forwarding._directory import PeerDirectory
from tarragonhinge.forwarding._directory import PeerInstance
from tarragonhinge.forwarding._messages import add_call
from tarragonhinge.forwarding._messages import add_outcome
from tarragonhinge.forwarding._messages import ForwardedOutcome
from tarragonhinge.forwarding._messages import ForwardedRequest
from tarragonhinge.forwarding._messages import OutcomeKind
from tarragonhinge.forwarding._messages import PathQuery
from tarragonhinge.forwarding._messages import PathReport
from tarragonhinge.forwarding._messages import PathState
from tarragonhinge.forwarding._messages import read_call

__all__ = [
    "ForwardedOutcome",
    "ForwardedRequest",
    "ForwardingClient",
    "OutcomeKind",
    "PathQuery",
    "PathReport",
    "PathState",
    "PeerDirectory",
    "PeerError",
    "PeerInstance",
    "add_call",
    "add_outcome",
    "read_call",
]
