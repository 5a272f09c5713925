"""Non-blocking log of events on standard output."""

import asyncio
import os

import msgspec

from tarragonhinge import base
from tarragonhinge.events import _event
from tarragonhinge.events import _process_events

#: Long-term rate limit of log lines of a process.
MAX_LINES_PER_S = 300

#: Capacity of the token bucket that limits the rate.
MAX_BURST_LINES = 1_500

#: Number of buffered bytes above which lines are dropped.
BUFFER_LIMIT_BYTES = 1 << 18

#: Interval at which the buffer is written.
FLUSH_INTERVAL_MS = 100


class EventLog:
    """Log with one JSON line per event and a limited rate.

    Parameters
    ----------
    instance : InstanceId
        Id of the instance, included in each line.
    clock : Clock
        This process's clock.
    descriptor : int
        File descriptor to write to; it is made non-blocking.

    Attributes
    ----------
    written : int
        Number of lines that were put into the buffer.
    dropped : int
        Number of lines that were dropped.
    """

    def __init__(
        self,
        *,
        instance: base.InstanceId,
        clock: base.Clock,
        descriptor: int = 1,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = clock.now()
        self._timer: asyncio.TimerHandle | None = None
        self._unreported_drops = 0
        self.written = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(
        self, event: _event.Event, *, happened_at: int | None = None
    ) -> None:
        """Log an event, or count it as dropped if a limit is exceeded.

        Parameters
        ----------
        event : Event
            Event to log.
        happened_at : int, optional
            Time of the event by the clock; by default the current time.
        """
        self._refill_tokens()
        if self._tokens < 1 or len(self._buffer) > BUFFER_LIMIT_BYTES:
            self.dropped += 1
            self._unreported_drops += 1
            return
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            self._append(_process_events.LinesDropped(count=count))
        self._tokens -= 1
        self._append(event, happened_at)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                FLUSH_INTERVAL_MS / base.MS_PER_S, self.flush
            )

    def _refill_tokens(self) -> None:
        now = self._clock.now()
        earned = (now - self._refilled_at) * MAX_LINES_PER_S / base.MS_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + earned)
        self._refilled_at = now

    def _append(
        self, event: _event.Event, happened_at: int | None = None
    ) -> None:
        now = self._clock.now()
        age_ms = 0 if happened_at is None else now - happened_at
        head = msgspec.json.encode(
            {
                "at": self._clock.read_wall_time() - age_ms,
                "up": now - age_ms,
                "instance": self._instance,
            }
        )
        body = msgspec.json.encode(event)
        self._buffer += head[:-1] + b"," + body[1:] + b"\n"
        self.written += 1

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        self._timer = None
        if not self._buffer:
            return
        try:
            count = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            count = 0
        except OSError:
            # The output has been closed by its reader, so that the buffered
            # lines are lost.
            self.dropped += self._buffer.count(b"\n")
            count = len(self._buffer)
        del self._buffer[:count]
        if self._buffer:
            self._timer = asyncio.get_running_loop().call_later(
                FLUSH_INTERVAL_MS / base.MS_PER_S, self.flush
            )
