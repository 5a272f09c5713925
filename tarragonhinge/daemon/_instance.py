"""Instance of the router, composed of its components."""

import asyncio
import random
import uuid

from absl import logging

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge.daemon import _platform
from tarragonhinge.daemon import _samples
from tarragonhinge.daemon import _unserved_meter
from tarragonhinge import dispatch
from tarragonhinge import membership
from tarragonhinge import operators
from tarragonhinge import peers
from tarragonhinge import propagation
from tarragonhinge import routing
from tarragonhinge import servers
from tarragonhinge import settings
from tarragonhinge import shards
from tarragonhinge import stores

#: Period at which a draining instance checks for requests in flight.
DRAIN_POLL_PERIOD_MS = 10

#: Time for which a former leader that stops keeps sending redirects, so that
#: peers with an outdated leader address learn the new one.
REDIRECT_GRACE_MS = 500


class Instance:
    """Instance of the router, without its HTTP listeners.

    Parameters
    ----------
    options : Settings
        Validated settings.
    platform : Platform
        Clients of the platform's services.
    transport : PeerTransport
        Transport to the other instances.
    make_client : callable or None
        Creates the client of a backend server; by default, an HTTP client.
    clock : Clock or None
        Clock of this process; by default, a new one.
    seed : int or None
        Seed of the random number generator, for tests.
    """

    def __init__(
        self,
        *,
        options: settings.Settings,
        platform: _platform.Platform,
        transport: peers.PeerTransport,
        make_client: shards.ClientFactory | None = None,
        clock: base.Clock | None = None,
        seed: int | None = None,
    ) -> None:
        self.options = options
        self.incarnation = base.IncarnationId(uuid.uuid4().hex)
        self.clock = clock or base.Clock()
        self.view = configuration.TableView()
        self.instances = membership.InstanceView()
        self.state = membership.InstanceState.STARTING
        self.transport = transport
        self._platform = platform
        self._tasks: list[asyncio.Task] = []
        rng = random.Random(seed)
        committer = stores.Committer(
            table=platform.table, clock=self.clock, rng=rng
        )
        self.store = configuration.ConfigurationStore(
            table=platform.table,
            objects=platform.objects,
            committer=committer,
            clock=self.clock,
        )
        self.editor = configuration.TableEditor(
            store=self.store,
            known=configuration.KnownNames(
                planners=frozenset(shards.PLANNERS.names()),
                dialects=frozenset(servers.DIALECTS.names()),
                histories=frozenset(dispatch.HISTORY_POLICIES.names()),
                pickers=frozenset(admission.PICKERS.names()),
                disciplines=frozenset(admission.DISCIPLINES.names()),
            ),
        )
        self.tokens = operators.TokenCheck(path=options.token_file)
        self.poller = configuration.TablePoller(
            store=self.store, view=self.view
        )
        self.me = membership.InstanceEntry(
            instance=options.name,
            address=options.peers,
            region=options.region,
            zone=options.zone,
        )
        self.propagator = propagation.Propagator(
            me=self.me,
            poller=self.poller,
            view=self.view,
            instance_list=platform.instances,
            instances=self.instances,
            transport=transport,
            clock=self.clock,
            rng=rng,
            seeds=options.seeds,
        )
        self.coordinator = shards.ShardCoordinator(
            me=self.me,
            incarnation=self.incarnation,
            view=self.view,
            instances=self.instances,
            table=platform.table,
            committer=committer,
            transport=transport,
            make_client=make_client or make_http_client,
            clock=self.clock,
            timing=options.timing,
            rng=rng,
        )
        self.unserved_meter = _unserved_meter.UnservedMeter(
            coordinator=self.coordinator, clock=self.clock
        )
        self.dispatcher = dispatch.Dispatcher(
            coordinator=self.coordinator,
            transport=transport,
            table=platform.table,
            clock=self.clock,
        )
        self.cross_region_budgets = routing.CrossRegionBudgets(
            region=options.region,
            view=self.view,
            instances=self.instances,
            clock=self.clock,
        )
        self.entry = routing.Entry(
            directory=routing.LeaderDirectory(
                instances=self.instances, clock=self.clock
            ),
            transport=transport,
            dispatcher=self.dispatcher,
            clock=self.clock,
            view=self.view,
            origin=self.incarnation,
            rng=rng,
            cross_region_budgets=self.cross_region_budgets,
        )
        self.frontend = routing.HttpFrontend(
            entry=self.entry,
            view=self.view,
            region=options.region,
            rng=rng,
            clock=self.clock,
        )

    def is_ready(self) -> bool:
        """Return whether a load balancer should send requests here."""
        return (
            self.state is membership.InstanceState.READY
            and self.view.current.version > 0
            and self.propagator.is_connected()
        )

    async def start(self) -> None:
        """Start the peer transport and all background tasks."""
        await self.transport.start()
        self._tasks = [
            asyncio.create_task(self.propagator.run()),
            asyncio.create_task(self.unserved_meter.run()),
        ]
        self.coordinator.start()
        self.state = membership.InstanceState.READY
        logging.info("instance ready name=%s", self.options.name)

    async def stop(self) -> int:
        """Stop gracefully.

        The instance reports that it is not ready, gives the load balancer
        time to notice, hands over its shards, and completes the requests in
        flight.  It accepts no request whose deadline lies after the end of
        the stop, and none at all once those in flight are completed.

        Returns
        -------
        int
            Number of requests that were cut off.
        """
        self.state = membership.InstanceState.LEAVING
        logging.info("instance leaving name=%s", self.options.name)
        options = self.options
        self.frontend.limit_deadlines(
            self.clock.now() + options.notice_ms + options.limit_ms
        )
        await self.clock.sleep(options.notice_ms)
        await self.coordinator.hand_over(
            self.dispatcher.save_history, options.limit_ms
        )
        stop_at = self.clock.now() + options.limit_ms
        while self.count_requests_in_flight() and self.clock.now() < stop_at:
            await self.clock.sleep(DRAIN_POLL_PERIOD_MS)
        self.frontend.limit_deadlines(self.clock.now())
        await self.clock.sleep(REDIRECT_GRACE_MS)
        cut_off = self.count_requests_in_flight()
        await self.frontend.abort()
        await self.kill()
        logging.info("instance stopped cut_off=%d", cut_off)
        return cut_off

    async def kill(self) -> None:
        """Stop immediately, as if the process had crashed."""
        await base.cancel_tasks(self._tasks)
        await self.coordinator.stop()
        await self.transport.stop()
        await self._platform.close()

    def count_requests_in_flight(self) -> int:
        """Return the number of requests in flight on this instance."""
        in_flight_as_leader = sum(
            leader.owners.count_in_flight()
            for leader in self.coordinator.leaders.values()
        )
        return in_flight_as_leader + self.frontend.in_flight

    def dump(self) -> dict:
        """Return the state of this instance, for operators."""
        leaders = self.coordinator.leaders
        return {
            "instance": self.options.name,
            "incarnation": self.incarnation,
            "region": self.options.region,
            "zone": self.options.zone,
            "state": self.state.value,
            "ready": self.is_ready(),
            "table_version": self.view.current.version,
            "poller": self.propagator.election.is_poller(),
            "connected": self.propagator.is_connected(),
            "limits": self._list_limits(),
            "leads": {n: leader.dump() for n, leader in leaders.items()},
            "stands_by": sorted(self.coordinator.standbys),
            "dispatch": self.dispatcher.dump(),
            "links": self.cross_region_budgets.dump(),
            "outcomes": dict(self.frontend.outcomes),
            "in_flight": self.frontend.in_flight,
        }

    def _list_limits(self) -> dict[str, dict[str, str]]:
        """Return the limits of the services with keys in this region."""
        return {
            row.service: configuration.format_limits(row)
            for row in self.view.current.rows
            if self.options.region in row.homes
        }

    def read_samples(self) -> list[operators.Sample]:
        """Return the current samples of all metrics."""
        return _samples.read_samples(self)


def make_http_client(
    row: configuration.ServiceRow, entry: configuration.ServerEntry
) -> servers.ServerClient:
    """Return an HTTP client of a backend server."""
    return servers.HttpServerClient(
        address=entry.address,
        connection_limit=admission.compute_connections(row),
    )
