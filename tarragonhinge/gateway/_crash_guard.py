"""Recognizes crashed servers and keeps crashing requests from others."""

import asyncio
from collections.abc import Sequence
import contextlib
import dataclasses

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.gateway import _path_monitor
from tarragonhinge import http1
from tarragonhinge import jobs
from tarragonhinge import limits
from tarragonhinge import membership
from tarragonhinge import quarantine

#: Delays before the attempts to connect to a server that broke off a request.
#: The first one may find the listener of a process that is about to end, and
#: a link that is congested or cut for a moment answers none of them.
PROBE_DELAYS_MS = (0, 200, 600)

#: Interval at which the entry of a server that accepts connections again is
#: compared with the incarnation that broke off, and number of comparisons.
REBORN_CHECK_MS = 500
REBORN_CHECKS = 6

#: Longest time for which a retry waits for the reason of a failure.
FINDING_TIMEOUT_MS = 200

#: Number of crashes from which a request runs alone at a server and is not
#: retried, so that the next crash tells who caused it.
ISOLATED_CRASHES = 2

#: Number of servers to choose from for a suspect. All instances rank them
#: alike, so that attempts of one suspect meet at few servers, and attempts of
#: different ones at others.
SUSPECT_SERVERS = 2

#: Fraction of the round trip time within which a request that was sent cannot
#: have reached a server whose end is already known here.
_TRANSIT_FRACTION = 0.5


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Flight:
    """An attempt from its placement at a server to its end.

    Parameters
    ----------
    job : Job
        The request.
    link : ServerLink
        Link to the server.
    connection : ServerConnection or None
        Connection on which it was sent; None before that.
    sent_at : int
        Time at which it was sent.
    is_aborted : bool
        Whether this instance has ended it, since the request is refused now.
    """

    job: jobs.Job
    link: balancing.ServerLink
    connection: http1.ServerConnection | None = None
    sent_at: int = 0
    is_aborted: bool = False


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Breakdown:
    """Attempts that one server broke off.

    Parameters
    ----------
    flights : set of Flight
        The attempts, and those that are still open there.
    finding : Event
        Set once the server has reacted to an attempt to connect.
    is_probed : bool
        Whether no further attempts to connect are made.
    """

    flights: set[Flight]
    finding: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    is_probed: bool = False


class CrashGuard(balancing.ServerPreference):
    """Attributes crashes of servers to requests, and refuses these.

    Parameters
    ----------
    view : View
        Entries of the servers.
    ledger : CrashLedger
        Crashes that this and other instances have seen.
    monitor : PathMonitor
        Tells servers that have ended from those out of reach.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    trials : Trials
        Trials for refused requests.
    crash_count : int
        Number of crashes that this instance has recognized.
    """

    def __init__(
        self,
        *,
        view: catalog.View,
        ledger: quarantine.CrashLedger,
        monitor: _path_monitor.PathMonitor,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._view = view
        self._ledger = ledger
        self._monitor = monitor
        self._log = log
        self._clock = clock
        self._flights: dict[limits.Incarnation, set[Flight]] = {}
        self._breakdowns: dict[limits.Incarnation, _Breakdown] = {}
        self._checks: set[asyncio.Task] = set()
        self.trials = quarantine.Trials()
        self.crash_count = 0
        ledger.add_refusal_handler(self._abort)

    async def admit(self, job: jobs.Job) -> jobs.Refused | None:
        """Return the refusal of a request that crashes servers.

        None if it may be sent, in which case it may be in a trial.
        """
        if not self.is_refused(job):
            return None
        if job.may_have_trial:
            job.may_have_trial = False
            job.trial = await self.trials.request(
                job.digest, self._find_version(job.service.name)
            )
        job.trace.add(
            events.Quarantined(
                request=job.metadata.attempt,
                digest=job.digest.hex(),
                crashes=self._ledger.count_crashes(job.digest),
                trial=job.trial,
            )
        )
        if job.trial is None:
            return jobs.Refused.for_quarantined(is_sent=job.may_have_run)
        return None

    def _find_version(self, service: base.ServiceName) -> str | None:
        """Return the version that all ready servers of a service run."""
        versions = {e.version for e in self._view.list_servers(service)}
        return (versions.pop() or None) if len(versions) == 1 else None

    def is_refused(self, job: jobs.Job) -> bool:
        """Return whether a request is refused and has no trial."""
        return (
            not self._ledger.is_idle
            and job.trial is None
            and self._ledger.is_refused(job.digest)
        )

    def may_fail_over(self, job: jobs.Job) -> bool:
        """Return whether a second server may get a request at once."""
        return not self._is_suspect(job)

    def may_retry(self, job: jobs.Job, *, may_have_run: bool) -> bool:
        """Return whether a request may be sent again."""
        if job.trial is not None and job.sent_count:
            return False
        return not (may_have_run and self._is_isolated(job))

    def _is_isolated(self, job: jobs.Job) -> bool:
        return (
            self._ledger.most_crashes >= ISOLATED_CRASHES
            and self._ledger.count_crashes(job.digest) >= ISOLATED_CRASHES
        )

    def _is_suspect(self, job: jobs.Job) -> bool:
        return (
            not self._ledger.is_idle
            and self._ledger.count_crashes(job.digest) > 0
        )

    def list_preferred(
        self, job: jobs.Job, links: Sequence[balancing.ServerLink]
    ) -> list[balancing.ServerLink]:
        """Return the servers at which a request does not meet a suspect.

        Two suspects at one server could not be told apart after a crash.
        """
        if self._is_suspect(job):
            return self._list_for_suspect(job, links)
        if self._ledger.most_crashes < ISOLATED_CRASHES:
            return list(links)
        return [
            link
            for link in links
            if not any(map(self._is_isolated, self._list_jobs(link)))
        ]

    def _list_for_suspect(
        self, job: jobs.Job, links: Sequence[balancing.ServerLink]
    ) -> list[balancing.ServerLink]:
        is_unwanted = self._is_suspect
        if self._is_isolated(job):
            is_unwanted = bool
        by_server = {
            link.entry.server: link
            for link in links
            if not any(
                other.digest != job.digest and is_unwanted(other)
                for other in self._list_jobs(link)
            )
        }
        ranked = membership.rank_names(job.digest.hex(), by_server)
        return [by_server[server] for server in ranked[:SUSPECT_SERVERS]]

    def _list_jobs(self, link: balancing.ServerLink) -> list[jobs.Job]:
        """Return the requests of this instance at a server."""
        return [f.job for f in self._flights.get(link.incarnation, ())]

    def begin(self, job: jobs.Job, link: balancing.ServerLink) -> Flight:
        """Record that a request is placed at a server."""
        flight = Flight(job=job, link=link)
        self._flights.setdefault(link.incarnation, set()).add(flight)
        return flight

    def record_sent(
        self, flight: Flight, connection: http1.ServerConnection
    ) -> None:
        """Record that a request is sent."""
        flight.connection = connection
        flight.sent_at = self._clock.now()

    def end(self, flight: Flight) -> None:
        """Record that a request is no longer at a server."""
        incarnation = flight.link.incarnation
        flights = self._flights.get(incarnation)
        if flights is not None:
            flights.discard(flight)
            if not flights:
                del self._flights[incarnation]

    def record_answer(self, job: jobs.Job, link: balancing.ServerLink) -> None:
        """Clear a request of suspicion, which a server has completed."""
        breakdown = self._breakdowns.get(link.incarnation)
        if breakdown is not None:
            breakdown.flights = {
                flight for flight in breakdown.flights if flight.job is not job
            }
        self._ledger.record_answer(job.digest)

    def record_break(self, flight: Flight) -> None:
        """Find out whether the server of a request has crashed."""
        link = flight.link
        breakdown = self._breakdowns.get(link.incarnation)
        if breakdown is not None and not breakdown.is_probed:
            breakdown.flights.add(flight)
            return
        breakdown = _Breakdown(
            flights={flight, *self._flights.get(link.incarnation, ())}
        )
        self._breakdowns[link.incarnation] = breakdown
        check = asyncio.create_task(
            self._check(link, breakdown, self._clock.now())
        )
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    def close(self, job: jobs.Job) -> None:
        """Drop a request that has ended, but for the digest of a suspect.

        Whether its server has crashed turns out some seconds later.
        """
        is_suspect = any(
            flight.job is job
            for breakdown in self._breakdowns.values()
            for flight in breakdown.flights
        )
        job.close(keeps_digest=is_suspect)

    async def wait_for_finding(self, link: balancing.ServerLink) -> None:
        """Wait for the reason why a server broke off a request."""
        breakdown = self._breakdowns.get(link.incarnation)
        if breakdown is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINDING_TIMEOUT_MS / base.MS_PER_S):
                await breakdown.finding.wait()

    async def _check(
        self, link: balancing.ServerLink, breakdown: _Breakdown, broke_at: int
    ) -> None:
        """Record a crash, unless the server turns out to be running."""
        try:
            proof = await self._find_proof(link, breakdown)
            if proof is not None and not self._is_leaving(link, proof):
                self._record_crash(link, breakdown, broke_at, proof)
        finally:
            breakdown.finding.set()
            if self._breakdowns.get(link.incarnation) is breakdown:
                del self._breakdowns[link.incarnation]

    async def _find_proof(
        self, link: balancing.ServerLink, breakdown: _Breakdown
    ) -> str | None:
        """Return what proves that a server has crashed, or None."""
        accepted_count = 0
        for delay_ms in PROBE_DELAYS_MS:
            await self._clock.sleep(delay_ms)
            if accepted_count and link.pool.has_idle(fresh=False):
                # The kernel closes the connections of a process that ends.
                break
            state = await self._monitor.probe(link)
            if state is http1.ListenerState.REFUSING:
                if await self._monitor.confirm_end(link):
                    return "refused"
                break
            if state is http1.ListenerState.ACCEPTING:
                breakdown.finding.set()
                accepted_count += 1
            if accepted_count > 1:
                break
        breakdown.is_probed = True
        for _ in range(REBORN_CHECKS):
            if self._is_reborn(link):
                return "reborn"
            await self._clock.sleep(REBORN_CHECK_MS)
        return None

    def _is_reborn(self, link: balancing.ServerLink) -> bool:
        entry = self._view.servers.get(link.entry.server)
        return entry is not None and entry.born_ms > link.entry.born_ms

    def _is_leaving(self, link: balancing.ServerLink, proof: str) -> bool:
        """Return whether a server has announced its end.

        Some servers only remove their entry.
        """
        if proof == "reborn":
            return False
        entry = self._view.servers.get(link.entry.server)
        return (
            not link.entry.is_same_incarnation(entry)
            or entry.state is catalog.ServerState.DRAINING
        )

    def _record_crash(
        self,
        link: balancing.ServerLink,
        breakdown: _Breakdown,
        broke_at: int,
        proof: str,
    ) -> None:
        transit_ms = _TRANSIT_FRACTION * link.get_round_trip_ms()
        jobs = [
            flight.job
            for flight in breakdown.flights
            if flight.connection is not None
            and flight.sent_at + transit_ms <= broke_at
        ]
        requests = sorted({job.digest for job in jobs})
        self.crash_count += 1
        self._log.write(
            events.ServerCrashed(
                server=link.entry.server,
                born_ms=link.entry.born_ms,
                proof=proof,
                requests=[digest.hex() for digest in requests],
            )
        )
        self._ledger.record_crash(
            link.incarnation, requests, version=link.entry.version or ""
        )
        for job in jobs:
            job.trace.add(
                events.CrashWitnessed(
                    request=job.metadata.attempt,
                    digest=job.digest.hex(),
                    server=link.entry.server,
                    route=job.route.name,
                    crashes=self._ledger.count_crashes(job.digest),
                )
            )

    def _abort(self, digest: quarantine.RequestDigest) -> None:
        """End the attempts of a request that is refused from now on.

        Most servers drop a request whose connection closes. One that may be
        refused wrongly goes on, since a response clears it.
        """
        if not self._ledger.get_refusals()[digest].is_certain:
            return
        flights = [f for there in self._flights.values() for f in there]
        for flight in flights:
            if flight.connection is None or flight.job.trial is not None:
                continue
            if flight.job.digest == digest:
                flight.is_aborted = True
                flight.connection.close()
