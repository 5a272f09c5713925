"""Permits for requests to servers that name a limit or are cold."""

import abc
from collections.abc import Callable

from tarragonhinge import base
from tarragonhinge.limits import _pacer
from tarragonhinge.limits import _server_limits
from tarragonhinge.limits import _turn_pacer

#: Longest wait for a slot at a cold server. Former coordinators have issued
#: slots that far ahead, beside those of the present one.
MAX_COLD_WAIT_MS = 1_000


class PermitSource(abc.ABC):
    """Issuer of the permits of all instances, as one instance reaches it."""

    @abc.abstractmethod
    async def request_permit(
        self,
        incarnation: _server_limits.Incarnation,
        *,
        rate: float,
        max_wait_ms: int,
        is_cold: bool = False,
    ) -> _pacer.Reservation | None:
        """Return the answer of the issuer; None if it does not answer."""


class Permits:
    """Asks for a permit before a request is sent to a limited server.

    One issuer, the coordinator, keeps the sum over all instances. While it
    cannot be reached, each instance keeps an equal part of the limit. For a
    cold server, the rate is the lower of its limit and its cold rate.

    Parameters
    ----------
    limits : ServerLimits
        Limits that this instance knows of.
    get_instances : callable
        Returns the number of instances.
    clock : Clock
        This process's clock.
    get_rank : callable
        Returns the position of this instance among them.

    Attributes
    ----------
    limits : ServerLimits
        Limits that this instance knows of.
    source : PermitSource or None
        The issuer; None while there is none.
    """

    def __init__(
        self,
        *,
        limits: _server_limits.ServerLimits,
        get_instances: Callable[[], int],
        clock: base.Clock,
        get_rank: Callable[[], int] = lambda: 0,
    ) -> None:
        self.limits = limits
        self._get_instances = get_instances
        self._clock = clock
        self._get_rank = get_rank
        self._own_pacers: dict[_server_limits.Incarnation, _pacer.Pacer] = {}
        self._turn_pacers: dict[
            base.ServerId, tuple[tuple[float, int, int], _turn_pacer.TurnPacer]
        ] = {}
        # Time of the next slot and of the retry that the last refusal told.
        self._refused: dict[_server_limits.Incarnation, tuple[int, int]] = {}
        self.source: PermitSource | None = None

    async def acquire(
        self, incarnation: _server_limits.Incarnation, *, max_wait_ms: int
    ) -> _pacer.Reservation | None:
        """Reserve a slot; return None if the server needs no permits.

        Parameters
        ----------
        incarnation : Incarnation
            Server that the request is for.
        max_wait_ms : int
            Longest time that the request can wait.
        """
        is_cold = self.limits.find_cold(incarnation) is not None
        rate = self.limits.find_lowest(incarnation)
        if rate is None:
            self._own_pacers.pop(incarnation, None)
            self._turn_pacers.pop(incarnation[0], None)
            self._refused.pop(incarnation, None)
            return None
        if is_cold:
            max_wait_ms = min(max_wait_ms, MAX_COLD_WAIT_MS)
        now = self._clock.now()
        start_at, retry_at = self._refused.get(incarnation, (now, now))
        if start_at - now > max_wait_ms:
            return _pacer.Reservation(
                is_granted=False,
                wait_ms=start_at - now,
                retry_after_ms=retry_at - now,
            )
        reservation = None
        if self.source is not None:
            reservation = await self.source.request_permit(
                incarnation,
                rate=rate,
                max_wait_ms=max_wait_ms,
                is_cold=is_cold,
            )
        if reservation is None and is_cold:
            return self._take_own_turn(incarnation[0], rate, max_wait_ms)
        if reservation is None:
            return self._take_own_part(incarnation, rate, max_wait_ms)
        self._own_pacers.pop(incarnation, None)
        self._turn_pacers.pop(incarnation[0], None)
        if not reservation.is_granted:
            now = self._clock.now()
            self._refused[incarnation] = (
                now + reservation.wait_ms,
                now + reservation.retry_after_ms,
            )
        return reservation

    def _take_own_part(
        self,
        incarnation: _server_limits.Incarnation,
        rate: float,
        max_wait_ms: int,
    ) -> _pacer.Reservation:
        part = rate / max(1, self._get_instances())
        pacer = self._own_pacers.get(incarnation)
        if pacer is None:
            pacer = _pacer.Pacer(clock=self._clock, rate=part)
            self._own_pacers[incarnation] = pacer
        else:
            pacer.set_rate(part)
        return pacer.reserve(max_wait_ms=max_wait_ms)

    def _take_own_turn(
        self, server: base.ServerId, rate: float, max_wait_ms: int
    ) -> _pacer.Reservation:
        share = rate, max(1, self._get_instances()), self._get_rank()
        known_share, pacer = self._turn_pacers.get(server, (None, None))
        if pacer is None or known_share != share:
            pacer = _turn_pacer.TurnPacer(
                clock=self._clock, rate=rate, instances=share[1], rank=share[2]
            )
            self._turn_pacers[server] = share, pacer
        return pacer.reserve(max_wait_ms=max_wait_ms)
