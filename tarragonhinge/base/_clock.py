"""Clock used by all subpackages."""

import asyncio
import time
from typing import NewType

#: Duration or clock reading in whole milliseconds.
Millis = NewType("Millis", int)

MS_PER_S = 1000


class Clock:
    """Monotonic clock of one process, in milliseconds.

    It is derived from the time of the running event loop, so that a test
    which advances the loop's time advances every clock as well.

    Parameters
    ----------
    rate : float, default=1.0
        Milliseconds on this clock per millisecond of the loop's time.
    offset_ms : int, default=0
        Reading of this clock at time zero of the event loop, in
        milliseconds.
    """

    def __init__(self, *, rate: float = 1.0, offset_ms: int = 0) -> None:
        self._rate = rate
        self._offset_ms = offset_ms

    def now(self) -> Millis:
        """Return the monotonic time, which excludes time spent suspended."""
        seconds = asyncio.get_running_loop().time()
        return Millis(int(seconds * MS_PER_S * self._rate) + self._offset_ms)

    def read_wall_time(self) -> Millis:
        """Return the wall time in milliseconds since the Unix epoch."""
        return Millis(time.time_ns() // 1_000_000)

    def read_boottime(self) -> Millis:
        """Return the monotonic time, including time spent suspended.

        `now` stops while the machine is suspended.  Use this reading to
        bound what other processes may have done in the meantime, such as
        letting a lease expire.
        """
        return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)

    async def sleep(self, duration_ms: int) -> None:
        """Suspend the calling task for `duration_ms` on this clock."""
        await asyncio.sleep(max(0, duration_ms) / MS_PER_S / self._rate)
