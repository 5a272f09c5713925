"""Messages between instances and their transport."""

from tarragonhinge.peers._keys import format_keys
from tarragonhinge.peers._keys import KeyFileError
from tarragonhinge.peers._keys import KeyPair
from tarragonhinge.peers._keys import load_keys
from tarragonhinge.peers._keys import make_key_pair
from tarragonhinge.peers._keys import PeerKeys
from tarragonhinge.peers._message import decode_message
from tarragonhinge.peers._message import encode_message
from tarragonhinge.peers._message import get_kind
from tarragonhinge.peers._message import register_message
from tarragonhinge.peers._transport import FailureReason
from tarragonhinge.peers._transport import PeerFailure
from tarragonhinge.peers._transport import PeerTransport
from tarragonhinge.peers._transport import SILENCE_TIMEOUT_MS
from tarragonhinge.peers._zmq import ZmqTransport

__all__ = [
    "FailureReason",
    "KeyFileError",
    "KeyPair",
    "PeerFailure",
    "PeerKeys",
    "PeerTransport",
    "SILENCE_TIMEOUT_MS",
    "ZmqTransport",
    "decode_message",
    "encode_message",
    "format_keys",
    "get_kind",
    "load_keys",
    "make_key_pair",
    "register_message",
]
