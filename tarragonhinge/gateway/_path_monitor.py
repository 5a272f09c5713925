"""Finds out which servers this instance can't reach, and who can.

Connections that hang give no error, and those that live on hide that new
ones are refused. Servers that owe a response are therefore tried with new
connections, and so are others once one is out of reach. No caller's request
is used to find out whether a path is open again.
"""

import asyncio
from collections.abc import Coroutine
import random

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge import forwarding
from tarragonhinge.gateway import _cold_watch
from tarragonhinge.gateway import _peer_reports
from tarragonhinge import http1
from tarragonhinge import limits

#: Timeout of a connection that tries a server; the latency between regions is
#: 40 ms.
PROBE_TIMEOUT_MS = 350

#: Time for which a server that reacted need not be tried. A silent cut is not
#: noticed sooner.
CONTACT_VALID_MS = 800

#: Number of other servers that are tried when one is out of reach, or is in
#: reach again. Each of those does the same, so that all are tried soon.
SAMPLE_SIZE = 8

#: Interval at which servers out of reach are tried again, and number of them.
RETRY_INTERVAL_MS = 400
RETRY_BATCH_SIZE = 8

#: Number of servers that are tried to find out whether this instance is cut
#: off from all, so that it can't tell a crash.
SOUNDNESS_SAMPLE_SIZE = 3

#: Interval between queries to other instances, and number of instances that
#: are asked. The first query waits for the servers that are tried meanwhile.
QUERY_INTERVAL_MS = 500
QUERY_DELAY_MS = 30
QUERIED_PEERS = 8

#: Longest interval while no instance that was asked reaches a server.
MAX_QUERY_INTERVAL_MS = 4_000

#: Largest number of servers out of reach of an instance that can coordinate in
#: place of this one, relative to those out of reach here.
MAX_CLOSED_RATIO = 0.5

#: Maximum number of servers in one query, and of those that a query makes
#: another instance try. A server that has reacted lately is not tried for it.
MAX_QUERY_SERVERS = 512
MAX_QUERY_PROBES = 4
REPORTED_CONTACT_MS = 10_000

_State = forwarding.PathState
_REACHABLE = forwarding.PathState.REACHABLE


class PathMonitor:
    """Observes the paths to the servers.

    Parameters
    ----------
    view : View
        Entries of the servers.
    links : ServerLinks
        Links to the servers, with their paths.
    directory : PeerDirectory
        The other instances.
    client : ForwardingClient
        Sends queries to them.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    rng : random.Random
        Chooses the servers and instances that are asked.
    cold_watch : ColdWatch or None
        Recognizes servers that have started again.

    Attributes
    ----------
    reports : PeerReports
        Reports of other instances.
    """

    def __init__(
        self,
        *,
        view: catalog.View,
        links: balancing.ServerLinks,
        directory: forwarding.PeerDirectory,
        client: forwarding.ForwardingClient,
        log: events.EventLog,
        clock: base.Clock,
        rng: random.Random,
        cold_watch: _cold_watch.ColdWatch | None = None,
    ) -> None:
        self._cold_watch = cold_watch
        self._view = view
        self._links = links
        self._directory = directory
        self._client = client
        self._log = log
        self._clock = clock
        self._rng = rng
        self._closed: dict[limits.Incarnation, balancing.ServerLink] = {}
        self._probes: dict[limits.Incarnation, asyncio.Task] = {}
        self.reports = _peer_reports.PeerReports(clock=clock)
        self._watchers: dict[str, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()
        self._has_news = asyncio.Event()
        self._is_cut_confirmed = False

    def list_closed(self) -> list[balancing.ServerLink]:
        """Return the links to servers that are out of reach."""
        for incarnation, link in list(self._closed.items()):
            if not self._links.is_current(link):
                del self._closed[incarnation]
        return list(self._closed.values())

    def get_closed_count(self) -> int:
        """Return the number of servers that are out of reach."""
        return len(self.list_closed())

    def get_closed_ms(self) -> int:
        """Return the time since which a server is out of reach; 0 if none."""
        return max(
            (link.path.get_closed_ms() for link in self.list_closed()),
            default=0,
        )

    def suspect(self, link: balancing.ServerLink, since: int) -> None:
        """Try a server that owes a response, unless it has reacted since.

        Parameters
        ----------
        link : ServerLink
            Link to the server.
        since : int
            Time from which it owes the response.
        """
        if not link.path.is_closed and not link.path.had_contact_since(since):
            self._start_probe(link)

    def suspect_owner(self, server: base.ServerId, since: int) -> None:
        """Try an owner of keys that owes a response to a grant."""
        link = self._links.find(server)
        if link is not None:
            self.suspect(link, since)

    def record_connection(self, link: balancing.ServerLink) -> None:
        """Record an opened connection."""
        was_refused = link.path.is_refused
        if link.path.record_connection():
            self._handle_opened(link)
            if was_refused:
                self._record_refusing(link)

    def record_response(self, link: balancing.ServerLink) -> None:
        """Record a response of a server."""
        if link.path.record_response():
            self._handle_opened(link)

    def record_failure(
        self, link: balancing.ServerLink, *, is_refused: bool, began_at: int
    ) -> None:
        """Record a connection that could not be opened."""
        if link.path.record_failure(is_refused=is_refused, began_at=began_at):
            self._handle_closed(link)
        if link.path.is_refused:
            self._record_refusing(link)

    def _record_refusing(self, link: balancing.ServerLink) -> None:
        if self._cold_watch is not None:
            self._cold_watch.record_refusing(
                link, closed_count=self.get_closed_count()
            )

    def _handle_closed(self, link: balancing.ServerLink) -> None:
        self._closed[link.incarnation] = link
        self._log.write(
            events.PathChanged(
                server=link.entry.server,
                reachable=False,
                reason="refused" if link.path.is_refused else "silent",
            )
        )
        since = self._clock.now() - CONTACT_VALID_MS
        self._probe_some(
            [
                other
                for other in self._list_links()
                if not other.path.is_closed
                and not other.path.had_contact_since(since)
            ]
        )
        self._has_news.set()
        for watch in (self._retry_closed, self._query_peers):
            task = self._watchers.get(watch.__name__)
            if task is None or task.done():
                self._watchers[watch.__name__] = self._start(watch())

    def _handle_opened(self, link: balancing.ServerLink) -> None:
        if self._cold_watch is not None:
            link.load.restart_pace()
        self._closed.pop(link.incarnation, None)
        self._log.write(
            events.PathChanged(
                server=link.entry.server, reachable=True, reason="connected"
            )
        )
        self._probe_some(self.list_closed())

    def _probe_some(self, links: list[balancing.ServerLink]) -> None:
        idle = [link for link in links if link.incarnation not in self._probes]
        for link in self._rng.sample(idle, min(SAMPLE_SIZE, len(idle))):
            self._start_probe(link)

    def _list_links(self) -> list[balancing.ServerLink]:
        """Return the links to all servers of the routing table."""
        table = self._view.table
        services = {s.name for s in table.services} if table else set()
        return [
            self._links.find(entry.server)
            for entry in list(self._view.servers.values())
            if entry.service in services
        ]

    def _start_probe(self, link: balancing.ServerLink) -> asyncio.Task:
        """Try a server, unless it is being tried already."""
        incarnation = link.incarnation
        probe = self._probes.get(incarnation)
        if probe is None:
            probe = self._start(self._probe(link))
            self._probes[incarnation] = probe
            probe.add_done_callback(lambda _: self._probes.pop(incarnation))
        return probe

    async def probe(self, link: balancing.ServerLink) -> http1.ListenerState:
        """Find out whether a server accepts connections."""
        return await asyncio.shield(self._start_probe(link))

    async def _probe(self, link: balancing.ServerLink) -> http1.ListenerState:
        began_at = self._clock.now()
        state = await link.pool.probe(timeout_ms=PROBE_TIMEOUT_MS)
        if state is http1.ListenerState.ACCEPTING:
            self.record_connection(link)
        else:
            is_refused = state is http1.ListenerState.REFUSING
            self.record_failure(link, is_refused=is_refused, began_at=began_at)
        return state

    def _start(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _retry_closed(self) -> None:
        """Try servers again while any is out of reach, in turn.

        New servers may be out of reach, too.
        """
        turn: list[limits.Incarnation] = []
        while self.list_closed():
            await self._clock.sleep(RETRY_INTERVAL_MS)
            closed = {link.incarnation: link for link in self.list_closed()}
            turn = [server for server in turn if server in closed]
            turn = turn or list(closed)
            batch, turn = turn[:RETRY_BATCH_SIZE], turn[RETRY_BATCH_SIZE:]
            for server in batch:
                self._start_probe(closed[server])
            self._probe_some(
                [link for link in self._list_links() if link.path.is_untried]
            )

    async def _query_peers(self) -> None:
        """Ask other instances while any server is out of reach."""
        interval_ms = QUERY_INTERVAL_MS
        self._is_cut_confirmed = False
        while self.list_closed():
            self._has_news.clear()
            await self._clock.sleep(QUERY_DELAY_MS)
            servers = [link.incarnation for link in self.list_closed()]
            reports = await asyncio.gather(
                *(
                    self._query(peer, servers[:MAX_QUERY_SERVERS])
                    for peer in self._choose_queried()
                )
            )
            await self._confirm_cut()
            if any(_REACHABLE in report for report in reports if report):
                interval_ms = QUERY_INTERVAL_MS
            else:
                interval_ms = min(2 * interval_ms, MAX_QUERY_INTERVAL_MS)
            try:
                async with asyncio.timeout(interval_ms / base.MS_PER_S):
                    await self._has_news.wait()
                interval_ms = QUERY_INTERVAL_MS
            except TimeoutError:
                continue

    def _choose_queried(self) -> list[forwarding.PeerInstance]:
        """Return the instances to ask, half of them with useful reports."""
        peers = self._directory.list_all()
        self._rng.shuffle(peers)
        servers = [link.incarnation for link in self.list_closed()]
        useful = [
            peer
            for peer in peers
            if self.reports.reaches_any(peer.instance, servers)
        ]
        useful = useful[: QUERIED_PEERS // 2]
        others = [peer for peer in peers if peer not in useful]
        return useful + others[: QUERIED_PEERS - len(useful)]

    async def _query(
        self,
        peer: forwarding.PeerInstance,
        servers: list[limits.Incarnation],
        *,
        is_fresh: bool = False,
    ) -> list[forwarding.PathState] | None:
        report = await self._client.query_paths(
            peer, forwarding.PathQuery(servers=servers, is_fresh=is_fresh)
        )
        if report is None:
            self.reports.forget(peer.instance)
            return None
        self.reports.record(
            peer.instance,
            dict(zip(servers, report.states, strict=True)),
            closed_count=report.closed_count,
        )
        return report.states

    def is_cut_off(self) -> bool:
        """Return whether another instance could renew grants that it can't.

        The other one reaches owners of keys that are out of reach here, as it
        has found out on request, and reaches far more servers, some of which
        may have ended.
        """
        return self._is_cut_confirmed and bool(
            self._list_helpers(self._list_closed_owners())
        )

    def _list_closed_owners(self) -> list[limits.Incarnation]:
        return [
            link.incarnation
            for link in self.list_closed()
            if self._links.is_keyed(link)
        ]

    def _list_helpers(
        self, owners: list[limits.Incarnation]
    ) -> list[forwarding.PeerInstance]:
        """Return instances that report to reach owners, and far more servers.

        A report may rest on a response from before a server has ended.
        """
        most = MAX_CLOSED_RATIO * self.get_closed_count()
        return [
            peer
            for peer in self._directory.list_all()
            if self.reports.reaches_any(peer.instance, owners)
            and self.reports.get_closed_count(peer.instance) <= most
        ]

    async def _confirm_cut(self) -> None:
        """Find out whether others reach owners now, and not only lately."""
        owners = self._list_closed_owners()
        helpers = self._list_helpers(owners)[:QUERIED_PEERS]
        sample = self._rng.sample(owners, min(MAX_QUERY_PROBES, len(owners)))
        reports = await asyncio.gather(
            *(self._query(peer, sample, is_fresh=True) for peer in helpers)
        )
        self._is_cut_confirmed = any(
            _REACHABLE in report for report in reports if report
        )

    async def confirm_end(self, link: balancing.ServerLink) -> bool:
        """Return whether a server that refuses connections has ended.

        This instance may be cut off from it. Others confirm that no process
        listens, and none of them reaches it.
        """
        peers = self._directory.list_all()
        if len(peers) > QUERIED_PEERS:
            peers = self._rng.sample(peers, QUERIED_PEERS)
        reports = await asyncio.gather(
            *(
                self._query(peer, [link.incarnation], is_fresh=True)
                for peer in peers
            )
        )
        states = [report[0] for report in reports if report]
        if not states:
            return await self._is_sound(link)
        return _State.REFUSED in states and _REACHABLE not in states

    async def _is_sound(self, link: balancing.ServerLink) -> bool:
        """Return whether this instance reaches any other server now."""
        others = [
            other
            for other in self._list_links()
            if other.entry.server != link.entry.server
        ]
        if not others:
            return True
        sample = self._rng.sample(
            others, min(SOUNDNESS_SAMPLE_SIZE, len(others))
        )
        states = await asyncio.gather(*(self.probe(other) for other in sample))
        return http1.ListenerState.ACCEPTING in states

    async def report(
        self, query: forwarding.PathQuery
    ) -> forwarding.PathReport:
        """Answer the query of another instance."""
        left = MAX_QUERY_PROBES
        reports = []
        for incarnation in query.servers[:MAX_QUERY_SERVERS]:
            link = self._links.find(incarnation[0])
            if link is None or link.incarnation != incarnation:
                link = None
            may_probe = left > 0
            if link is not None and not self._is_known(link, query):
                left -= 1
            reports.append(self._report_path(link, query, may_probe))
        states = await asyncio.gather(*reports)
        return forwarding.PathReport(
            states=states, closed_count=self.get_closed_count()
        )

    def _is_known(
        self, link: balancing.ServerLink, query: forwarding.PathQuery
    ) -> bool:
        """Return whether a server need not be tried for a query."""
        since = self._clock.now() - REPORTED_CONTACT_MS
        return not query.is_fresh and (
            link.path.is_closed or link.path.had_contact_since(since)
        )

    async def _report_path(
        self,
        link: balancing.ServerLink | None,
        query: forwarding.PathQuery,
        may_probe: bool,
    ) -> forwarding.PathState:
        if link is None:
            return _State.UNKNOWN
        if not self._is_known(link, query):
            if not may_probe:
                return _State.UNKNOWN
            await self.probe(link)
        if not link.path.is_closed:
            return _REACHABLE
        if (
            query.is_fresh
            and link.path.is_refused
            and await self._is_sound(link)
        ):
            return _State.REFUSED
        return _State.UNREACHABLE

    def close(self) -> None:
        """End all attempts to connect."""
        for task in list(self._tasks):
            task.cancel()
