"""Time for which servers that leave still get requests for their keys.

A server leaves if its entry says that it drains, or one of its responses says
that it leaves. The load pattern: its keys move within a second, but an
instance that has lost the coordinator, or a move that waits for the store,
would go on sending keyed requests to it.
"""

from collections.abc import Iterable

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge import limits

#: Longest time for which an owner that says in a response that it leaves still
#: gets requests for its keys, which move meanwhile. The users' rule allows
#: 2.5 s from the response to the arrival.
OWNER_GRACE_MS = 2_000

#: Part of the bound of a drain that is left for the news to reach this
#: instance, and for a request to reach the server.
DRAIN_RESERVE_MS = 1_000

#: Largest number of leaving servers that are remembered.
MAX_LEAVING = 4_096


class LeavingServers:
    """Marks servers as draining as soon as one of their responses says so.

    Parameters
    ----------
    view : View
        Entries of the servers.
    drain_ms : int
        Time from the start of a drain, as the store acknowledged it, after
        which the server must get no requests.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        view: catalog.View,
        drain_ms: int,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._view = view
        self._drain_grace_ms = max(0, drain_ms - DRAIN_RESERVE_MS)
        self._log = log
        self._clock = clock
        self._since: dict[limits.Incarnation, int] = {}
        self._draining_since: dict[limits.Incarnation, int] = {}
        self._seen_entries: dict[base.ServerId, catalog.ServerEntry] = {}
        self._unreported: set[limits.Incarnation] = set()
        self._record_drains()
        view.changes.subscribe(lambda _: self._record_drains())

    def _record_drains(self) -> None:
        """Record since when this instance knows of each drain."""
        entries = self._view.servers
        if entries is self._seen_entries:
            return
        self._seen_entries = entries
        draining = self._draining_since
        for entry in entries.values():
            incarnation = entry.server, entry.born_ms
            if entry.state is not catalog.ServerState.DRAINING:
                draining.pop(incarnation, None)
            elif incarnation not in draining:
                draining[incarnation] = self._clock.now()
                if len(draining) > MAX_LEAVING:
                    del draining[next(iter(draining))]

    def record_response(self, incarnation: limits.Incarnation) -> None:
        """Record that a response of a server says that it leaves."""
        if incarnation in self._since:
            return
        self._since[incarnation] = self._clock.now()
        if len(self._since) > MAX_LEAVING:
            oldest = next(iter(self._since))
            del self._since[oldest]
            self._unreported.discard(oldest)
        self._unreported.add(incarnation)
        self._log.write(
            events.ServerAvoided(
                server=incarnation[0], reason="leaving", for_ms=0
            )
        )
        self._view.mark_draining(incarnation)

    def is_over(self, incarnation: limits.Incarnation) -> bool:
        """Return whether a server gets no requests for its keys either."""
        now = self._clock.now()
        ends = []
        if incarnation in self._since:
            ends.append(self._since[incarnation] + OWNER_GRACE_MS)
        if incarnation in self._draining_since:
            drains_since = self._draining_since[incarnation]
            ends.append(drains_since + self._drain_grace_ms)
        return bool(ends) and now >= min(ends)

    def take_unreported(self) -> list[limits.Incarnation]:
        """Return the servers that were recorded since the last call."""
        unreported, self._unreported = self._unreported, set()
        return sorted(unreported)

    def report_again(self) -> None:
        """Report all servers once more that are still listed."""
        self._unreported = {
            (server, born_ms)
            for server, born_ms in self._since
            if (entry := self._view.servers.get(server)) is not None
            and entry.born_ms == born_ms
        }

    def apply(self, incarnations: Iterable[limits.Incarnation]) -> None:
        """Mark servers as draining that leave, as other instances report."""
        for incarnation in incarnations:
            self._view.mark_draining(incarnation)
