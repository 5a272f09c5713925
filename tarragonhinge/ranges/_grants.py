"""Grants of key ranges and the interface that sends them to servers."""

import abc
import dataclasses
import enum
from typing import NewType

from tarragonhinge import base

#: Timeout of one call that sends a grant.
TIMEOUT_MS = 700

#: Longest wait for the connection to a holder while another grant uses it, as
#: part of that timeout.
CONNECTION_WAIT_MS = 350

#: Id of a connection to a lease holder; each new connection gets a new one.
ConnectionId = NewType("ConnectionId", int)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Time-limited lease of a key range, sent to one server.

    Parameters
    ----------
    first, last : int
        Bounds of the key range, both inclusive.
    fence : int
        Fencing token. A server refuses a grant whose token is lower than
        the highest one that it has received.
    hold_ms : int
        Duration of the lease, counted from the grant's arrival.
    handover : str
        Opaque token that the previous holder returned when it released the
        keys, or empty.
    """

    first: int
    last: int
    fence: int
    hold_ms: int
    handover: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Request to a server to give up a key range.

    Parameters
    ----------
    first, last : int
        Bounds of the key range, both inclusive.
    fence : int
        Fencing token higher than that of the grant, so that the server
        refuses a renewal that arrives after the release.
    """

    first: int
    last: int
    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """Destination of grants and releases.

    Parameters
    ----------
    server : ServerId
        Server that holds the lease.
    address : Address
        Address on which the server listens.
    """

    server: base.ServerId
    address: base.Address


class GrantResult(enum.Enum):
    """Outcome of a grant.

    HELD: the server accepted it. FENCED: the server refused it, since it
    has received a higher fencing token. UNKNOWN: there was no valid
    response, so the grant may or may not have been accepted.
    """

    HELD = "held"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantReply:
    """Outcome of a grant and the connection that it was sent over.

    Parameters
    ----------
    result : GrantResult
        Outcome of the grant.
    connection_id : ConnectionId or None
        Connection to the holder that stays open; None if it was closed.
    is_sent : bool
        Whether the grant may have been sent.
    """

    result: GrantResult
    connection_id: ConnectionId | None = None
    is_sent: bool = True


class GrantClient(abc.ABC):
    """Sends grants and releases to servers."""

    @abc.abstractmethod
    def is_connected(
        self, holder: Holder, connection_id: ConnectionId
    ) -> bool:
        """Return whether a connection to a holder is still open.

        A connection does not outlive the process at its other end.
        Therefore no other server or incarnation can have replaced the
        holder at its address while the connection is open.
        """

    @abc.abstractmethod
    async def grant(
        self,
        holder: Holder,
        grant: Grant,
        *,
        connection_id: ConnectionId | None,
    ) -> GrantReply:
        """Grant a key range or renew its grant.

        A connection is used by one grant at a time; one that would wait for
        it for longer than `CONNECTION_WAIT_MS` is not sent.

        Parameters
        ----------
        holder : Holder
            Server to send the grant to.
        grant : Grant
            Key range, fencing token and duration.
        connection_id : ConnectionId or None
            Only connection over which the grant may be sent. None allows
            a new connection, which is safe only if no server has received
            the fencing token.
        """

    @abc.abstractmethod
    async def release(
        self, holder: Holder, release: Release, *, timeout_ms: int
    ) -> str | None:
        """Ask a server to give up a key range.

        Returns
        -------
        str or None
            Handover token for the next holder, which may be empty. The
            server responds only after the running requests for the keys
            have ended. None if it did not respond in time.
        """

    async def close(self) -> None:  # noqa: B027
        """Close all connections."""
