"""Servers that say in their responses that they leave."""

from collections.abc import Iterable

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge import limits

#: Time for which a leaving owner still gets requests for its keys, which move
#: meanwhile. The users' rule allows 2.5 s from the response to the arrival.
OWNER_GRACE_MS = 2_000

#: Largest number of leaving servers that are remembered.
MAX_LEAVING = 4_096


class LeavingServers:
    """Marks servers as draining as soon as one of their responses says so.

    Parameters
    ----------
    view : View
        Entries of the servers.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self, *, view: catalog.View, log: events.EventLog, clock: base.Clock
    ) -> None:
        self._view = view
        self._log = log
        self._clock = clock
        self._since: dict[limits.Incarnation, int] = {}
        self._unreported: set[limits.Incarnation] = set()

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
        since = self._since.get(incarnation)
        return (
            since is not None and self._clock.now() - since >= OWNER_GRACE_MS
        )

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
