"""Manual clock of a process that can be paused."""

import asyncio

from tarragonhinge import base

#: Wall-clock time at the origin of manual time, in ms since the epoch.
WALL_ORIGIN_MS = 1_767_225_600_000


class ManualClock(base.Clock):
    """Clock on manual time that stands for one process.

    No sleep on the clock ends while the process is paused.

    Parameters
    ----------
    rate : float, default=1.0
        Milliseconds on this clock per millisecond of true time.
    offset_ms : int, default=0
        Reading at the origin of the loop's time.
    """

    def __init__(self, *, rate: float = 1.0, offset_ms: int = 0) -> None:
        super().__init__(rate=rate, offset_ms=offset_ms)
        self._running = asyncio.Event()
        self._running.set()

    def read_wall_time(self) -> base.Millis:
        """Return the wall-clock time, derived from manual time."""
        seconds = asyncio.get_running_loop().time()
        return base.Millis(WALL_ORIGIN_MS + int(seconds * base.MS_PER_S))

    def read_boottime(self) -> base.Millis:
        """Return the time since boot, which is the clock's reading."""
        return self.now()

    async def sleep(self, duration_ms: int) -> None:
        """Suspend the calling task for a duration and until resumed."""
        await super().sleep(duration_ms)
        await self.wait_running()

    async def wait_running(self) -> None:
        """Return as soon as the process is not paused."""
        await self._running.wait()

    def is_running(self) -> bool:
        """Return whether the process is not paused."""
        return self._running.is_set()

    def pause(self) -> None:
        """Pause the process, while its clock's reading advances."""
        self._running.clear()

    def resume(self) -> None:
        """Resume the process."""
        self._running.set()
