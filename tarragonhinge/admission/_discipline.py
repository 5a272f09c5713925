"""Queueing disciplines for requests that wait for slots."""

import abc
import asyncio
import collections
import dataclasses

from tarragonhinge import base

#: Number of dequeues of which one serves a lower priority class while a
#: higher one waits.
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
        Resolved to None once a slot is granted, or to a refusal.
    """

    priority: int
    deadline_at: int
    granted: asyncio.Future


class Discipline(abc.ABC):
    """Queue of requests that wait for one server."""

    #: Whether requests that can't be answered in time are refused.
    refuses: bool

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting requests."""

    @abc.abstractmethod
    def push(self, waiter: Waiter) -> None:
        """Add a request."""

    @abc.abstractmethod
    def pop(self) -> Waiter:
        """Remove the request that is served next."""

    @abc.abstractmethod
    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""

    @abc.abstractmethod
    def count_ahead(self, priority: int) -> int:
        """Return the number of requests served before a new one."""

    def evict(self, priority: int) -> Waiter | None:
        """Remove a request of a lower class than `priority`, if possible."""
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
        self._served = 0

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
        """Remove the request that is served next."""
        top = min(self._classes)
        if len(self._classes) > 1:
            self._served += 1
            if self._served % LOWER_CLASS_PERIOD == 0:
                top = next(
                    w.priority for w in self._order if w.priority != top
                )
        waiter = self._classes[top][0]
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
        """Return how many requests go before a new one."""
        return sum(
            len(waiting)
            for number, waiting in self._classes.items()
            if number <= priority
        )

    def evict(self, priority: int) -> Waiter | None:
        """Remove the newest request of the lowest class, if it is lower."""
        lowest = max(self._classes, default=priority)
        if lowest <= priority:
            return None
        waiter = self._classes[lowest][-1]
        self.remove(waiter)
        return waiter


@DISCIPLINES.register("fifo")
class FifoDiscipline(Discipline):
    """First come first served, without refusals for the expected wait.

    Serves as a baseline.
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
        """Remove the request that is served next."""
        return self._waiting.popitem(last=False)[0]

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        del self._waiting[waiter]

    def count_ahead(self, priority: int) -> int:
        """Return how many requests go before a new one."""
        return len(self._waiting)
