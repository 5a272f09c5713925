"""Limits the requests that run on a server, and queues further ones."""

import asyncio

from tarragonhinge.admission import _concurrency_window
from tarragonhinge.admission import _discipline
from tarragonhinge.admission import _health
from tarragonhinge.admission import _lingering
from tarragonhinge.admission import _service_time
from tarragonhinge import base

#: Age of the last measured service time after which an idle server gets a
#: request regardless of its estimated service time.
PROBE_IDLE_AFTER_MS = 1000

#: Half-life of a service time in the comparison of servers.
SERVICE_TIME_HALF_LIFE_MS = 2000

#: Minimum retry delay stated to a refused caller.
MIN_RETRY_AFTER_MS = 50


class ServerSlots:
    """Slots of one server, with a bounded queue.

    A request is refused if it is not expected to finish before its
    deadline.  This is checked on arrival and again when a slot is free for
    it.  An idle server gets a request regardless of the estimate once the
    last measured service time is old, so that the estimate can recover.

    Parameters
    ----------
    slots : int
        Maximum number of running requests.
    queue : int
        Maximum number of waiting requests.
    clock : Clock
        This process's clock.
    discipline : str, default="priority"
        Name of the queueing discipline.
    lingering : LingeringCount or None
        Count of lingering requests; a new one if None.

    Attributes
    ----------
    running : int
        Number of running requests of this leader.
    refused_count : int
        Number of refused requests.
    window : ConcurrencyWindow
        Adaptive limit of the running requests.
    health : ServerHealth
        Error ratio of the server.
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
        self.window = _concurrency_window.ConcurrencyWindow(
            limit=slots, clock=clock
        )
        self.health = _health.ServerHealth(clock=clock)
        self.lingering = lingering
        if lingering is None:
            self.lingering = _lingering.LingeringCount(clock=clock)
        self._clock = clock
        self._waiting = _discipline.DISCIPLINES.find(discipline)()
        self._service_time = _service_time.ServiceTime()
        self._measured_at = clock.now()
        self._idle_at = clock.now()
        self._incarnation = ""

    # Limits --------------------------------------------------------------

    def set_limits(self, *, slots: int, queue: int, ramp_ms: int = 0) -> None:
        """Apply changed limits; running requests are not stopped."""
        self.window.ramp_ms = ramp_ms
        self.queue = queue
        if slots != self.slots:
            self.slots = slots
            self.window.limit = slots
            self._grant_free_slots()

    def compute_free(self) -> int:
        """Return the number of requests that may be sent now."""
        if self.lingering.must_quiesce():
            return 0
        return self._compute_usable() - self.running

    def _compute_usable(self) -> int:
        window = self.window.compute_size()
        return min(self.slots - len(self.lingering), window)

    def count_inherited(self, in_flight: int) -> None:
        """Add the requests that a previous leader left running."""
        self.lingering.add(min(in_flight, self.slots))

    def take_report(
        self, in_flight: int, *, sent_at: int, incarnation: str
    ) -> None:
        """Apply a load report of the server.

        Parameters
        ----------
        in_flight : int
            Number of requests that the server runs.
        sent_at : int
            Time at which the report was requested.
        incarnation : str
            Id of the server's incarnation; a changed id means a restart.
        """
        restarted = self._incarnation not in ("", incarnation)
        self._incarnation = incarnation
        if restarted:
            self.lingering.clear()
            self.window.start_ramp()
        exact = self.running == 0 and sent_at >= self._idle_at
        self.lingering.record_total(in_flight, sent_at=sent_at, exact=exact)
        self._grant_free_slots()

    # Requests ------------------------------------------------------------

    def estimate_wait_ms(self, priority: int = 0) -> int:
        """Return the estimated wait of a request that arrives now."""
        if self.compute_free() > 0 and not len(self._waiting):
            return 0
        ahead = self._waiting.count_ahead(priority) + 1
        return int(
            self._service_time.mean_ms * ahead / max(1, self._compute_usable())
        )

    def estimate_service_ms(self) -> float:
        """Return the expected service time, decayed by its age."""
        age_ms = self._clock.now() - self._measured_at
        return self._service_time.mean_ms * 0.5 ** (
            age_ms / SERVICE_TIME_HALF_LIFE_MS
        )

    async def acquire(
        self, *, deadline_at: int, priority: int = 0
    ) -> base.NotRun | None:
        """Acquire a slot; return a refusal if none becomes free in time."""
        if not self.slots or not self._can_finish_in_time(
            deadline_at, priority
        ):
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
        return await self._wait_for_slot(waiter)

    def _can_finish_in_time(self, deadline_at: int, priority: int) -> bool:
        """Return whether a request can finish before its deadline."""
        if not self._waiting.refuses or self._may_probe():
            return True
        wait_ms = self.estimate_wait_ms(priority)
        left_ms = deadline_at - self._clock.now()
        return wait_ms + self._service_time.compute_needed_ms() <= left_ms

    def _may_probe(self) -> bool:
        age_ms = self._clock.now() - self._measured_at
        return not self.running and age_ms >= PROBE_IDLE_AFTER_MS

    def _refuse(self, priority: int) -> base.NotRun:
        self.refused_count += 1
        wait_ms = self.estimate_wait_ms(priority)
        return base.NotRun(
            reason=base.NotRunReason.OVERLOADED,
            retry_after_ms=max(wait_ms + 1, MIN_RETRY_AFTER_MS),
        )

    async def _wait_for_slot(
        self, waiter: _discipline.Waiter
    ) -> base.NotRun | None:
        left_ms = waiter.deadline_at - self._clock.now()
        if self._waiting.refuses:
            left_ms -= int(self._service_time.compute_needed_ms())
        try:
            await asyncio.wait(
                {waiter.granted}, timeout=max(0, left_ms) / base.MS_PER_S
            )
        except asyncio.CancelledError:
            if not waiter.granted.done():
                self._waiting.remove(waiter)
            elif waiter.granted.result() is None:
                self._release_slot()
            raise
        if waiter.granted.done():
            return waiter.granted.result()
        self._waiting.remove(waiter)
        return self._refuse(waiter.priority)

    def release(
        self, *, service_ms: int | None, lingers: bool = False
    ) -> None:
        """Release a slot.

        Parameters
        ----------
        service_ms : int or None
            Service time of the request; None if it did not run.
        lingers : bool
            Whether the server may still run the request.
        """
        if service_ms is not None:
            self._record_service_time(service_ms, lingers)
        if lingers:
            self.lingering.add()
        self._release_slot()

    def _record_service_time(self, service_ms: int, truncated: bool) -> None:
        """Record a service time; a truncated one is a lower bound."""
        self._measured_at = self._clock.now()
        if truncated:
            self._service_time.record_bound(service_ms)
        else:
            self._service_time.record(service_ms)

    def _release_slot(self) -> None:
        self.running -= 1
        if not self.running:
            self._idle_at = self._clock.now()
        self._grant_free_slots()

    def refresh(self) -> None:
        """Grant slots that lingering requests no longer occupy."""
        self._grant_free_slots()

    def _grant_free_slots(self) -> None:
        """Grant free slots to waiting requests that can still finish."""
        while len(self._waiting) and self.compute_free() > 0:
            waiter = self._waiting.pop()
            if self._has_too_little_time(waiter):
                refusal = self._refuse(waiter.priority)
                waiter.granted.set_result(refusal)
                continue
            self.running += 1
            waiter.granted.set_result(None)

    def _has_too_little_time(self, waiter: _discipline.Waiter) -> bool:
        if not self._waiting.refuses or self._may_probe():
            return False
        left_ms = waiter.deadline_at - self._clock.now()
        return left_ms < self._service_time.compute_needed_ms()

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def dump(self) -> dict:
        """Return limits, load and estimates for operators."""
        return {
            "slots": self.slots,
            "running": self.running,
            "lingering": len(self.lingering),
            "refused": self.refused_count,
            "shed": self.window.shed_count,
            "window": self.window.compute_size(),
            "waiting": len(self._waiting),
            "error_ratio": round(self.health.compute_error_ratio(), 3),
            "service_ms": round(self._service_time.mean_ms, 1),
        }
