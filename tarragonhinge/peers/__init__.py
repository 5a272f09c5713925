"""Messages between instances and the transport that carries them."""

from tarragonhinge.peers._message import decode_message
from tarragonhinge.peers._message import encode_message
from tarragonhinge.peers._message import get_kind
from tarragonhinge.peers._message import register_message
from tarragonhinge.peers._transport import FailureReason
from tarragonhinge.peers._transport import PeerFailure
from tarragonhinge.peers._transport import PeerTransport
from tarragonhinge.peers._transport import SILENCE_MS
from tarragonhinge.peers._zmq import ZmqTransport

__all__ = [
    "FailureReason",
    "PeerFailure",
    "PeerTransport",
    "SILENCE_MS",
    "ZmqTransport",
    "decode_message",
    "encode_message",
    "get_kind",
    "register_message",
]
