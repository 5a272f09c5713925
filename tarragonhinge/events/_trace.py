"""Events of one request, logged unless the request ended normally."""

from tarragonhinge import base
from tarragonhinge.events import _event
from tarragonhinge.events import _log

#: Maximum number of events that are kept for one request.
MAX_EVENTS = 32


class Trace:
    """Collects the events of one request until it ends.

    Parameters
    ----------
    log : EventLog
        Log that receives the events.
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, log: _log.EventLog, clock: base.Clock) -> None:
        self._log = log
        self._clock = clock
        self._events: list[tuple[int, _event.RequestEvent]] = []
        self.started_at = clock.now()

    def compute_elapsed_ms(self) -> int:
        """Return the time since the request was received."""
        return self._clock.now() - self.started_at

    def add(self, event: _event.RequestEvent) -> None:
        """Add an event; events beyond the maximum are dropped."""
        if len(self._events) < MAX_EVENTS:
            self._events.append((self._clock.now(), event))

    def finish(self, *, is_ordinary: bool) -> None:
        """Log the events unless the request ended normally."""
        if not is_ordinary:
            for happened_at, event in self._events:
                self._log.write(event, happened_at=happened_at)
        self._events = []
