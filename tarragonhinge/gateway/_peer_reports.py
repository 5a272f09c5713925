"""Which servers other instances reach, as they report."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from tarragonhinge import base
from tarragonhinge import forwarding
from tarragonhinge import limits

#: Time for which a report is valid.
REPORT_VALID_MS = 2_000

_REACHABLE = forwarding.PathState.REACHABLE


class _Report:
    """What one instance has reported."""

    def __init__(self) -> None:
        self.states: dict[
            limits.Incarnation, tuple[int, forwarding.PathState]
        ] = {}
        self.closed_count = 0


class PeerReports:
    """Keeps the valid reports of other instances.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._reports: dict[base.InstanceId, _Report] = {}

    def record(
        self,
        instance: base.InstanceId,
        states: Mapping[limits.Incarnation, forwarding.PathState],
        *,
        closed_count: int | None = None,
    ) -> None:
        """Record a report.

        Parameters
        ----------
        instance : InstanceId
            The other instance.
        states : mapping
            States of its paths.
        closed_count : int or None
            Number of servers that it can't reach; None to keep the last one.
        """
        report = self._reports.setdefault(instance, _Report())
        now = self._clock.now()
        report.states = {
            server: (at, state)
            for server, (at, state) in report.states.items()
            if now - at < REPORT_VALID_MS
        }
        report.states.update(
            (server, (now, state)) for server, state in states.items()
        )
        if closed_count is not None:
            report.closed_count = closed_count

    def forget(self, instance: base.InstanceId) -> None:
        """Drop the reports of an instance that is silent."""
        self._reports.pop(instance, None)

    def get_closed_count(self, instance: base.InstanceId) -> int:
        """Return how many servers an instance can't reach."""
        return self._reports[instance].closed_count

    def _find(
        self, instance: base.InstanceId, server: limits.Incarnation
    ) -> forwarding.PathState | None:
        """Return the state of a path, if there is a valid report."""
        report = self._reports.get(instance)
        if report is None or server not in report.states:
            return None
        at, state = report.states[server]
        return state if self._clock.now() - at < REPORT_VALID_MS else None

    def reaches_any(
        self,
        instance: base.InstanceId,
        servers: Iterable[limits.Incarnation],
    ) -> bool:
        """Return whether an instance reports to reach any of the servers."""
        return any(
            self._find(instance, server) is _REACHABLE for server in servers
        )

    def may_reach(
        self,
        instance: base.InstanceId,
        servers: Collection[limits.Incarnation],
    ) -> bool:
        """Return whether an instance does not report to reach none."""
        return any(
            self._find(instance, server) in (None, _REACHABLE)
            for server in servers
        )
