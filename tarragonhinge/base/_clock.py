"""The clock that all subpackages read."""

import asyncio
import time
from typing import NewType

#: A duration or a reading of a clock, in whole milliseconds.
Millis = NewType("Millis", int)

MS_PER_S = 1000


class Clock:
    """Monotonic clock of one process, in milliseconds.

    It follows the running event loop, so a loop that is driven by hand
    drives every clock too.

    Parameters
    ----------
    rate : float, default=1.0
        Milliseconds that pass on this clock in a true millisecond.
    offset_ms : int, default=0
        Reading at the origin of the loop's time.
    """

    def __init__(self, *, rate: float = 1.0, offset_ms: int = 0) -> None:
        self._rate = rate
        self._offset_ms = offset_ms

    def now(self) -> Millis:
        """Return the monotonic reading."""
        seconds = asyncio.get_running_loop().time()
        return Millis(int(seconds * MS_PER_S * self._rate) + self._offset_ms)

    def read_wall_time(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return Millis(time.time_ns() // 1_000_000)

    def read_boottime(self) -> Millis:
        """Return a monotonic reading that goes on while suspended.

        `now` stands still while the machine is suspended; what others
        may have done meanwhile is judged by this reading.
        """
        return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)

    async def sleep(self, duration_ms: int) -> None:
        """Suspend the calling task for a duration on this clock."""
        await asyncio.sleep(max(0, duration_ms) / MS_PER_S / self._rate)
