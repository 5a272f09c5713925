"""Catalog entries of backend servers."""

import enum

import msgspec

from tarragonhinge import base


class ServerState(enum.Enum):
    """Whether a server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class ServerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of a backend server.

    Parameters
    ----------
    server : ServerId
        Id of the server.
    service : ServiceName
        Service that the server belongs to.
    address : Address
        Address that the server listens on.
    zone : ZoneName
        Availability zone of the server.
    slots : int
        Number of requests that the server runs concurrently.
    state : ServerState
        Whether the server accepts new requests.
    born_ms : int
        Wall-clock time of the server's start in milliseconds, which
        identifies its incarnation; 0 if unknown.
    cold_ms : int
        Remaining warm-up time in milliseconds when the entry was written.
    version : str or UnsetType
        Version of its software; unset if unknown.
    """

    server: base.ServerId
    service: base.ServiceName
    address: base.Address
    zone: base.ZoneName
    slots: int
    state: ServerState = ServerState.READY
    born_ms: int = 0
    cold_ms: int = 0
    version: str | msgspec.UnsetType = msgspec.UNSET

    def differs_only_by_warm_up(self, previous: "ServerEntry | None") -> bool:
        """Return whether only the warm-up time decreased, but has not ended.

        Parameters
        ----------
        previous : ServerEntry or None
            Previous entry of the server, if there was one.
        """
        return (
            previous is not None
            and 0 < self.cold_ms < previous.cold_ms
            and msgspec.structs.replace(self, cold_ms=previous.cold_ms)
            == previous
        )

    def is_same_incarnation(self, other: "ServerEntry | None") -> bool:
        """Return whether both entries describe the same incarnation."""
        return (
            other is not None
            and self.server == other.server
            and self.born_ms == other.born_ms
            and self.address == other.address
        )
