"""Versions of the operators' table that may still bind somewhere."""

from collections.abc import Callable
from typing import TypeVar

from tarragonhinge import base
from tarragonhinge import configuration

#: Bound on the time until an accepted version is in force on every
#: instance that may dispatch.
IN_FORCE_LIMIT_MS = 10_000

T = TypeVar("T", int, float)


class RecentTables:
    """Lowers shares at once and raises them late.

    While a version spreads, some leaders use the shares of the former
    one.  If each uses the least of its shares in all versions that may
    bind somewhere, the sum stays within the lower of the limits: a
    former version stops to bind `IN_FORCE_LIMIT_MS` after its successor
    arrived here, when the successor is in force everywhere.

    Parameters
    ----------
    view : TableView
        Versions as they come in force here.
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
        self._former: list[tuple[int, configuration.OperatorsTable]] = []
        view.changes.subscribe(self._add)

    def _add(self, table: configuration.OperatorsTable) -> None:
        if table.version == self._current.version:
            return
        if self._current.version:
            self._former.append((self._clock.now(), self._current))
        self._current = table
        self._revision += 1
        for listener in self._listeners:
            listener()

    @property
    def current(self) -> configuration.OperatorsTable:
        """Return the version in force here."""
        return self._current

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each new version."""
        self._listeners.append(listener)

    def get_revision(self) -> int:
        """Return a number that changes whenever the versions do."""
        oldest = self._clock.now() - IN_FORCE_LIMIT_MS
        while self._former and self._former[0][0] <= oldest:
            del self._former[0]
            self._revision += 1
        return self._revision

    def find_least(
        self, compute: Callable[[configuration.OperatorsTable], T | None]
    ) -> T | None:
        """Return the least value over all versions that may bind.

        Versions for which `compute` returns None do not count.
        """
        self.get_revision()
        tables = [table for _, table in self._former]
        values = [compute(table) for table in [*tables, self._current]]
        return min((v for v in values if v is not None), default=None)
