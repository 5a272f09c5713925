"""Versions of the operators' table that may still be in force."""

from collections.abc import Callable
from typing import TypeVar

from tarragonhinge import base
from tarragonhinge import configuration

#: Maximum time until an accepted version is in force at every instance that
#: may dispatch requests.
IN_FORCE_LIMIT_MS = 10_000

T = TypeVar("T", int, float)


class RecentTables:
    """Table versions that determine the shares of limits.

    Shares decrease immediately and increase later.  While a new version is
    being propagated, some leaders still use the shares of a previous one.
    If each leader uses the minimum of its shares over all versions that may
    still be in force at any instance, the sum of the shares stays within
    the lower of the limits.  A superseded version is dropped
    `IN_FORCE_LIMIT_MS` after its successor arrived at this instance, since
    the successor is in force at every instance by then.

    Parameters
    ----------
    view : TableView
        Versions as they take effect at this instance.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self, *, view: configuration.TableView, clock: base.Clock
    ) -> None:
        self._clock = clock
        self._revision = 0
        self._current = view.current
        self._listeners: list[Callable[[], None]] = []
        self._superseded: list[tuple[int, configuration.OperatorsTable]] = []
        view.changes.subscribe(self._add)

    def _add(self, table: configuration.OperatorsTable) -> None:
        if table.version == self._current.version:
            return
        if self._current.version:
            self._superseded.append((self._clock.now(), self._current))
        self._current = table
        self._revision += 1
        for listener in self._listeners:
            listener()

    @property
    def current(self) -> configuration.OperatorsTable:
        """Version in force at this instance."""
        return self._current

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each new version."""
        self._listeners.append(listener)

    def get_revision(self) -> int:
        """Return a number that changes with the set of recent versions."""
        oldest = self._clock.now() - IN_FORCE_LIMIT_MS
        while self._superseded and self._superseded[0][0] <= oldest:
            del self._superseded[0]
            self._revision += 1
        return self._revision

    def find_least(
        self, compute: Callable[[configuration.OperatorsTable], T | None]
    ) -> T | None:
        """Return the minimum over all versions that may be in force.

        Versions for which `compute` returns None are ignored.
        """
        self.get_revision()
        tables = [table for _, table in self._superseded]
        values = [compute(table) for table in [*tables, self._current]]
        return min(
            (value for value in values if value is not None), default=None
        )
