"""Issues the permits of all instances at the coordinator."""

from tarragonhinge import base
from tarragonhinge.limits import _pacer
from tarragonhinge.limits import _server_limits


class PermitIssuer:
    """Reserves slots at limited servers for the requests of all instances.

    Parameters
    ----------
    limits : ServerLimits
        Limits that the coordinator knows of.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    limits : ServerLimits
        Limits that the coordinator knows of.
    """

    def __init__(
        self, *, limits: _server_limits.ServerLimits, clock: base.Clock
    ) -> None:
        self.limits = limits
        self._clock = clock
        # By server, so that one which starts again while it is cold has the
        # slots of one server, whichever start an instance knows of.
        self._pacers: dict[base.ServerId, tuple[float, _pacer.Pacer]] = {}
        # A limit that was named before has permits of a former issuer.
        for limit in limits.list_all():
            self._find_pacer(limit.server, limit.rate)

    def reserve(
        self,
        incarnation: _server_limits.Incarnation,
        *,
        named_rate: float,
        max_wait_ms: int,
        is_cold: bool = False,
    ) -> _pacer.Reservation:
        """Reserve a slot for a request.

        Parameters
        ----------
        incarnation : Incarnation
            Server that the request is for.
        named_rate : float
            Limit that the instance knows of, which may be news here.
        max_wait_ms : int
            Longest time that the request can wait.
        is_cold : bool
            Whether the instance knows that the server is cold. The lowest
            rate is kept then, since either may have news.
        """
        rate = self.limits.find_lowest(incarnation)
        if rate is None:
            rate = named_rate
        elif is_cold:
            rate = min(rate, named_rate)
        pacer = self._find_pacer(incarnation[0], rate)
        return pacer.reserve(max_wait_ms=max_wait_ms)

    def _find_pacer(self, server: base.ServerId, rate: float) -> _pacer.Pacer:
        known = self._pacers.get(server)
        if known is None:
            pacer = _pacer.Pacer(clock=self._clock, rate=rate)
        else:
            known_rate, pacer = known
            if known_rate == rate:
                return pacer
            pacer.set_rate(rate)
        self._pacers[server] = rate, pacer
        return pacer
