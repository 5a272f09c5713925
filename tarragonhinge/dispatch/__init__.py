"""The leader's side of a request: at most once, in order, within limits."""

from tarragonhinge.dispatch._dispatcher import Dispatcher
from tarragonhinge.dispatch._history import read_minted_ms
from tarragonhinge.dispatch._history import RequestHistory
from tarragonhinge.dispatch._messages import decode_outcome
from tarragonhinge.dispatch._messages import encode_outcome
from tarragonhinge.dispatch._messages import ForwardAnswered
from tarragonhinge.dispatch._messages import ForwardNotRun
from tarragonhinge.dispatch._messages import ForwardReply
from tarragonhinge.dispatch._messages import ForwardRequest
from tarragonhinge.dispatch._messages import ForwardUnknown

__all__ = [
    "Dispatcher",
    "ForwardAnswered",
    "ForwardNotRun",
    "ForwardReply",
    "ForwardRequest",
    "ForwardUnknown",
    "RequestHistory",
    "decode_outcome",
    "encode_outcome",
    "read_minted_ms",
]
