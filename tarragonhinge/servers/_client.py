"""Interface of the connection to a backend server."""

import abc

from tarragonhinge import base
from tarragonhinge.servers import _messages


class ServerClient(abc.ABC):
    """Grants and requests to one backend server."""

    @abc.abstractmethod
    async def send_grants(
        self, request: _messages.GrantRequest, *, timeout_ms: int
    ) -> _messages.GrantReply | None:
        """Send a batched heartbeat; None if no answer came."""

    @abc.abstractmethod
    async def dispatch(
        self, request: _messages.ServerRequest, *, timeout_ms: int
    ) -> base.Outcome:
        """Send a request and return its tagged outcome."""

    async def close(self) -> None:  # noqa: B027
        """Release connections."""
