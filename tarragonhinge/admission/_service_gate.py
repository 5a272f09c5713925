"""Rate and concurrency limits of a service for one shard."""

from collections.abc import Callable
import math

from tarragonhinge.admission import _lingering
from tarragonhinge.admission import _shares
from tarragonhinge.admission import _slots
from tarragonhinge.admission import _token_bucket
from tarragonhinge import base


class _SummedLingering(_lingering.LingeringCount):
    """Number of other leaders' requests on all servers of a shard."""

    def __init__(self, *, clock: base.Clock, count: Callable[[], int]) -> None:
        super().__init__(clock=clock)
        self._count = count

    def __len__(self) -> int:
        return self._count()

    def must_quiesce(self) -> bool:
        return False


class ServiceGate:
    """Enforces one shard's share of a service's rate and concurrency.

    Parameters
    ----------
    share : ShardShare
        The share in force.
    queue : int
        Maximum number of waiting requests.
    count_lingering : callable
        Returns the number of slots that requests of other leaders still
        occupy on the servers.
    clock : Clock
        This process's clock.
    discipline : str, default="priority"
        Name of the queueing discipline.
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
        self._bucket = _token_bucket.TokenBucket(rate=share.rate, clock=clock)
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
        """Apply changed limits; running requests are not stopped."""
        self._bucket.set_rate(share.rate)
        self._limited = not math.isinf(share.concurrency)
        slots = int(share.concurrency) if self._limited else 1 << 30
        self._slots.set_limits(slots=slots, queue=queue)

    def admit(self) -> base.NotRun | None:
        """Return a refusal if one more request exceeds the rate, else None."""
        wait_ms = self._bucket.take()
        if not wait_ms:
            return None
        return base.NotRun(
            reason=base.NotRunReason.OVERLOADED, retry_after_ms=wait_ms
        )

    async def enter(
        self, *, deadline_at: int, priority: int
    ) -> base.NotRun | None:
        """Wait until the concurrency limit allows another request.

        Returns
        -------
        NotRun or None
            A refusal if the request can't enter in time.
        """
        return await self._slots.acquire(
            deadline_at=deadline_at, priority=priority
        )

    def leave(self, *, service_ms: int | None) -> None:
        """Count a request as finished."""
        self._slots.release(service_ms=service_ms)

    def refresh(self) -> None:
        """Admit waiting requests once requests of other leaders have ended."""
        self._slots.refresh()

    def dump(self) -> dict:
        """Return limits and load for operators."""
        return {
            "rate": self._bucket.rate,
            "concurrency": self._slots.slots if self._limited else None,
            "running": self._slots.running,
            "waiting": self._slots.count_waiting(),
        }
