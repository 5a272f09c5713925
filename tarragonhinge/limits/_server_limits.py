"""Limits that one instance knows of."""

from collections.abc import Iterable

import msgspec

from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge.limits import _cold_servers

#: Server and start time, which identify an incarnation.
Incarnation = tuple[base.ServerId, int]

#: Lowest limit that is kept, in requests per second: if a server that names
#: zero got no request, the end of its limit would not be learned.
MIN_RATE = 0.25

#: Number of incarnations whose limit is remembered.
MAX_LIMITS = 4_096


class NamedLimit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Limit of one incarnation of a server.

    Parameters
    ----------
    server : ServerId
        The server.
    born_ms : int
        Start time of its process, which ends what its former life named.
    rate : float or None
        Requests per second from all instances together; None if the server
        no longer names a limit.
    """

    server: base.ServerId
    born_ms: int
    rate: float | None


class ServerLimits:
    """Limits by server, from its responses and from other instances.

    Parameters
    ----------
    log : EventLog
        Destination of log events.
    cold : ColdServers or None
        Servers that are cold; None if no server is ever cold.

    Attributes
    ----------
    cold : ColdServers or None
        Servers that are cold; None if no server is ever cold.
    """

    def __init__(
        self,
        *,
        log: events.EventLog,
        cold: _cold_servers.ColdServers | None = None,
    ) -> None:
        self._log = log
        self.cold = cold
        self._rates: dict[Incarnation, float] = {}
        self._unreported: dict[Incarnation, float | None] = {}

    def find(self, incarnation: Incarnation) -> float | None:
        """Return the limit of a server; None if it names none.

        The limit is in requests per second, `MIN_RATE` at least.
        """
        return self._rates.get(incarnation)

    def find_cold(self, incarnation: Incarnation) -> float | None:
        """Return the rate of a server while it is cold, else None."""
        return self.cold.find(incarnation) if self.cold is not None else None

    def find_lowest(self, incarnation: Incarnation) -> float | None:
        """Return the lower of the named limit and the cold rate, or None."""
        rates = (self.find(incarnation), self.find_cold(incarnation))
        return min((r for r in rates if r is not None), default=None)

    def list_cold(self) -> list[_cold_servers.ColdServer]:
        """Return all servers that are cold."""
        return self.cold.list_all() if self.cold is not None else []

    def record_response(
        self, incarnation: Incarnation, rate: float | None
    ) -> None:
        """Record what a server's response says; None if it names no limit."""
        if self._set(incarnation, rate, source="response"):
            self._unreported[incarnation] = rate

    def take_unreported(self) -> list[NamedLimit]:
        """Return what responses have changed since the last call."""
        unreported, self._unreported = self._unreported, {}
        return _make_list(unreported.items())

    def list_all(self) -> list[NamedLimit]:
        """Return all limits."""
        return _make_list(self._rates.items())

    def apply(self, limits: Iterable[NamedLimit]) -> None:
        """Record limits that other instances know of."""
        for limit in limits:
            self._set(
                (limit.server, limit.born_ms), limit.rate, source="instance"
            )

    def _set(
        self, incarnation: Incarnation, rate: float | None, *, source: str
    ) -> bool:
        """Set a limit; return whether it has changed."""
        if rate is not None:
            rate = max(rate, MIN_RATE)
        if self._rates.get(incarnation) == rate:
            return False
        self._rates.pop(incarnation, None)
        if rate is not None:
            self._rates[incarnation] = rate
            if len(self._rates) > MAX_LIMITS:
                del self._rates[next(iter(self._rates))]
        self._log.write(
            events.LimitNamed(server=incarnation[0], rate=rate, source=source)
        )
        return True


def _make_list(
    items: Iterable[tuple[Incarnation, float | None]],
) -> list[NamedLimit]:
    return [
        NamedLimit(server=server, born_ms=born_ms, rate=rate)
        for (server, born_ms), rate in items
    ]
