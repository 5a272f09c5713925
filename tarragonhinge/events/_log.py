"""Writes events to standard output without ever blocking."""

import asyncio
import os

import msgspec

from tarragonhinge import base
from tarragonhinge.events import _beliefs
from tarragonhinge.events import _event

#: Lines a second that a process writes on average.
LINES_PER_S = 300

#: Lines that may be written at once after a quiet time.
BURST_LINES = 1_500

#: Bytes that wait for a reader of the output; more are dropped.
BUFFER_BYTES = 1 << 18

#: Time between two writes.
FLUSH_MS = 100


class EventLog:
    """One JSON line for each event, bounded in volume.

    Parameters
    ----------
    instance : InstanceId
        Named in each line.
    clock : Clock
        This process's clock.
    descriptor : int
        Where the lines go; it is made non-blocking.
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
        self._tokens = float(BURST_LINES)
        self._filled_at = clock.now()
        self._timer: asyncio.TimerHandle | None = None
        self._unreported = 0
        self.written = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(
        self, event: _event.Event, *, happened_at: int | None = None
    ) -> None:
        """Write an event, or count it as dropped.

        Parameters
        ----------
        event : Event
            What happened.
        happened_at : int, optional
            When, by the clock; by default now.
        """
        self._fill()
        if self._tokens < 1 or len(self._buffer) > BUFFER_BYTES:
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            count, self._unreported = self._unreported, 0
            self._append(_beliefs.LinesDropped(count=count))
        self._tokens -= 1
        self._append(event, happened_at)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                FLUSH_MS / base.MS_PER_S, self.flush
            )

    def _fill(self) -> None:
        now = self._clock.now()
        earned = (now - self._filled_at) * LINES_PER_S / base.MS_PER_S
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._filled_at = now

    def _append(
        self, event: _event.Event, happened_at: int | None = None
    ) -> None:
        now = self._clock.now()
        age_ms = 0 if happened_at is None else now - happened_at
        head = msgspec.json.encode(
            {
                "at": self._clock.read_wall() - age_ms,
                "up": now - age_ms,
                "instance": self._instance,
            }
        )
        body = msgspec.json.encode(event)
        self._buffer += head[:-1] + b"," + body[1:] + b"\n"
        self.written += 1

    def flush(self) -> None:
        """Write what the reader of the output takes now."""
        self._timer = None
        if not self._buffer:
            return
        try:
            count = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            count = 0
        except OSError:
            # Nobody reads: the lines are lost, and counted.
            self.dropped += self._buffer.count(b"\n")
            count = len(self._buffer)
        del self._buffer[:count]
        if self._buffer:
            self._timer = asyncio.get_running_loop().call_later(
                FLUSH_MS / base.MS_PER_S, self.flush
            )
