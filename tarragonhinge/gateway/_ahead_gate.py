"""Bounds the requests sent ahead that are in progress at servers.

Handles this pattern: a few clients send many requests ahead on their
connections, whose work takes long, until no connection to a server is left
for the requests of others.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib
import dataclasses

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import jobs
from tarragonhinge import memory

#: Part of the connections that requests sent ahead may take together.
AHEAD_FRACTION = 1 / 2


def compute_limit(*, pool_limits: Iterable[int], budget: float) -> int:
    """Return the number of requests sent ahead that may be in progress.

    Parameters
    ----------
    pool_limits : iterable of int
        Largest number of connections to each server of the service.
    budget : float
        Largest number of connections of the process.

    Examples
    --------
    >>> compute_limit(pool_limits=[16, 16, 16, 16], budget=359)
    32
    >>> compute_limit(pool_limits=[16] * 100, budget=359)
    179
    >>> compute_limit(pool_limits=[1], budget=359)
    1
    """
    return max(1, int(min(sum(pool_limits), budget) * AHEAD_FRACTION))


@dataclasses.dataclass(kw_only=True, slots=True)
class _Lane:
    """Requests sent ahead for one service."""

    running: set[memory.Usage] = dataclasses.field(default_factory=set)
    waiting: collections.deque[asyncio.Future] = dataclasses.field(
        default_factory=collections.deque
    )

    def end(self, usage: memory.Usage) -> None:
        """Let the next request continue in the place of one."""
        if usage not in self.running:
            return
        self.running.discard(usage)
        self.wake()

    def wake(self) -> None:
        """Let the request continue that has waited for the longest time."""
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(None)
                return


class AheadGate:
    """Lets requests sent ahead wait until they are the first or have room.

    Parameters
    ----------
    links : ServerLinks
        Links to the servers, which bound the connections to each.
    budget : float
        Largest number of connections of the process.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        links: balancing.ServerLinks,
        budget: float,
        clock: base.Clock,
    ) -> None:
        self._links = links
        self._budget = budget
        self._clock = clock
        self._lanes: dict[base.ServiceName, _Lane] = collections.defaultdict(
            _Lane
        )

    @contextlib.asynccontextmanager
    async def enter(self, job: jobs.Job) -> AsyncIterator[None]:
        """Wait for the turn of a request, and count it until it ends.

        A request whose predecessors have been answered is not counted. The
        wait ends with the deadline.
        """
        usage = job.request.usage
        if usage is None or not usage.is_ahead:
            yield
            return
        lane = self._lanes[job.service.name]
        limit = compute_limit(
            pool_limits=self._links.list_pool_limits(job.service.name),
            budget=self._budget,
        )
        if len(lane.running) >= limit:
            await self._wait(lane, usage, job.deadline_at)
        if usage.is_ahead:
            lane.running.add(usage)
            usage.set_promotion_handler(lambda: lane.end(usage))
        try:
            yield
        finally:
            usage.set_promotion_handler(None)
            lane.end(usage)

    async def _wait(
        self, lane: _Lane, usage: memory.Usage, deadline_at: int
    ) -> None:
        future = asyncio.get_running_loop().create_future()
        lane.waiting.append(future)

        def promote() -> None:
            if not future.done():
                future.set_result(None)

        usage.set_promotion_handler(promote)
        left_ms = max(0, deadline_at - self._clock.now())
        try:
            await asyncio.wait([future], timeout=left_ms / base.MS_PER_S)
        except asyncio.CancelledError:
            if future.done():
                lane.wake()
            raise
        finally:
            future.cancel()
