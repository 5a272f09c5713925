"""Servers that are cold, and the rate that they take meanwhile.

A cold server crashes well above its rate. What any instance knows of its
coldness is therefore sent to all instances, with the time that is left, since
their clocks differ.
"""

from collections.abc import Iterable
import dataclasses
import enum

import msgspec

from tarragonhinge import base
from tarragonhinge import events

#: Number of servers whose coldness is remembered.
MAX_COLD_SERVERS = 4_096

#: Least extension that is reported to other instances again. Each instance
#: notices a refused connection, and most of them would report the same.
MIN_EXTENSION_MS = 300


class ColdSource(enum.Enum):
    """Evidence that a server is cold.

    ENTRY: its entry in the catalog. HEALTH: a health response, which is
    newer than any other evidence. EVACUATION: its zone was evacuated until
    now. PATH: it refused connections, or all connections to it ended, so that
    another process may answer at its address.
    """

    ENTRY = "entry"
    HEALTH = "health"
    EVACUATION = "evacuation"
    PATH = "path"


#: Evidence that other instances don't get from their views.
_REPORTED = (ColdSource.HEALTH, ColdSource.PATH)


class ColdServer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Coldness of one incarnation of a server.

    Parameters
    ----------
    server : ServerId
        The server.
    born_ms : int
        Start time of its process, as its entry states it.
    left_ms : int
        Time for which it stays cold; 0 if it is cold no longer.
    rate : float
        Requests per second that it takes from all instances together.
    source : ColdSource
        Evidence of its coldness.
    """

    server: base.ServerId
    born_ms: int
    left_ms: int
    rate: float
    source: ColdSource


@dataclasses.dataclass(kw_only=True, slots=True)
class _Coldness:
    """What is known of a server: times by evidence, on this clock.

    Other instances know that it is cold until `told_until`.
    """

    born_ms: int
    rate: float
    until: dict[ColdSource, int]
    told_until: int = 0

    def get_end(self) -> int:
        return max(self.until.values(), default=0)


class ColdServers:
    """Coldness by server, from all evidence of all instances.

    Parameters
    ----------
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, log: events.EventLog, clock: base.Clock) -> None:
        self._log = log
        self._clock = clock
        self._known: dict[base.ServerId, _Coldness] = {}
        self._unreported: dict[base.ServerId, ColdSource] = {}

    def find(self, incarnation: tuple[base.ServerId, int]) -> float | None:
        """Return the rate of a server while it is cold, else None.

        A server that has started again runs at the address of its former
        incarnation, so that the coldness of the newer one counts for both.
        """
        if not self._known:
            return None
        known = self._known.get(incarnation[0])
        if known is None or known.born_ms < incarnation[1]:
            return None
        if known.get_end() <= self._clock.now():
            return None
        return known.rate

    def get_left_ms(self, incarnation: tuple[base.ServerId, int]) -> int:
        """Return the time for which a server stays cold; 0 if it is warm."""
        if self.find(incarnation) is None:
            return 0
        return self._known[incarnation[0]].get_end() - self._clock.now()

    def record(
        self,
        incarnation: tuple[base.ServerId, int],
        *,
        left_ms: int,
        rate: float,
        source: ColdSource,
        is_reported: bool = True,
    ) -> None:
        """Record evidence of this instance.

        Parameters
        ----------
        incarnation : Incarnation
            The server and its start time.
        left_ms : int
            Time for which it stays cold; 0 ends what this source has said.
        rate : float
            Requests per second that it takes meanwhile.
        source : ColdSource
            The evidence.
        is_reported : bool
            Whether other instances are told, if they do not see it themselves.
        """
        server, born_ms = incarnation
        is_news = self._set(
            ColdServer(
                server=server,
                born_ms=born_ms,
                left_ms=left_ms,
                rate=rate,
                source=source,
            )
        )
        if not (is_news and is_reported and source in _REPORTED):
            return
        known = self._known[server]
        until = known.until[source]
        if (
            source is ColdSource.HEALTH
            or until - known.told_until >= MIN_EXTENSION_MS
        ):
            known.told_until = until
            self._unreported[server] = source

    def take_unreported(self) -> list[ColdServer]:
        """Return what other instances have to be told since the last call."""
        unreported, self._unreported = self._unreported, {}
        return [
            self._describe(server, source)
            for server, source in unreported.items()
            if server in self._known
        ]

    def report_again(self) -> None:
        """Report once more what a new coordinator may lack."""
        now = self._clock.now()
        self._unreported = {
            server: source
            for server, known in self._known.items()
            for source, until in known.until.items()
            if source in _REPORTED and until > now
        }

    def list_all(self) -> list[ColdServer]:
        """Return all servers that are cold, with each evidence."""
        now = self._clock.now()
        return [
            self._describe(server, source)
            for server, known in self._known.items()
            for source, until in known.until.items()
            if until > now
        ]

    def list_left_s(self) -> dict[base.ServerId, float]:
        """Return the seconds for which each cold server stays cold."""
        now = self._clock.now()
        return {
            server: (known.get_end() - now) / base.MS_PER_S
            for server, known in self._known.items()
            if known.get_end() > now
        }

    def apply(self, reports: Iterable[ColdServer]) -> None:
        """Record what other instances report."""
        for report in reports:
            if self._set(report) and report.source in _REPORTED:
                known = self._known[report.server]
                known.told_until = known.until[report.source]

    def _describe(
        self, server: base.ServerId, source: ColdSource
    ) -> ColdServer:
        known = self._known[server]
        left_ms = known.until.get(source, 0) - self._clock.now()
        return ColdServer(
            server=server,
            born_ms=known.born_ms,
            left_ms=max(0, left_ms),
            rate=known.rate,
            source=source,
        )

    def _set(self, report: ColdServer) -> bool:
        """Record evidence; return False if a newer start is known."""
        if report.rate <= 0:
            return False
        known = self._known.get(report.server)
        if known is not None and known.born_ms > report.born_ms:
            return False
        now = self._clock.now()
        if known is None or known.born_ms < report.born_ms:
            known = _Coldness(
                born_ms=report.born_ms, rate=report.rate, until={}
            )
            self._known.pop(report.server, None)
            self._unreported.pop(report.server, None)
        was_cold = known.get_end() > now
        known.rate = report.rate
        until = now + max(0, report.left_ms)
        if report.source is ColdSource.HEALTH:
            known.until = {ColdSource.HEALTH: until}
        elif report.source is ColdSource.PATH:
            known.until[report.source] = max(
                until, known.until.get(report.source, 0)
            )
        else:
            known.until[report.source] = until
        is_cold = known.get_end() > now
        self._known[report.server] = known
        if len(self._known) > MAX_COLD_SERVERS:
            oldest = next(iter(self._known))
            del self._known[oldest]
            self._unreported.pop(oldest, None)
        if was_cold != is_cold:
            self._log.write(
                events.ServerCold(
                    server=report.server,
                    for_ms=known.get_end() - now if is_cold else 0,
                    rate=known.rate,
                    source=report.source.value,
                )
            )
        return True
