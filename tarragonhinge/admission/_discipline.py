"""Queueing disciplines for requests that wait for slots."""

import abc
import asyncio
import collections
import dataclasses

from tarragonhinge import base

#: Number of dequeues of which one serves a lower priority class, while
#: requests of several classes wait.
LOWER_CLASS_PERIOD = 8


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    priority : int
        Priority class; lower numbers are served first.
    deadline_at : int
        Deadline of the request.
    granted : Future
        Resolved to None when a slot is granted, or to a refusal.
    """

    priority: int
    deadline_at: int
    granted: asyncio.Future


class Discipline(abc.ABC):
    """Queue of requests that wait for one server."""

    #: Whether requests that are not expected to finish before their deadline
    #: are refused.
    refuses: bool

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting requests."""

    @abc.abstractmethod
    def push(self, waiter: Waiter) -> None:
        """Add a request."""

    @abc.abstractmethod
    def pop(self) -> Waiter:
        """Remove and return the request that is served next."""

    @abc.abstractmethod
    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""

    @abc.abstractmethod
    def count_ahead(self, priority: int) -> int:
        """Return the number of requests served before a new one."""

    def evict(self, priority: int) -> Waiter | None:
        """Remove and return a request of a lower class than `priority`.

        Returns None if there is none.
        """
        return None


#: Disciplines by their name in the operators' table.
DISCIPLINES: base.Registry[Discipline] = base.Registry(kind="discipline")


@DISCIPLINES.register("priority")
class PriorityDiscipline(Discipline):
    """Priority classes without starvation, first come first served in each.

    While several classes wait, one dequeue in `LOWER_CLASS_PERIOD` serves
    the lower class whose first request has waited longest.
    """

    refuses = True

    def __init__(self) -> None:
        self._classes: dict[int, collections.deque[Waiter]] = {}
        self._order: collections.OrderedDict[Waiter, None] = (
            collections.OrderedDict()
        )
        self._contended_dequeues = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._order)

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        waiting = self._classes.setdefault(
            waiter.priority, collections.deque()
        )
        waiting.append(waiter)
        self._order[waiter] = None

    def pop(self) -> Waiter:
        """Remove and return the request that is served next."""
        served_class = min(self._classes)
        if len(self._classes) > 1:
            self._contended_dequeues += 1
            if self._contended_dequeues % LOWER_CLASS_PERIOD == 0:
                served_class = next(
                    w.priority
                    for w in self._order
                    if w.priority != served_class
                )
        waiter = self._classes[served_class][0]
        self.remove(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        waiting = self._classes[waiter.priority]
        waiting.remove(waiter)
        del self._order[waiter]
        if not waiting:
            del self._classes[waiter.priority]

    def count_ahead(self, priority: int) -> int:
        """Return the number of requests served before a new one."""
        return sum(
            len(waiting)
            for waiting_priority, waiting in self._classes.items()
            if waiting_priority <= priority
        )

    def evict(self, priority: int) -> Waiter | None:
        """Remove and return the newest request of the lowest class.

        Returns None if no class is lower than `priority`.
        """
        lowest = max(self._classes, default=priority)
        if lowest <= priority:
            return None
        waiter = self._classes[lowest][-1]
        self.remove(waiter)
        return waiter


@DISCIPLINES.register("fifo")
class FifoDiscipline(Discipline):
    """First come first served, without refusals because of deadlines.

    A baseline for comparisons.
    """

    refuses = False

    def __init__(self) -> None:
        self._waiting: collections.OrderedDict[Waiter, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiting[waiter] = None

    def pop(self) -> Waiter:
        """Remove and return the request that is served next."""
        return self._waiting.popitem(last=False)[0]

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        del self._waiting[waiter]

    def count_ahead(self, priority: int) -> int:
        """Return the number of requests served before a new one."""
        return len(self._waiting)
