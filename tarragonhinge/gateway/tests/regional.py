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

HERE = base.Address("127.0.0.1:1")


class Server:
    """Server with a zone, and what happens to requests there.

    Parameters
    ----------
    mode : str
        ``ok``, ``shed``, ``silent``, ``broken`` (the connection breaks off
        after the work) or ``unreachable``.
    """

    def __init__(self, zone, *, mode="ok", work_ms=20, connect_ms=0):
        self.zone = zone
        self.mode = mode
        self.work_ms = work_ms
        self.connect_ms = connect_ms
        self.min_connect_ms = 1
        self.running = 0

    def has_idle(self, *, fresh):
        return False

    def release(self, connection):
        """Do nothing; each request has its own connection."""

    discard = release

    def close(self):
        """Do nothing; there are no idle connections."""

    async def probe(self, *, timeout_ms=0):
        if self.mode == "unreachable":
            return http1.ListenerState.REFUSING
        return http1.ListenerState.ACCEPTING

    async def acquire(self, *, fresh, excluded=()):
        await asyncio.sleep(self.connect_ms / 1_000)
        if self.mode == "unreachable":
            raise http1.UnreachableError(problem="refused", is_refused=True)
        return _Connection(self)


class _Connection:
    def __init__(self, server):
        self._server = server

    def close(self):
        """Do nothing; the exchange is cancelled."""

    async def exchange(self, request, *, recognize):
        server, fields = self._server, dict(request.fields)
        server.arrivals.append((server.name, fields["attempt"]))
        answer = [("attempt", fields["attempt"])]
        server.running += 1
        try:
            if server.mode == "shed":
                answer.append(("not-run", "1"))
            else:
                await asyncio.sleep(server.work_ms / 1_000)
        finally:
            server.running -= 1
        if server.mode == "silent":
            await asyncio.sleep(60)
        if server.mode == "broken":
            raise http1.ExchangeError(problem="broken", remedy="", sent=True)
        answer.append(("load", f"{server.running},0,1"))
        status = 503 if server.mode == "shed" else 200
        return http1.HttpResponse(status=status, fields=answer, body=b"")


class Client:
    """Other instances, which answer at once what they are asked to send."""

    def __init__(self):
        self.calls = []
        self.opened = []
        self.connect_ms = 0
        self.is_out_of_reach = False

    async def send_request(self, peer, request, call, *, on_sent):
        self.opened.append(peer.instance)
        await asyncio.sleep(self.connect_ms / 1_000)
        if self.is_out_of_reach:
            raise forwarding.PeerError(problem="refused", sent=False)
        on_sent()
        self.calls.append((peer.instance, call.route.allowed_regions))
        return forwarding.ForwardedOutcome(
            kind=forwarding.OutcomeKind.ANSWERED, sent_count=1
        ), http1.HttpResponse(
            status=200, fields=[("attempt", ""), ("load", "0,0,1")], body=b""
        )

    async def query_paths(self, peer, query):
        """Answer nothing."""


class Regional:
    """A gateway, its servers, and the requests that it is sent.

    Attributes
    ----------
    arrivals : list of str
        Servers that requests have reached, in order.
    """

    def __init__(self, servers, *, allowed=(), keyed=False, **changes):
        self.clock = testing.ManualClock()
        self.view = catalog.View()
        self.servers = servers
        self.received = []
        for name, server in servers.items():
            server.name, server.arrivals = name, self.received
        self._keyed = keyed
        self._changes = changes
        self._pools = unittest.mock.patch.object(
            http1, "ConnectionPool", lambda address, **_: servers[address[:-2]]
        )
        self.allow(allowed)
        self.list_servers()

    @property
    def arrivals(self):
        return [name for name, _ in self.received]

    def allow(self, regions, **changes):
        """Put a table in force, as a delta of the coordinator does."""
        version = self.view.table.version + 1 if self.view.table else 1
        route = replay.make_route(
            "r", objective_ms=1_000, **{**self._changes, **changes}
        )
        urgent = replay.make_route("urgent", objective_ms=100, priority=0)
        table = catalog.RoutingTable(
            version=base.TableVersion(version),
            routes=(
                catalog.Route(
                    **{
                        **{
                            f: getattr(route, f)
                            for f in route.__struct_fields__
                        },
                        "allowed_regions": tuple(regions),
                    }
                ),
                urgent,
            ),
            services=(
                catalog.Service(
                    name=replay.SERVICE, max_connections=400, keyed=self._keyed
                ),
            ),
        )
        if self.view.table is not None:
            table = catalog.compute_delta(self.view.table, table).apply(
                self.view.table
            )
        self.view.set_table(table)

    def list_servers(self):
        entries = catalog.index_servers(
            catalog.ServerEntry(
                server=base.ServerId(name),
                service=replay.SERVICE,
                address=base.Address(f"{name}:1"),
                zone=base.ZoneName(server.zone),
                slots=1,
                born_ms=1,
            )
            for name, server in self.servers.items()
        )
        self.view.set_servers(entries)

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
        self.response = dict(response.fields)
        return (
            response.status,
            outcome.reason,
            self.clock.now() - began_at,
        )

    def count_attempts(self, outcome):
        """Return how many attempts failed with an outcome."""
        registry = self.gateway.metrics.registry
        name = "tarragonhinge_gateway_attempts_failed_total"
        return registry.get_sample_value(name, {"outcome": outcome}) or 0

    def run(self, check):
        """Run a check on manual time."""

        async def play():
            with self._pools:
                self.gateway = gateway.Gateway(
                    options=gateway.InstanceOptions(
                        instance=base.InstanceId("e1"),
                        zone=base.ZoneName("a1"),
                        region=base.RegionName("a"),
                        zones=ZONES,
                        callers=HERE,
                        health=HERE,
                        peers=HERE,
                        forwarding=HERE,
                        store=HERE,
                        retry_slack=100,
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
                return await check(self)

        return testing.run_manual(play())
