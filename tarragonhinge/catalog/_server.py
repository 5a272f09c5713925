"""What a backend server says of itself."""

import enum

import msgspec

from tarragonhinge import base


class ServerState(enum.Enum):
    """Whether a server takes new work."""

    READY = "ready"
    DRAINING = "draining"


class ServerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of a backend server.

    Parameters
    ----------
    server : ServerId
        Its id.
    service : ServiceName
        The service that it belongs to.
    address : Address
        Where it listens.
    zone : ZoneName
        Its availability zone.
    slots : int
        Requests that it runs at once.
    state : ServerState
        Whether it takes new work.
    born_ms : int
        Wall time of its start in milliseconds, which tells incarnations
        under one id apart; 0 if unknown.
    cold_ms : int
        How much longer it is slow after its start, when the entry was
        written.
    """

    server: base.ServerId
    service: base.ServiceName
    address: base.Address
    zone: base.ZoneName
    slots: int
    state: ServerState = ServerState.READY
    born_ms: int = 0
    cold_ms: int = 0

    def differs_only_by_warm_up(self, former: "ServerEntry | None") -> bool:
        """Return whether only the time to warm up has passed on."""
        return (
            former is not None
            and 0 < self.cold_ms < former.cold_ms
            and msgspec.structs.replace(self, cold_ms=former.cold_ms) == former
        )

    def is_same_incarnation(self, other: "ServerEntry | None") -> bool:
        """Return whether both entries are of one run of one server."""
        return (
            other is not None
            and self.server == other.server
            and self.born_ms == other.born_ms
            and self.address == other.address
        )
