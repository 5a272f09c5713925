"""Fixture: a fleet of instances in one process with an in-memory store."""

import asyncio
import contextlib
import random

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import coordination
from tarragonhinge.coordination import _leadership
from tarragonhinge import feeds
from tarragonhinge import quarantine
from tarragonhinge import ranges
from tarragonhinge import relay
from tarragonhinge import stores
from tarragonhinge import testing

SERVICE = base.ServiceName("keys")

#: Timeout of a wait for an expected condition.
WAIT_TIMEOUT_S = 20


class PlainCodec(feeds.CatalogCodec):
    """Codec of rows that hold a table version or the address of a server."""

    routing_table = "routes"
    routing_key = "newest"
    servers_table = "backends"

    def decode_routing(self, value):
        if not value.isdigit():
            raise base.CodecError(problem="no number", remedy="none")
        return catalog.RoutingTable(
            version=base.TableVersion(int(value)),
            services=(
                catalog.Service(name=SERVICE, max_connections=9, keyed=True),
            ),
        )

    def decode_evacuation(self, key):
        prefix, _, zone = key.partition("/")
        return base.ZoneName(zone) if prefix == "evacuate" else None

    def decode_server(self, key, value):
        if not value:
            raise base.CodecError(problem="empty", remedy="none")
        if value == b"fatal":
            raise RuntimeError("an entry that the codec does not foresee")
        return catalog.ServerEntry(
            server=base.ServerId(key),
            service=SERVICE,
            address=base.Address(value.decode()),
            zone=base.ZoneName("z"),
            slots=2,
            born_ms=1,
        )


class IdleExchange(relay.Exchange):
    """Exchange of an instance that receives no requests."""

    def make_report(self):
        return relay.Report()

    def make_loads(self):
        return relay.Loads(seen=[])

    def apply_loads(self, loads):
        pass


class FleetMember:
    """One instance of the fleet with its listener."""

    def __init__(
        self, fleet, number, *, is_first_start=True, is_cut_off=False
    ):
        self.fleet = fleet
        self.is_first_start = is_first_start
        self.number = number
        self.view = catalog.View()
        self.ledger = quarantine.CrashLedger(
            log=testing.make_event_log(fleet.clock), clock=fleet.clock
        )
        self.store = testing.MemoryRowStore(rows=fleet.rows, clock=fleet.clock)
        self.grants = testing.MemoryGrantClient(
            fleet=fleet.servers, clock=fleet.clock
        )
        self.task = None
        self.is_cut_off = is_cut_off

    async def start(self):
        """Join the fleet."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        name = base.InstanceId(f"e{self.number}")
        self.member = coordination.Member(
            instance=name,
            incarnation=base.IncarnationId(f"run-{self.number}"),
            address=base.Address(f"127.0.0.1:{port}"),
            store=self.store,
            codec=PlainCodec(),
            view=self.view,
            grants=self.grants,
            exchange=IdleExchange(),
            directory=testing.make_peer_directory(
                self.fleet.clock, instance=name
            ),
            is_cut_off=lambda: self.is_cut_off,
            permits=testing.make_permits(self.fleet.clock),
            ledger=self.ledger,
            trials=quarantine.Trials(),
            log=testing.make_event_log(self.fleet.clock, instance=name),
            clock=self.fleet.clock,
            rng=random.Random(self.number),
            is_first_start=self.is_first_start,
        )
        self.task = asyncio.create_task(self.member.run())
        return self

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.CancelledError):
            await self.member.serve_peer(reader, writer)

    @property
    def leads(self):
        return self.member.is_coordinator

    async def stop(self):
        self.server.close()
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


class Fleet:
    """Instances, servers that own keys, and the store."""

    def __init__(self, size):
        self.clock = base.Clock()
        self.rows = testing.MemoryRows()
        self.servers = testing.KeyFleet(clock=self.clock)
        self.size = size
        self.members = []

    async def __aenter__(self):
        self.put_row("routes", "newest", b"1")
        for number in range(3):
            self.start_server(f"s{number}")
        for number in range(self.size):
            self.members.append(await FleetMember(self, number).start())
        return self

    async def __aexit__(self, *_):
        for member in self.members:
            await member.stop()

    def put_row(self, table, key, value):
        self.rows.apply([], [stores.RowPut(table=table, key=key, value=value)])

    def delete_row(self, table, key):
        self.rows.apply([], [], [(table, key)])

    def start_server(self, name):
        address = f"10.0.0.{name[1:]}:80"
        self.put_row("backends", name, address.encode())
        self.servers.start(PlainCodec().decode_server(name, address.encode()))

    def find_coordinators(self):
        return [m for m in self.members if m.leads]

    async def wait(self, condition, what):
        """Wait for a condition; check that no key ever has two holders."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                self.servers.check()
                await asyncio.sleep(0.02)
        assert self.servers.violations == [], what

    def is_settled(self):
        return (
            len(self.find_coordinators()) == 1
            and all(m.view.is_complete() for m in self.members)
            and all(m.member.is_current() for m in self.members)
            and self.servers.count_unowned_keys() == 0
        )

    @contextlib.asynccontextmanager
    async def run_silent_coordinator(self):
        """Let a process coordinate that accepts connections and stands still.

        The kernel accepts connections for a process that does not run.
        """

        resumed = asyncio.Event()

        async def stand_still(reader, writer):
            await resumed.wait()
            writer.close()

        server = await asyncio.start_server(stand_still, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        claim = _leadership.Leadership(
            term=base.Term(99),
            instance=base.InstanceId("silent"),
            incarnation=base.IncarnationId("silent"),
            address=base.Address(f"127.0.0.1:{port}"),
        )
        self.put_row(
            _leadership.TABLE,
            _leadership.KEY,
            _leadership.encode_leadership(claim),
        )
        try:
            yield
        finally:
            resumed.set()
            server.close()

    def read_record(self):
        """Return the record of the service's keys; None without one."""
        row = self.rows.rows.get((ranges.TABLE, SERVICE))
        return ranges.decode_record(row.value) if row is not None else None

    def read_claim(self):
        """Return the recorded claim of the coordinator, if there is one."""
        return _leadership.find_leadership(
            self.rows.rows.get((_leadership.TABLE, _leadership.KEY))
        )

    async def join(self, number=100, *, is_cut_off=False):
        """Start another instance and return it."""
        member = FleetMember(
            self, number, is_first_start=False, is_cut_off=is_cut_off
        )
        self.members.append(await member.start())
        return member

    async def restore(self, copied):
        """Let the store go away and come back from a copy."""
        for member in self.members:
            member.store.faults.is_down = True
        await asyncio.sleep(0.5)
        self.rows.restore(copied)
        for member in self.members:
            member.store.faults.is_down = False

    async def crash(self, member):
        """Stop an instance without notice."""
        self.members.remove(member)
        await member.stop()
