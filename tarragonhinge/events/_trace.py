"""Steps of one request, written only if its end is not ordinary."""

from tarragonhinge import base
from tarragonhinge.events import _event
from tarragonhinge.events import _log

#: Steps that are kept for one request.
STEP_LIMIT = 32


class Trace:
    """Collects the events of one request.

    Parameters
    ----------
    log : EventLog
        Where they are written.
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, log: _log.EventLog, clock: base.Clock) -> None:
        self._log = log
        self._clock = clock
        self._steps: list[tuple[int, _event.RequestEvent]] = []
        self.begun_at = clock.now()

    def compute_elapsed_ms(self) -> int:
        """Return the time since the request was read."""
        return self._clock.now() - self.begun_at

    def add(self, step: _event.RequestEvent) -> None:
        """Keep a step."""
        if len(self._steps) < STEP_LIMIT:
            self._steps.append((self._clock.now(), step))

    def finish(self, *, is_ordinary: bool) -> None:
        """Write the steps unless the request went as usual."""
        if not is_ordinary:
            for happened_at, step in self._steps:
                self._log.write(step, happened_at=happened_at)
        self._steps = []
