"""Interface of a client of one backend server."""

import abc

from tarragonhinge import base
from tarragonhinge.servers import _messages


class ServerClient(abc.ABC):
    """Sends grants and requests to one backend server."""

    @abc.abstractmethod
    async def send_grants(
        self, request: _messages.GrantRequest, *, timeout_ms: int
    ) -> _messages.GrantReply | None:
        """Send a batched heartbeat.

        Returns
        -------
        GrantReply or None
            The reply, or None if no valid reply was received.
        """

    @abc.abstractmethod
    async def dispatch(
        self, request: _messages.ServerRequest, *, timeout_ms: int
    ) -> base.Outcome:
        """Send a request and return its outcome."""

    async def close(self) -> None:  # noqa: B027
        """Close all connections."""
