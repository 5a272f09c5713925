"""Grants of key ranges, and the interface that delivers them."""

import abc
import dataclasses
import enum
from typing import NewType

from tarragonhinge import base

#: Longest wait for the answer to a grant.
TIMEOUT_MS = 700

#: Number of a connection to a holder; each new connection has another.
ConnectionId = NewType("ConnectionId", int)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Keys that a server holds for a time from the grant's arrival.

    Parameters
    ----------
    first, last : int
        The keys, both inclusive.
    fence : int
        Fencing token; a server refuses a lower one than it has seen.
    hold_ms : int
        How long the keys are held.
    handover : str
        What the last holder gave with its release, or empty.
    """

    first: int
    last: int
    fence: int
    hold_ms: int
    handover: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Keys that a server stops to hold.

    Parameters
    ----------
    first, last : int
        The keys, both inclusive.
    fence : int
        Fencing token above that of the grant, so that the server refuses
        a renewal that arrives later.
    """

    first: int
    last: int
    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """Where orders to a server go.

    Parameters
    ----------
    server : ServerId
        Its id.
    address : Address
        Where it listens.
    """

    server: base.ServerId
    address: base.Address


class GrantResult(enum.Enum):
    """How a grant ended."""

    HELD = "held"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantReply:
    """How a grant ended, and over which connection.

    Parameters
    ----------
    result : GrantResult
        How it ended.
    connection_id : ConnectionId or None
        The connection that is kept, None if there is none.
    """

    result: GrantResult
    connection_id: ConnectionId | None = None


class GrantClient(abc.ABC):
    """Delivers grants and releases to servers."""

    @abc.abstractmethod
    def is_connected(
        self, holder: Holder, connection_id: ConnectionId
    ) -> bool:
        """Return whether a connection is still the one to a holder.

        A connection ends with the process that it leads to.  So while
        it is kept, no other server and no other incarnation can take
        the holder's place unnoticed.
        """

    @abc.abstractmethod
    async def grant(
        self,
        holder: Holder,
        grant: Grant,
        *,
        connection_id: ConnectionId | None,
    ) -> GrantReply:
        """Grant a range, or renew it.

        Parameters
        ----------
        holder : Holder
            The server.
        grant : Grant
            What it is granted.
        connection_id : ConnectionId or None
            The only connection over which the grant may be sent; None
            for a grant whose fencing token no server has seen.
        """

    @abc.abstractmethod
    async def release(
        self, holder: Holder, release: Release, *, timeout_ms: int
    ) -> str | None:
        """Take a range back.

        Returns
        -------
        str or None
            The handover for the next holder, which may be empty, once
            the work on the keys has ended; None without an answer.
        """

    async def close(self) -> None:  # noqa: B027
        """Release connections."""
