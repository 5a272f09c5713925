"""Current routes, servers and owners of keys at an instance."""

from collections.abc import Iterable

import reactivex
from reactivex import subject

from tarragonhinge import base
from tarragonhinge.catalog import _owner_map
from tarragonhinge.catalog import _routing_table
from tarragonhinge.catalog import _server


class View:
    """Latest routing table, servers and owner maps received.

    The routing table is never replaced by an older version.

    Attributes
    ----------
    table : RoutingTable or None
        Routing table in force, or None before the first one.
    servers : dict
        Entries of backend servers, by server id.
    owners : dict
        Owner maps, by service.
    """

    def __init__(self) -> None:
        self.table: _routing_table.RoutingTable | None = None
        self.servers: dict[base.ServerId, _server.ServerEntry] = {}
        self.owners: dict[base.ServiceName, _owner_map.OwnerMap] = {}
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
        self.servers = dict(entries)
        self._changes.on_next(None)

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


def index_servers(
    entries: Iterable[_server.ServerEntry],
) -> dict[base.ServerId, _server.ServerEntry]:
    """Return a mapping from server ids to entries."""
    return {entry.server: entry for entry in entries}
