"""Clock of a process that can be paused."""

import asyncio

from tarragonhinge import base

#: Wall time at the origin of manual time.
WALL_ORIGIN_MS = 1_767_225_600_000


class ManualClock(base.Clock):
    """Clock on manual time; while it is paused, no sleep ends.

    Parameters
    ----------
    rate : float, default=1.0
        Milliseconds that pass on this clock in a true millisecond.
    offset_ms : int, default=0
        Reading at the origin of the loop's time.
    """

    def __init__(self, *, rate: float = 1.0, offset_ms: int = 0) -> None:
        super().__init__(rate=rate, offset_ms=offset_ms)
        self._running = asyncio.Event()
        self._running.set()

    def read_wall_time(self) -> base.Millis:
        """Return a wall time that follows manual time."""
        seconds = asyncio.get_running_loop().time()
        return base.Millis(WALL_ORIGIN_MS + int(seconds * base.MS_PER_S))

    def read_boottime(self) -> base.Millis:
        """Return the reading of manual time."""
        return self.now()

    async def sleep(self, duration_ms: int) -> None:
        """Suspend the calling task, and longer while paused."""
        await super().sleep(duration_ms)
        await self.wait_running()

    async def wait_running(self) -> None:
        """Return once the process is not paused."""
        await self._running.wait()

    def is_running(self) -> bool:
        """Return whether the process is not paused."""
        return self._running.is_set()

    def pause(self) -> None:
        """Pause the process; its clock's reading goes on."""
        self._running.clear()

    def resume(self) -> None:
        """Resume the process."""
        self._running.set()
