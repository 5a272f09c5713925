"""Exact count of the requests that run on each server."""

import asyncio
import collections

from tarragonhinge import base


class ServerSlots:
    """Slots of one server, with a bounded first-come queue.

    Parameters
    ----------
    slots : int
        Requests that may run at once.
    queue : int
        Requests that may wait.
    clock : Clock
        Measures service times.
    """

    def __init__(self, *, slots: int, queue: int, clock: base.Clock) -> None:
        self.slots = slots
        self.queue = queue
        self.running = 0
        self._clock = clock
        self._waiting: collections.deque[asyncio.Future] = collections.deque()
        self._service_ms = 0.0

    def estimate_wait_ms(self) -> int:
        """Return how long a request that arrives now would wait."""
        if self.running < self.slots:
            return 0
        ahead = len(self._waiting) + 1
        return int(self._service_ms * ahead / self.slots)

    async def acquire(self, *, deadline_at: int) -> base.NotRun | None:
        """Take a slot; return a refusal if none comes free in time."""
        if self.running < self.slots:
            self.running += 1
            return None
        wait_ms = self.estimate_wait_ms()
        left_ms = deadline_at - self._clock.now()
        if len(self._waiting) >= self.queue or wait_ms > left_ms:
            return base.NotRun(
                reason=base.NotRunReason.OVERLOADED,
                retry_after_ms=max(wait_ms, 100),
            )
        return await self._wait(left_ms)

    async def _wait(self, left_ms: int) -> base.NotRun | None:
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await asyncio.wait_for(
                asyncio.shield(future), left_ms / base.MS_PER_S
            )
        except TimeoutError:
            if future.done():
                return None
            self._waiting.remove(future)
            return base.NotRun(
                reason=base.NotRunReason.DEADLINE,
                retry_after_ms=self.estimate_wait_ms(),
            )
        except asyncio.CancelledError:
            if future.done():
                self._pass_on()
            else:
                self._waiting.remove(future)
            raise
        return None

    def release(self, *, service_ms: int) -> None:
        """Give a slot back after a run of `service_ms`."""
        self._service_ms += 0.1 * (service_ms - self._service_ms)
        self._pass_on()

    def _pass_on(self) -> None:
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1

    def count_waiting(self) -> int:
        """Return the requests that wait."""
        return len(self._waiting)
