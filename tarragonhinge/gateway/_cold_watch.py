"""Evidence that servers are cold, as this instance finds it.

A server that starts again at its former address is cold long before its new
entry is seen, and accepts requests meanwhile. Requests of all instances that
have been refused or broken off would then reach it together.
"""

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import limits

#: Number of servers, as a fraction of all and at least, that may be out of
#: reach of this instance without being taken for a fault of its own links. A
#: zone that is cut off holds a sixth of them.
OWN_FAULT_FRACTION = 0.1
OWN_FAULT_SERVERS = 2

#: Longest time from the end of a server's process until another instance's
#: report of it arrives: a probe, two batches of reports and two regions.
REPORT_DELAY_MS = 1_000

#: Whether cold servers are recognized. A trial without this limit sets it to
#: False in a copy.
IS_ENABLED = True

_Source = limits.ColdSource


class ColdWatch:
    """Records which servers are cold.

    Parameters
    ----------
    view : View
        Entries of the servers, and evacuated zones.
    links : ServerLinks
        Connections to the servers.
    cold : ColdServers
        Servers that are cold.
    """

    def __init__(
        self,
        *,
        view: catalog.View,
        links: balancing.ServerLinks,
        cold: limits.ColdServers,
    ) -> None:
        self._view = view
        self._links = links
        self._cold = cold
        self._seen: dict[base.ServerId, catalog.ServerEntry] = {}
        self._evacuated: frozenset[base.ZoneName] = frozenset()
        # Servers of zones that were taken back, which may be warm.
        self._returned: list[catalog.ServerEntry] = []
        if IS_ENABLED:
            view.changes.subscribe(self._handle_change)

    def find_limited_service(
        self, entry: catalog.ServerEntry
    ) -> catalog.Service | None:
        """Return the service of a server if it limits cold servers."""
        table = self._view.table
        service = table.find_service(entry.service) if table else None
        if not IS_ENABLED or service is None or service.cold_rate <= 0:
            return None
        return service

    def take_returned(self) -> list[catalog.ServerEntry]:
        """Return the servers of zones taken back since the last call."""
        returned, self._returned = self._returned, []
        return returned

    def shorten(self, entry: catalog.ServerEntry, left_ms: int) -> None:
        """Record that a server states a shorter warm-up than is known."""
        known_ms = self._cold.get_left_ms((entry.server, entry.born_ms))
        if left_ms < known_ms:
            self._record(entry, left_ms, _Source.HEALTH)

    def record_refusing(
        self, link: balancing.ServerLink, *, closed_count: int
    ) -> None:
        """Record that a server refuses connections, or no longer does.

        Whatever accepts them next has just started, unless this instance is
        cut off. The others are told at once, so that they know of it when
        the server accepts connections.

        Parameters
        ----------
        link : ServerLink
            Link to the server.
        closed_count : int
            Number of servers out of reach of this instance.
        """
        self._record_path(
            link, is_reported=not self._is_own_fault(closed_count)
        )

    def check_connections(self, link: balancing.ServerLink) -> None:
        """Record whether all connections to a server have ended at once.

        A server may reset a single one for another reason, so that other
        instances are told of several only.
        """
        if self.find_limited_service(link.entry) is None:
            return
        lost_count = link.pool.take_lost()
        if lost_count:
            self._record_path(link, is_reported=lost_count > 1)

    def is_contradicted(self, report: limits.ColdServer) -> bool:
        """Return whether a server has run on, whatever another one reports.

        A connection that was open before the report has outlived the end of
        the server's process that the other instance assumes.
        """
        if report.source is not _Source.PATH:
            return False
        link = self._links.find(report.server)
        return (
            link is not None
            and link.entry.born_ms == report.born_ms
            and not link.path.is_closed
            and link.pool.has_outlasted(REPORT_DELAY_MS)
        )

    def _record_path(
        self, link: balancing.ServerLink, *, is_reported: bool
    ) -> None:
        service = self.find_limited_service(link.entry)
        if service is not None:
            self._record(
                link.entry,
                service.warm_up_ms,
                _Source.PATH,
                is_reported=is_reported,
            )

    def _is_own_fault(self, closed_count: int) -> bool:
        return closed_count > max(
            OWN_FAULT_SERVERS, OWN_FAULT_FRACTION * len(self._view.servers)
        )

    def _record(
        self,
        entry: catalog.ServerEntry,
        left_ms: int,
        source: limits.ColdSource,
        *,
        is_reported: bool = True,
    ) -> None:
        service = self.find_limited_service(entry)
        if service is not None:
            self._cold.record(
                (entry.server, entry.born_ms),
                left_ms=left_ms,
                rate=service.cold_rate,
                source=source,
                is_reported=is_reported,
            )

    def _handle_change(self, _: None) -> None:
        table = self._view.table
        if table is None or not any(s.cold_rate > 0 for s in table.services):
            return
        for server, entry in self._view.servers.items():
            seen = self._seen.get(server)
            if seen is entry:
                continue
            known_ms = 0
            if entry.is_same_incarnation(seen):
                known_ms = seen.cold_ms
            if entry.cold_ms != known_ms:
                self._record(entry, entry.cold_ms, _Source.ENTRY)
        self._seen = dict(self._view.servers)
        returned = self._evacuated - self._view.evacuated_zones
        self._evacuated = self._view.evacuated_zones
        for entry in self._view.servers.values():
            if entry.zone in returned:
                service = self.find_limited_service(entry)
                if service is not None:
                    self._record(entry, service.warm_up_ms, _Source.EVACUATION)
                    self._returned.append(entry)
