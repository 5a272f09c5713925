"""Number of connections that all pools of a process may open together.

Handles this pattern: clients send many requests ahead, so that connections to
all servers are in use at once, until no descriptor is left for callers.
"""

import math
from typing import Protocol

#: Part of the connections that only control traffic may take.
RESERVE_FRACTION = 1 / 8


class _Pool(Protocol):
    """What the budget asks of a pool."""

    def drop_idle(self, connection: object) -> None:
        """Close an idle connection, which makes room for another pool."""


class ConnectionBudget:
    """Bounds the connections of several pools.

    A pool that needs a connection beyond the bound gets the place of the one
    that has been idle for the longest time, in whichever pool it is.

    Parameters
    ----------
    limit : float
        Largest number of open connections.

    Attributes
    ----------
    open_count : int
        Number of open connections, with those that are being opened.
    """

    def __init__(self, *, limit: float = math.inf) -> None:
        self._limit = limit
        # In the order in which they became idle.
        self._idle: dict[object, _Pool] = {}
        self.open_count = 0

    def take(self, *, uses_reserve: bool) -> bool:
        """Count a connection that is to be opened, unless there is no room.

        Parameters
        ----------
        uses_reserve : bool
            Whether it is for control traffic.
        """
        limit = self._limit
        if not uses_reserve:
            limit *= 1 - RESERVE_FRACTION
        if self.open_count + 1 > limit and self._idle:
            connection, pool = next(iter(self._idle.items()))
            pool.drop_idle(connection)
        if self.open_count + 1 > limit:
            return False
        self.open_count += 1
        return True

    def give_back(self, connection: object = None) -> None:
        """Stop to count a connection that is closed or was not opened."""
        self._idle.pop(connection, None)
        self.open_count -= 1

    def add_idle(self, connection: object, pool: _Pool) -> None:
        """Record that a connection is idle."""
        self._idle[connection] = pool

    def remove_idle(self, connection: object) -> None:
        """Record that an idle connection is in use again."""
        del self._idle[connection]
