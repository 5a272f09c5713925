"""Current routes, servers and owners of keys at an instance."""

from collections.abc import Iterable

import msgspec
import reactivex
from reactivex import subject

from tarragonhinge import base
from tarragonhinge.catalog import _owner_map
from tarragonhinge.catalog import _routing_table
from tarragonhinge.catalog import _server


#: Number of incarnations of servers whose leaving is remembered.
MAX_LEFT_SERVERS = 4_096

#: Server, start time and address, which identify an incarnation.
_Incarnation = tuple[base.ServerId, int, base.Address]


class View:
    """Latest routing table, servers and owner maps received.

    The routing table is never replaced by an older version. A server that
    drains never becomes ready again, whatever an older copy of its entry
    says; a restart has another start time.

    Attributes
    ----------
    table : RoutingTable or None
        Routing table in force, or None before the first one.
    servers : dict
        Entries of backend servers, by server id.
    owners : dict
        Owner maps, by service.
    evacuated_zones : frozenset of ZoneName
        Availability zones whose servers are to get no requests.
    knows_evacuations : bool
        Whether the set was received, even if it is empty.
    """

    def __init__(self) -> None:
        self.table: _routing_table.RoutingTable | None = None
        self.servers: dict[base.ServerId, _server.ServerEntry] = {}
        self.owners: dict[base.ServiceName, _owner_map.OwnerMap] = {}
        self.evacuated_zones: frozenset[base.ZoneName] = frozenset()
        self.knows_evacuations = False
        # Whether the server drained before it left; the oldest come first.
        self._left: dict[_Incarnation, bool] = {}
        self._changes: subject.Subject[None] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[None]:
        """Observable that emits None after each change."""
        return self._changes

    def set_table(self, table: _routing_table.RoutingTable) -> bool:
        """Set the routing table; return False if it is not newer."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._changes.on_next(None)
        return True

    def set_servers(
        self, entries: dict[base.ServerId, _server.ServerEntry]
    ) -> None:
        """Replace the entries of all servers."""
        previous = self.servers
        self.servers = {
            server: self._keep_draining(entry, previous.get(server))
            for server, entry in entries.items()
        }
        for entry in self.servers.values():
            self._left.pop(_identify(entry), None)
        for server, entry in previous.items():
            if not entry.is_same_incarnation(self.servers.get(server)):
                self._record_left(entry)
        self._changes.on_next(None)

    def mark_draining(self, incarnation: tuple[base.ServerId, int]) -> None:
        """Let a server drain that says so itself.

        Parameters
        ----------
        incarnation : tuple of ServerId and int
            The server and its start time; another incarnation is not marked.
        """
        server, born_ms = incarnation
        entry = self.servers.get(server)
        if (
            entry is not None
            and entry.born_ms == born_ms
            and entry.state is _server.ServerState.READY
        ):
            draining = msgspec.structs.replace(
                entry, state=_server.ServerState.DRAINING
            )
            self.set_servers({**self.servers, server: draining})

    def set_evacuated_zones(self, zones: Iterable[base.ZoneName]) -> bool:
        """Replace the zones whose servers are to get no requests.

        Returns
        -------
        bool
            Whether the set has changed.
        """
        evacuated = frozenset(zones)
        has_changed = evacuated != self.evacuated_zones
        if has_changed or not self.knows_evacuations:
            self.evacuated_zones = evacuated
            self.knows_evacuations = True
            self._changes.on_next(None)
        return has_changed

    def has_left(self, entry: _server.ServerEntry) -> bool:
        """Return whether an incarnation was listed before but is not now."""
        return _identify(entry) in self._left

    def _keep_draining(
        self, entry: _server.ServerEntry, previous: _server.ServerEntry | None
    ) -> _server.ServerEntry:
        drained = self._left.get(_identify(entry), False)
        if entry.is_same_incarnation(previous):
            drained = previous.state is _server.ServerState.DRAINING
        if drained and entry.born_ms:
            return msgspec.structs.replace(
                entry, state=_server.ServerState.DRAINING
            )
        return entry

    def _record_left(self, entry: _server.ServerEntry) -> None:
        incarnation = _identify(entry)
        self._left.pop(incarnation, None)
        self._left[incarnation] = entry.state is _server.ServerState.DRAINING
        if len(self._left) > MAX_LEFT_SERVERS:
            del self._left[next(iter(self._left))]

    def set_owners(
        self, service: base.ServiceName, owners: _owner_map.OwnerMap
    ) -> None:
        """Replace the owner map of a service."""
        self.owners[service] = owners
        self._changes.on_next(None)

    def list_servers(
        self, service: base.ServiceName
    ) -> list[_server.ServerEntry]:
        """Return the servers of a service that accept new requests."""
        return [
            entry
            for entry in self.servers.values()
            if entry.service == service
            and entry.state is _server.ServerState.READY
        ]

    def is_complete(self) -> bool:
        """Return whether requests to all services can be routed.

        This requires a routing table, at least one server, and an owner map
        for each keyed service that has ready servers.
        """
        if self.table is None or not self.servers:
            return False
        return all(self._has_owners(name) for name in self.table.list_keyed())

    def _has_owners(self, service: base.ServiceName) -> bool:
        owners = self.owners.get(service)
        if owners is not None and owners.segments:
            return True
        return not self.list_servers(service)


def _identify(entry: _server.ServerEntry) -> _Incarnation:
    return entry.server, entry.born_ms, entry.address


def index_servers(
    entries: Iterable[_server.ServerEntry],
) -> dict[base.ServerId, _server.ServerEntry]:
    """Return a mapping from server ids to entries."""
    return {entry.server: entry for entry in entries}
