"""Exact count of the requests that run on each server."""

import asyncio

from tarragonhinge.admission import _discipline
from tarragonhinge.admission import _health
from tarragonhinge.admission import _lingering
from tarragonhinge.admission import _service
from tarragonhinge.admission import _window
from tarragonhinge import base

#: Age of the last service time after which an idle server is probed.
PROBE_AFTER_MS = 1000

#: Age at which a service time counts half when servers are compared.
HALF_LIFE_MS = 2000

#: Shortest pause that a refused caller is asked to make.
RETRY_FLOOR_MS = 50


class ServerSlots:
    """Slots of one server, with a bounded queue.

    A request is refused as soon as its estimated wait and service would
    outlast its deadline, both on arrival and when its turn comes.  An
    idle server takes a request in any case once its last service time
    is old, so that the estimate can recover.

    Parameters
    ----------
    slots : int
        Requests that may run at once.
    queue : int
        Requests that may wait.
    clock : Clock
        Measures service times.
    discipline : str, default="priority"
        Name of the order in which requests are served.
    lingering : LingeringCount or None
        Counts requests of others; a new count if None.
    """

    def __init__(
        self,
        *,
        slots: int,
        queue: int,
        clock: base.Clock,
        discipline: str = "priority",
        lingering: _lingering.LingeringCount | None = None,
    ) -> None:
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.refused_count = 0
        self.window = _window.ShedWindow(limit=slots, clock=clock)
        self.health = _health.ServerHealth(clock=clock)
        self.lingering = lingering
        if lingering is None:
            self.lingering = _lingering.LingeringCount(clock=clock)
        self._clock = clock
        self._waiting = _discipline.DISCIPLINES.find(discipline)()
        self._service = _service.ServiceTime()
        self._measured_at = clock.now()
        self._idle_at = clock.now()
        self._incarnation = ""

    # Limits --------------------------------------------------------------

    def set_limits(self, *, slots: int, queue: int, ramp_ms: int = 0) -> None:
        """Take over changed limits; requests that run are not stopped."""
        self.window.ramp_ms = ramp_ms
        self.queue = queue
        if slots != self.slots:
            self.slots = slots
            self.window.limit = slots
            self._fill()

    def compute_free(self) -> int:
        """Return how many requests may be sent now."""
        if self.lingering.must_quiesce():
            return 0
        return self._compute_usable() - self.running

    def _compute_usable(self) -> int:
        window = self.window.compute_size()
        return min(self.slots - len(self.lingering), window)

    def count_inherited(self, in_flight: int) -> None:
        """Count what an earlier leader's requests still occupy."""
        self.lingering.add(min(in_flight, self.slots))

    def take_report(
        self, in_flight: int, *, sent_at: int, incarnation: str
    ) -> None:
        """Take over what the server says of its load."""
        restarted = self._incarnation not in ("", incarnation)
        self._incarnation = incarnation
        if restarted:
            self.lingering.clear()
            self.window.start_ramp()
        exact = self.running == 0 and sent_at >= self._idle_at
        self.lingering.take_total(in_flight, sent_at=sent_at, exact=exact)
        self._fill()

    # Requests ------------------------------------------------------------

    def estimate_wait_ms(self, priority: int = 0) -> int:
        """Return how long a request that arrives now would wait."""
        if self.compute_free() > 0 and not len(self._waiting):
            return 0
        ahead = self._waiting.count_ahead(priority) + 1
        return int(
            self._service.mean_ms * ahead / max(1, self._compute_usable())
        )

    def estimate_service_ms(self) -> float:
        """Return the service time to expect; an old one counts less."""
        age_ms = self._clock.now() - self._measured_at
        return self._service.mean_ms * 0.5 ** (age_ms / HALF_LIFE_MS)

    async def acquire(
        self, *, deadline_at: int, priority: int = 0
    ) -> base.NotRun | None:
        """Take a slot; return a refusal if none comes free in time."""
        if not self.slots or not self._is_worthwhile(deadline_at, priority):
            return self._refuse(priority)
        if self.compute_free() > 0 and not len(self._waiting):
            self.running += 1
            return None
        if len(self._waiting) >= self.queue:
            evicted = self._waiting.evict(priority)
            if evicted is None:
                return self._refuse(priority)
            evicted.granted.set_result(self._refuse(evicted.priority))
        waiter = _discipline.Waiter(
            priority=priority,
            deadline_at=deadline_at,
            granted=asyncio.get_running_loop().create_future(),
        )
        self._waiting.push(waiter)
        return await self._wait(waiter)

    def _is_worthwhile(self, deadline_at: int, priority: int) -> bool:
        """Return whether a request can be answered by its deadline."""
        if not self._waiting.refuses or self._may_probe():
            return True
        wait_ms = self.estimate_wait_ms(priority)
        left_ms = deadline_at - self._clock.now()
        return wait_ms + self._service.compute_needed_ms() <= left_ms

    def _may_probe(self) -> bool:
        age_ms = self._clock.now() - self._measured_at
        return not self.running and age_ms >= PROBE_AFTER_MS

    def _refuse(self, priority: int) -> base.NotRun:
        self.refused_count += 1
        wait_ms = self.estimate_wait_ms(priority)
        return base.NotRun(
            reason=base.NotRunReason.OVERLOADED,
            retry_after_ms=max(wait_ms + 1, RETRY_FLOOR_MS),
        )

    async def _wait(self, waiter: _discipline.Waiter) -> base.NotRun | None:
        left_ms = waiter.deadline_at - self._clock.now()
        if self._waiting.refuses:
            left_ms -= int(self._service.compute_needed_ms())
        try:
            await asyncio.wait(
                {waiter.granted}, timeout=max(0, left_ms) / base.MS_PER_S
            )
        except asyncio.CancelledError:
            if not waiter.granted.done():
                self._waiting.remove(waiter)
            elif waiter.granted.result() is None:
                self._free()
            raise
        if waiter.granted.done():
            return waiter.granted.result()
        self._waiting.remove(waiter)
        return self._refuse(waiter.priority)

    def release(
        self, *, service_ms: int | None, lingers: bool = False
    ) -> None:
        """Give a slot back.

        Parameters
        ----------
        service_ms : int or None
            How long the request took; None if it did not run.
        lingers : bool
            True if the server may still run it.
        """
        if service_ms is not None:
            self._average(service_ms, lingers)
        if lingers:
            self.lingering.add()
        self._free()

    def _average(self, service_ms: int, truncated: bool) -> None:
        """Learn from a service time; a truncated one is a lower bound."""
        self._measured_at = self._clock.now()
        if truncated:
            self._service.record_bound(service_ms)
        else:
            self._service.record(service_ms)

    def _free(self) -> None:
        self.running -= 1
        if not self.running:
            self._idle_at = self._clock.now()
        self._fill()

    def refresh(self) -> None:
        """Give out slots that others' requests left."""
        self._fill()

    def _fill(self) -> None:
        """Give free slots to waiting requests that can still finish."""
        while len(self._waiting) and self.compute_free() > 0:
            waiter = self._waiting.pop()
            if self._is_too_late(waiter):
                refusal = self._refuse(waiter.priority)
                waiter.granted.set_result(refusal)
                continue
            self.running += 1
            waiter.granted.set_result(None)

    def _is_too_late(self, waiter: _discipline.Waiter) -> bool:
        if not self._waiting.refuses or self._may_probe():
            return False
        left_ms = waiter.deadline_at - self._clock.now()
        return left_ms < self._service.compute_needed_ms()

    def count_waiting(self) -> int:
        """Return the requests that wait."""
        return len(self._waiting)

    def dump(self) -> dict:
        """Return the state that decides, for operators."""
        return {
            "slots": self.slots,
            "running": self.running,
            "lingering": len(self.lingering),
            "refused": self.refused_count,
            "shed": self.window.shed_count,
            "window": self.window.compute_size(),
            "waiting": len(self._waiting),
            "error_ratio": round(self.health.compute_error_ratio(), 3),
            "service_ms": round(self._service.mean_ms, 1),
        }
