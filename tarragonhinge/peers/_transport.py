"""Interface of the transport between instances."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

import msgspec

from tarragonhinge import base


#: Time without a message from a peer after which its pending calls fail as
#: lost.
SILENCE_TIMEOUT_MS = 500


class FailureReason(enum.Enum):
    """Reason why a call to a peer got no reply."""

    NOT_SENT = "not_sent"
    LOST = "lost"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerFailure:
    """Result of a call to a peer that got no reply.

    Parameters
    ----------
    reason : FailureReason
        NOT_SENT and REFUSED guarantee that the peer did not handle the
        call; with the other reasons it may have.  LOST means that the
        peer has stopped or the connection to it has failed, so no reply
        will arrive.
    """

    reason: FailureReason


Handler = Callable[[msgspec.Struct], Awaitable[msgspec.Struct]]


class PeerTransport(abc.ABC):
    """Transport for requests and replies between instances.

    Parameters
    ----------
    address : Address
        Address on which this instance listens for its peers.
    """

    def __init__(self, *, address: base.Address) -> None:
        self.address = address
        self._handlers: dict[type[msgspec.Struct], Handler] = {}

    def handle(
        self, message_type: type[msgspec.Struct], handler: Handler
    ) -> None:
        """Register the coroutine function that handles a message type."""
        self._handlers[message_type] = handler

    @abc.abstractmethod
    async def start(self) -> None:
        """Start to listen for peers."""

    @abc.abstractmethod
    async def call(
        self,
        address: base.Address,
        message: msgspec.Struct,
        *,
        timeout_ms: int,
    ) -> msgspec.Struct | PeerFailure:
        """Send a message and return the reply, or why there is none."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close all connections."""
