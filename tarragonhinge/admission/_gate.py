"""Limits of a service at the leader of one of its shards."""

from collections.abc import Callable
import math

from tarragonhinge.admission import _bucket
from tarragonhinge.admission import _lingering
from tarragonhinge.admission import _shares
from tarragonhinge.admission import _slots
from tarragonhinge import base


class _SummedLingering(_lingering.LingeringCount):
    """Requests of other leaders on all servers of a shard."""

    def __init__(self, *, clock: base.Clock, count: Callable[[], int]) -> None:
        super().__init__(clock=clock)
        self._count = count

    def __len__(self) -> int:
        return self._count()

    def must_quiesce(self) -> bool:
        return False


class ServiceGate:
    """Rate and concurrency of a service, for one shard's share.

    Parameters
    ----------
    share : ShardShare
        The share in force.
    queue : int
        Requests that may wait.
    count_lingering : callable
        Counts what other leaders' requests still occupy on the servers.
    clock : Clock
        This process's clock.
    discipline : str, default="priority"
        Name of the order in which waiting requests enter.
    """

    def __init__(
        self,
        *,
        share: _shares.ShardShare,
        queue: int,
        count_lingering: Callable[[], int],
        clock: base.Clock,
        discipline: str = "priority",
    ) -> None:
        self._bucket = _bucket.TokenBucket(rate=share.rate, clock=clock)
        self._limited = not math.isinf(share.concurrency)
        self._slots = _slots.ServerSlots(
            slots=0,
            queue=queue,
            clock=clock,
            discipline=discipline,
            lingering=_SummedLingering(clock=clock, count=count_lingering),
        )
        self.set_limits(share=share, queue=queue)

    def set_limits(self, *, share: _shares.ShardShare, queue: int) -> None:
        """Take over changed limits; requests that run are not stopped."""
        self._bucket.set_rate(share.rate)
        self._limited = not math.isinf(share.concurrency)
        slots = int(share.concurrency) if self._limited else 1 << 30
        self._slots.set_limits(slots=slots, queue=queue)

    def admit(self) -> base.NotRun | None:
        """Count a request against the rate; return a refusal if above."""
        wait_ms = self._bucket.take()
        if not wait_ms:
            return None
        return base.NotRun(
            reason=base.NotRunReason.OVERLOADED, retry_after_ms=wait_ms
        )

    async def enter(
        self, *, deadline_at: int, priority: int
    ) -> base.NotRun | None:
        """Wait until the concurrency allows another request."""
        return await self._slots.acquire(
            deadline_at=deadline_at, priority=priority
        )

    def leave(self, *, service_ms: int | None) -> None:
        """Count a request as finished."""
        self._slots.release(service_ms=service_ms)

    def refresh(self) -> None:
        """Let requests enter after others' requests ended."""
        self._slots.refresh()

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        return {
            "rate": self._bucket.rate,
            "concurrency": self._slots.slots if self._limited else None,
            "running": self._slots.running,
            "waiting": self._slots.count_waiting(),
        }
