"""Replays a load on manual time, through whole gateways.

Servers run a number of requests at a time, in the order of their arrival, and
connections take no time but that of the network. Callers repeat a request that
was refused, as Retry-After asks.
"""

import asyncio
import collections
import contextlib
import contextvars
import dataclasses
import math
import random
import unittest.mock

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import gateway
from tarragonhinge.gateway import _reporter
from tarragonhinge import http1
from tarragonhinge import jobs
from tarragonhinge import testing

#: Interval at which instances hear of each other's loads.
RELAY_INTERVAL_MS = 50

#: Longest wait of a caller before a retry, as a fraction of the time left.
MAX_RETRY_WAIT_FRACTION = 1 / 3

CALLER_RETRIES = 2

#: Availability zone of the instance that handles a request.
_ZONE = contextvars.ContextVar("zone", default="z")

SERVICE = base.ServiceName("desk")


class ReplayDialect(jobs.Dialect):
    """Header fields of the replay."""

    def read_request(self, fields):
        """Parse the header fields of a caller's request."""
        key = fields.get("key")
        return jobs.RequestMetadata(
            attempt=fields["attempt"],
            deadline_ms=int(fields["deadline"]),
            key=int(key) if key else None,
        )

    def make_fields(self, *, deadline_ms, server):
        """Return the header fields to set on a forwarded request."""
        return [("deadline", str(deadline_ms)), ("server", server)]

    def is_replaced(self, name):
        """Return whether `make_fields` replaces the field `name`."""
        return name == "deadline"

    def read_answer(self, fields):
        """Parse the header fields of a server's response."""
        running, waiting, slots = map(int, fields["load"].split(","))
        return jobs.ResponseMetadata(
            attempt=fields["attempt"],
            sealed="not-run" not in fields,
            not_run="not-run" in fields,
            load=jobs.ReportedLoad(
                running=running, waiting=waiting, slots=slots
            ),
        )


class ReplayServer:
    """Server with a queue, which refuses or resets what does not fit.

    Parameters
    ----------
    name : str
        Its id.
    slots, queue : int
        Number of requests that run and that wait at most.
    slowness : float
        Factor of the duration of its work.
    resets : bool
        Whether it resets connections while its queue is full, instead of
        refusing requests.
    shed_share : float
        Share of the requests that it refuses whatever its load.
    born_ms : int
        Wall-clock time of its start.
    zone : str
        Its availability zone.
    keep_alive_ms : int or None
        Time for which it states to keep an idle connection.
    forgets_after_ms : float
        Idle time after which it resets a connection that is used again.

    Attributes
    ----------
    started : list of str
        Requests that it has begun, in order.
    resets_sent : int
        Number of connections that it has reset since it was full.
    most : int
        Largest number of requests that it has had at a time.
    opened, forgotten : int
        Number of connections opened, and of those that it has forgotten.
    """

    def __init__(
        self,
        name,
        *,
        slots=3,
        queue=12,
        slowness=1.0,
        resets=False,
        shed_share=0.0,
        born_ms=1,
        zone="z",
        keep_alive_ms=None,
        forgets_after_ms=math.inf,
    ):
        self.name = name
        self.born_ms = born_ms
        self.most = 0
        self.slots = slots
        self.queue = queue
        self.slowness = slowness
        self.resets = resets
        self.shed_share = shed_share
        self._rng = random.Random(name)
        self.zone = base.ZoneName(zone)
        self.keep_alive_ms = keep_alive_ms
        self.forgets_after_ms = forgets_after_ms
        self.opened = self.forgotten = 0
        self.busy_ms = 0
        self.started = []
        self.resets_sent = 0
        self._running = 0
        self._waiting = collections.deque()

    @property
    def is_full(self):
        """Whether it can't queue another request."""
        waiting = [turn for turn in self._waiting if not turn.cancelled()]
        return len(waiting) >= self.queue

    async def run(self, attempt, work_ms, *, clock):
        """Run a request; return whether it was run."""
        if self._rng.random() < self.shed_share:
            return False
        if self._running >= self.slots:
            if self.is_full:
                return False
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            self.most = max(self.most, self._running + len(self._waiting))
            try:
                await turn
            except asyncio.CancelledError:
                if not turn.cancelled():
                    self._end()
                raise
        else:
            self._running += 1
        self.started.append(attempt)
        self.busy_ms += round(work_ms * self.slowness)
        try:
            await clock.sleep(round(work_ms * self.slowness))
        finally:
            self._end()
        return True

    def _end(self):
        self._running -= 1
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.cancelled():
                self._running += 1
                turn.set_result(None)
                return

    def describe_load(self):
        """Return its load as in a response."""
        return f"{self._running},{len(self._waiting)},{self.slots}"


class _Connection:
    def __init__(self, server, *, network_ms, clock):
        self._server = server
        self._network_ms = network_ms
        self._clock = clock
        self.used_at = clock.now()
        self.keep_alive_ms = server.keep_alive_ms
        self.is_new = True

    def is_reusable(self):
        return True

    def has_ended_early(self, idle_ms):
        return False

    async def ends_within(self, time_ms):
        await self._clock.sleep(round(time_ms))
        return False

    def close(self):
        """Do nothing; the exchange is cancelled."""

    async def exchange(self, request, *, recognize):
        fields = dict(request.fields)
        idle_ms = self._clock.now() - self.used_at
        await self._clock.sleep(self._network_ms)
        if not self.is_new and idle_ms > self._server.forgets_after_ms:
            self._server.forgotten += 1
            await self._clock.sleep(self._network_ms)
            raise _make_reset()
        has_run = await self._server.run(
            fields["attempt"], int(fields["work"]), clock=self._clock
        )
        await self._clock.sleep(self._network_ms)
        if not has_run and self._server.resets and self._server.is_full:
            self._server.resets_sent += 1
            raise _make_reset()
        self.used_at = self._clock.now()
        self.is_new = False
        answer = [
            ("attempt", fields["attempt"]),
            ("load", self._server.describe_load()),
        ]
        if not has_run:
            answer.append(("not-run", "1"))
        return http1.HttpResponse(
            status=200 if has_run else 503, fields=answer, body=b""
        )


def _make_reset():
    return http1.ExchangeError(
        problem="the connection was reset",
        remedy="",
        sent=True,
        is_reset=True,
    )


class _Pool(http1.ConnectionPool):
    """Connections to a replayed server."""

    def __init__(self, server, *, network_ms, **options):
        super().__init__(**options)
        self._server = server
        self._network_ms = network_ms

    async def _open(self, *, timeout_ms):
        self._server.opened += 1
        await self._clock.sleep(2 * self._network_ms)
        return _Connection(
            self._server, network_ms=self._network_ms, clock=self._clock
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """What a caller got in the end.

    Parameters
    ----------
    route : str
        Route of the request.
    status : int
        Status of the last response.
    elapsed_ms : int
        Time since the first attempt.
    attempts : int
        Number of attempts.
    """

    route: str
    status: int
    elapsed_ms: int
    attempts: int


class Replay:
    """Instances that share servers, and their callers.

    Parameters
    ----------
    servers : sequence of ReplayServer
        The servers of the one service.
    routes : sequence of Route
        Routes, whose names are the first part of a request's path.
    instances : int
        Number of instances.
    network_ms : int
        Network delay to a server, one way.
    keyed : bool
        Whether the first server owns all keys of the service.
    divided : bool
        Whether each server owns an equal part of the keys instead.
    retry_slack : int
        Retries in a window beyond their share of the requests.
    warm_up_ms : int
        Time for which a server of the service is cold after its start.
    regions : dict
        Region of each availability zone, in turn those of the instances.
    far_ms : int
        Network delay to a server in another region, one way.
    """

    def __init__(
        self,
        *,
        servers,
        routes,
        instances=4,
        network_ms=1,
        keyed=False,
        divided=False,
        retry_slack=100,
        warm_up_ms=0,
        regions=None,
        far_ms=20,
    ):
        self.clock = testing.ManualClock()
        self.servers = {f"{s.name}:1": s for s in servers}
        self.routes = {route.name: route for route in routes}
        self.answers = []
        self._network_ms = network_ms
        self._keyed = keyed or divided
        self._divided = divided
        self._warm_up_ms = warm_up_ms
        self._retry_slack = retry_slack
        self._regions = {
            base.ZoneName(zone): base.RegionName(region)
            for zone, region in (regions or {"z": "r"}).items()
        }
        self._far_ms = far_ms
        self._count = 0
        self.gateways = []
        self._instances = instances

    def _get_zone(self, number):
        zones = list(self._regions)
        return zones[number % len(zones)]

    def _make_pool_class(self):
        def make_pool(*, address, **options):
            server = self.servers[address]
            # Pools are made while their instance starts or places a request.
            own = self._regions[_ZONE.get()]
            is_far = self._regions[server.zone] != own
            return _Pool(
                server,
                network_ms=self._far_ms if is_far else self._network_ms,
                address=address,
                **options,
            )

        return make_pool

    def _start(self):
        table = catalog.RoutingTable(
            version=base.TableVersion(1),
            routes=tuple(self.routes.values()),
            services=(
                catalog.Service(
                    name=SERVICE,
                    max_connections=400,
                    keyed=self._keyed,
                    warm_up_ms=self._warm_up_ms,
                ),
            ),
        )
        entries = catalog.index_servers(
            catalog.ServerEntry(
                server=base.ServerId(server.name),
                service=SERVICE,
                address=base.Address(address),
                zone=server.zone,
                slots=server.slots,
                born_ms=server.born_ms,
            )
            for address, server in self.servers.items()
        )
        for number in range(self._instances):
            view = catalog.View()
            here = base.Address("127.0.0.1:1")
            zone = self._get_zone(number)
            instance = gateway.Gateway(
                options=gateway.InstanceOptions(
                    instance=base.InstanceId(f"e{number}"),
                    zone=zone,
                    region=self._regions[zone],
                    zones=self._regions,
                    callers=here,
                    health=here,
                    peers=here,
                    forwarding=here,
                    store=here,
                    retry_slack=self._retry_slack,
                ),
                view=view,
                dialect=ReplayDialect(),
                log=testing.make_event_log(self.clock),
                clock=self.clock,
                rng=random.Random(number),
            )
            instance.fleet_size.record(self._instances)
            view.set_table(table)
            view.set_servers(entries)
            if self._keyed:
                owners = list(entries) if self._divided else list(entries)[:1]
                ends = [
                    catalog.KEY_COUNT * (number + 1) // len(owners)
                    for number in range(len(owners))
                ]
                segments = [
                    catalog.Segment(
                        first=first,
                        last=end - 1,
                        server=owner,
                        born_ms=1,
                        fence=1,
                        state=catalog.SegmentState.HELD,
                    )
                    for owner, first, end in zip(
                        owners, [0, *ends], ends, strict=False
                    )
                ]
                view.set_owners(SERVICE, catalog.OwnerMap(segments=segments))
            self.gateways.append(instance)

    async def _relay_loads(self):
        reporters = [
            _reporter.Reporter(
                owners=instance.owners,
                links=instance.links,
                server_limits=instance.server_limits,
                leaving=instance.leaving,
            )
            for instance in self.gateways
        ]
        while True:
            await self.clock.sleep(RELAY_INTERVAL_MS)
            for reporter in reporters:
                loads = reporter.make_loads()
                for number, other in enumerate(reporters):
                    if other is not reporter and loads:
                        _ZONE.set(self._get_zone(number))
                        other.apply_loads(loads)

    async def _call(self, route, work_ms, deadline_ms, rng):
        """Send a request as a caller does, until it has an answer."""
        began_at = self.clock.now()
        key = rng.randrange(catalog.KEY_COUNT) if self._divided else 1
        attempts = 0
        while attempts <= CALLER_RETRIES:
            attempts += 1
            self._count += 1
            left_ms = deadline_ms - (self.clock.now() - began_at)
            number = rng.randrange(len(self.gateways))
            _ZONE.set(self._get_zone(number))
            response = await self.gateways[number].handle(
                http1.HttpRequest(
                    method="GET",
                    target=f"/{route.name}/",
                    fields=[
                        ("host", "h"),
                        ("attempt", f"{route.name}-{self._count}"),
                        ("deadline", str(left_ms)),
                        ("work", str(round(work_ms))),
                        ("key", str(key)),
                    ],
                )
            )
            left_ms = deadline_ms - (self.clock.now() - began_at)
            if response.status != 503 or left_ms <= 0:
                break
            wait_s = float(dict(response.fields).get("retry-after", 0))
            wait_ms = wait_s * base.MS_PER_S
            await self.clock.sleep(
                round(min(wait_ms, MAX_RETRY_WAIT_FRACTION * left_ms))
            )
        self.answers.append(
            Answer(
                route=route.name,
                status=response.status,
                elapsed_ms=self.clock.now() - began_at,
                attempts=attempts,
            )
        )

    async def _send_all(self, route, *, per_s, work_ms, deadline_ms, for_ms):
        rng = random.Random(route.name)
        async with asyncio.TaskGroup() as calls:
            ends_at = self.clock.now() + for_ms
            while self.clock.now() < ends_at:
                await self.clock.sleep(
                    round(rng.expovariate(per_s / base.MS_PER_S))
                )
                work = work_ms * rng.uniform(0.7, 1.3)
                calls.create_task(self._call(route, work, deadline_ms, rng))

    def run(self, loads, *, for_ms=20_000):
        """Play loads, and return the answers by route.

        Parameters
        ----------
        loads : dict
            Arguments of each route: `per_s`, `work_ms` and `deadline_ms`.
        for_ms : int
            Duration of the load.
        """

        async def play():
            with unittest.mock.patch.object(
                http1, "ConnectionPool", self._make_pool_class()
            ):
                self._start()
                relay = asyncio.create_task(self._relay_loads())
                async with asyncio.TaskGroup() as group:
                    for name, load in loads.items():
                        group.create_task(
                            self._send_all(
                                self.routes[name], for_ms=for_ms, **load
                            )
                        )
                relay.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await relay

        testing.run_manual(play())
        by_route = collections.defaultdict(list)
        for answer in self.answers:
            by_route[answer.route].append(answer)
        return by_route


def make_route(name, *, objective_ms, priority=1, timeout_ms=3_000, **changes):
    """Return a route to the service."""
    options = {
        "kind": catalog.RequestKind.IDEMPOTENT,
        "max_attempts": 2,
        "targets": (catalog.Target(service=SERVICE),),
    }
    return catalog.Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        objective_ms=objective_ms,
        priority=priority,
        timeout_ms=timeout_ms,
        **{**options, **changes},
    )


def compute_share(answers, *, within_ms):
    """Return the share of requests that were answered within some time."""
    in_time = [
        a for a in answers if a.status == 200 and a.elapsed_ms <= within_ms
    ]
    return len(in_time) / len(answers)
