"""Interface of the transport between instances."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

import msgspec

from tarragonhinge import base


#: Silence of a peer that owes a reply, after which it counts as lost.
SILENCE_TIMEOUT_MS = 500


class FailureReason(enum.Enum):
    """Why a call to a peer gave no reply."""

    NOT_SENT = "not_sent"
    LOST = "lost"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerFailure:
    """A call to a peer that gave no reply.

    Parameters
    ----------
    reason : FailureReason
        NOT_SENT and REFUSED prove that the peer did not act; the others
        leave it open.  LOST tells that the peer or the way to it is
        gone, so that no reply will come.
    """

    reason: FailureReason


Handler = Callable[[msgspec.Struct], Awaitable[msgspec.Struct]]


class PeerTransport(abc.ABC):
    """Request and reply between instances.

    Parameters
    ----------
    address : Address
        Where this instance listens for its peers.
    """

    def __init__(self, *, address: base.Address) -> None:
        self.address = address
        self._handlers: dict[type[msgspec.Struct], Handler] = {}

    def handle(
        self, message_type: type[msgspec.Struct], handler: Handler
    ) -> None:
        """Answer messages of a type by a coroutine function."""
        self._handlers[message_type] = handler

    @abc.abstractmethod
    async def start(self) -> None:
        """Listen for peers."""

    @abc.abstractmethod
    async def call(
        self,
        address: base.Address,
        message: msgspec.Struct,
        *,
        timeout_ms: int,
    ) -> msgspec.Struct | PeerFailure:
        """Send a message and return the peer's reply."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close all connections."""
