"""Order in which waiting requests get slots."""

import abc
import asyncio
import collections
import dataclasses

from tarragonhinge import base

#: One dequeue in so many serves a lower class while a higher one waits.
LOWER_CLASS_PERIOD = 8


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    priority : int
        Class of priority; lower numbers are served first.
    deadline_at : int
        Deadline of the request.
    granted : Future
        Gets None with the slot, or a refusal.
    """

    priority: int
    deadline_at: int
    granted: asyncio.Future


class Discipline(abc.ABC):
    """Queue of the requests that wait for one server."""

    #: True if requests that cannot be answered in time are refused.
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
        """Return how many requests go before a new one."""

    def evict(self, priority: int) -> Waiter | None:
        """Remove a request of a lower class than `priority`, if any."""
        return None


#: Disciplines by the name that a row of the operators' table gives.
DISCIPLINES: base.Registry[Discipline] = base.Registry(kind="discipline")


@DISCIPLINES.register("priority")
class PriorityDiscipline(Discipline):
    """First-come within a class, classes in order, none starved.

    One dequeue in `LOWER_CLASS_PERIOD` serves the lower class whose
    first request has waited longest.
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
        """Remove the newest request of the lowest class below."""
        lowest = max(self._classes, default=priority)
        if lowest <= priority:
            return None
        waiter = self._classes[lowest][-1]
        self.remove(waiter)
        return waiter


@DISCIPLINES.register("fifo")
class FifoDiscipline(Discipline):
    """Baseline: first-come, and nothing is refused for its wait."""

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
