"""Fixture: a gateway on manual time, with servers in zones of regions."""

import asyncio
import random
import unittest.mock

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import forwarding
from tarragonhinge import gateway
from tarragonhinge.gateway.tests import replay
from tarragonhinge import http1
from tarragonhinge import testing

#: Regions of the zones; the gateway is in zone a1.
ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

#: Options that are addresses; nothing listens there.
ADDRESSES = ("callers", "health", "peers", "forwarding", "store")


class Server(replay._Pool):
    """Server with a zone, and what happens to requests there.

    Parameters
    ----------
    mode : str
        ``ok``, ``shed``, ``silent``, ``broken`` (the connection breaks off
        after the work) or ``unreachable``.
    """

    min_connect_ms = 1
    is_new = False
    work_ms = 20
    connect_ms = 0

    def __init__(self, zone, *, mode):
        self.zone = zone
        self.mode = mode

    limit = 24

    def has_idle(self, *, fresh):
        return False

    def release(self, connection):
        """Do nothing; each request has its own connection."""

    discard = release

    def reserve_body(self, count):
        return True

    def release_body(self, count):
        """Do nothing; bodies are not limited."""

    def record_break(self):
        """Do nothing; the server is not cold."""

    def close(self):
        """Do nothing; the exchange is cancelled."""

    async def probe(self, *, timeout_ms=0):
        if self.mode == "unreachable":
            return http1.ListenerState.REFUSING
        return http1.ListenerState.ACCEPTING

    async def acquire(self, **_):
        await asyncio.sleep(self.connect_ms / 1_000)
        if self.mode == "unreachable":
            raise http1.UnreachableError(problem="refused", is_refused=True)
        return self

    async def exchange(self, request, **_):
        self.arrivals.append(self.name)
        attempt = dict(request.fields)["attempt"]
        answer = [("attempt", attempt), ("load", "0,0,1")]
        if self.mode == "shed":
            answer.append(("not-run", "1"))
            return http1.HttpResponse(status=503, fields=answer, body=b"")
        await asyncio.sleep(60 if self.mode == "silent" else 0)
        await asyncio.sleep(self.work_ms / 1_000)
        if self.mode == "broken":
            raise http1.ExchangeError(problem="broken", remedy="", sent=True)
        return http1.HttpResponse(status=200, fields=answer, body=b"")


class Client:
    """Other instances, which answer at once what they are asked to send."""

    def __init__(self):
        self.calls = []
        self.opened = []
        self.connect_ms = 0
        self.is_out_of_reach = self.lacks_connections = False

    async def send_request(self, peer, request, call, *, on_sent, **_):
        self.opened.append(peer.instance)
        await asyncio.sleep(self.connect_ms / 1_000)
        if self.is_out_of_reach or self.lacks_connections:
            raise forwarding.PeerError(
                problem="refused", sent=False, is_local=self.lacks_connections
            )
        on_sent()
        self.calls.append((peer.instance, call.route.allowed_regions))
        outcome = forwarding.ForwardedOutcome(
            kind=forwarding.OutcomeKind.ANSWERED, sent_count=1
        )
        fields = [("attempt", ""), ("load", "0,0,1")]
        return outcome, http1.HttpResponse(status=200, fields=fields, body=b"")

    async def query_paths(self, peer, query):
        """Answer nothing."""


class Regional:
    """A gateway, its servers, and the requests that it is sent.

    Attributes
    ----------
    arrivals : list of str
        Servers that requests have reached, in order.
    """

    def __init__(self, servers, *, allowed=(), keyed=False):
        self.clock = testing.ManualClock()
        self.view = catalog.View()
        self.servers = servers
        self.arrivals = []
        self._keyed = keyed
        entries = []
        for name, server in servers.items():
            server.name, server.arrivals = name, self.arrivals
            entries.append(
                catalog.ServerEntry(
                    server=base.ServerId(name),
                    service=replay.SERVICE,
                    address=base.Address(f"{name}:1"),
                    zone=base.ZoneName(server.zone),
                    slots=1,
                    born_ms=1,
                )
            )
        self.allow(allowed)
        self.view.set_servers(catalog.index_servers(entries))

    def allow(self, regions):
        """Put routes in force, as a delta of the coordinator does."""
        old = self.view.table
        table = catalog.RoutingTable(
            version=base.TableVersion(old.version + 1 if old else 1),
            routes=(
                replay.make_route(
                    "r", objective_ms=1_000, allowed_regions=regions
                ),
                replay.make_route("urgent", objective_ms=100, priority=0),
            ),
            services=(
                catalog.Service(
                    name=replay.SERVICE, max_connections=400, keyed=self._keyed
                ),
            ),
        )
        if old is not None:
            table = catalog.compute_delta(old, table).apply(old)
        self.view.set_table(table)

    def own(self, server, *, fence=1, state=catalog.SegmentState.HELD):
        """Let a server own all keys."""
        segment = catalog.Segment(
            first=0,
            last=catalog.KEY_COUNT - 1,
            server=base.ServerId(server),
            born_ms=1,
            fence=fence,
            state=state,
        )
        self.view.set_owners(
            replay.SERVICE, catalog.OwnerMap(segments=[segment])
        )

    def evacuate(self, *zones):
        self.view.set_evacuated_zones(base.ZoneName(zone) for zone in zones)

    async def send(self, *, route="r", call=None):
        """Send a request; return status, reason and time."""
        began_at = self.clock.now()
        request = http1.HttpRequest(
            method="GET",
            target=f"/{route}/",
            fields=[
                ("host", "h"),
                ("attempt", f"{route}{began_at}"),
                ("deadline", "3000"),
                ("key", "1"),
            ],
        )
        response, outcome = await self.gateway.handle_forwarded(request, call)
        elapsed_ms = self.clock.now() - began_at
        if response.status == 503:
            # Each refusal states when the caller may come back.
            assert float(dict(response.fields)["retry-after"]) > 0
        return response.status, outcome.reason, elapsed_ms

    def count_attempts(self, outcome):
        """Return how many attempts failed with an outcome."""
        registry = self.gateway.metrics.registry
        name = "tarragonhinge_gateway_attempts_failed_total"
        return registry.get_sample_value(name, {"outcome": outcome}) or 0

    def run(self, check):
        """Run a check on manual time."""

        def find_pool(address, **_):
            return self.servers[address.partition(":")[0]]

        async def play():
            with unittest.mock.patch.object(
                http1, "ConnectionPool", find_pool
            ):
                here = dict.fromkeys(ADDRESSES, base.Address("127.0.0.1:1"))
                self.gateway = gateway.Gateway(
                    options=gateway.InstanceOptions(
                        instance=base.InstanceId("e1"),
                        zone=base.ZoneName("a1"),
                        region=base.RegionName("a"),
                        zones=ZONES,
                        retry_slack=100,
                        **here,
                    ),
                    view=self.view,
                    dialect=replay.ReplayDialect(),
                    log=testing.make_event_log(self.clock),
                    clock=self.clock,
                    rng=random.Random(1),
                )
                self.client = Client()
                self.gateway._retrier._detour._client = self.client
                self.gateway.fleet_size.record(1)
                await check(self)

        testing.run_manual(play())
