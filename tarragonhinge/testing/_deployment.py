"""In-memory deployment of instances and servers on manual time."""

import asyncio
from collections.abc import Sequence
import itertools

import msgspec

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import daemon
from tarragonhinge import dispatch
from tarragonhinge import routing
from tarragonhinge import settings
from tarragonhinge import shards
from tarragonhinge import stores
from tarragonhinge.testing import _clock
from tarragonhinge.testing import _monitor
from tarragonhinge.testing import _network
from tarragonhinge.testing import _probe
from tarragonhinge.testing import _servers
from tarragonhinge.testing import _stores

REGION = base.RegionName("centro")
#: Second region, for deployments that span two.
OTHER_REGION = base.RegionName("sur")
SERVICE = base.ServiceName("balances")

#: Time that a load balancer needs to stop sending to a draining instance.
NOTICE_MS = 3000


def make_row(*, servers: int = 3, **changes) -> configuration.ServiceRow:
    """Return a row with servers ``s0``, ``s1``, and so on.

    Parameters
    ----------
    servers : int
        Number of servers, in two availability zones alternately.
    **changes
        Columns that differ from the default row.
    """
    entries = [
        configuration.ServerEntry(
            server=base.ServerId(f"s{number}"),
            address=base.Address(f"127.0.0.1:{7000 + number}"),
            region=REGION,
            zone=base.ZoneName(f"centro-{'ab'[number % 2]}"),
        )
        for number in range(servers)
    ]
    row = configuration.ServiceRow(
        service=SERVICE, partitions=8, homes=[REGION], servers=entries
    )
    return msgspec.structs.replace(row, **changes)


class Node:
    """One instance whose clock and table connection can fail separately.

    Attributes
    ----------
    clock : ManualClock
        Clock of the instance; pausing it pauses the process.
    table : FaultyTable
        Connection of the instance to the table service.
    instance : Instance
        The production code under test.
    """

    def __init__(
        self,
        *,
        number: int,
        network: _network.MemoryNetwork,
        table: stores.MemoryTable,
        objects: stores.MemoryObjects,
        instances: _stores.MemoryInstanceList,
        pool: dict[base.ServerId, _servers.MemoryServer],
        timing: shards.Timing,
        rate: float = 1.0,
        region: base.RegionName = REGION,
        notice_ms: int = NOTICE_MS,
    ) -> None:
        self.address = base.Address(f"node-{number}")
        self.clock = _clock.ManualClock(offset_ms=1000 * number, rate=rate)
        self.table = _stores.FaultyTable(
            table=table,
            clock=self.clock,
            node=self.address,
            probe=network.probe,
        )
        self.network = network
        options = settings.Settings(
            name=base.InstanceId(f"i{number}"),
            region=region,
            zone=base.ZoneName(f"{region}-{'ab'[number % 2]}"),
            callers=base.Address(""),
            peers=self.address,
            operators=base.Address(""),
            table=base.Address(""),
            instances=base.Address(""),
            timing=timing,
            notice_ms=notice_ms,
        )
        self.instance = daemon.Instance(
            options=options,
            platform=daemon.Platform(
                table=self.table,
                objects=objects,
                instances=instances,
            ),
            transport=_network.MemoryTransport(
                address=self.address, network=network, clock=self.clock
            ),
            make_client=_servers.make_client_factory(
                node=self.address,
                pool=pool,
                network=network,
                clock=self.clock,
            ),
            clock=self.clock,
            seed=number,
        )

    async def kill(self) -> None:
        """Kill the process, so that it neither runs nor answers."""
        self.halt()

    def halt(self) -> None:
        """Kill the process, like `kill`, from synchronous code."""
        self.clock.pause()
        self.network.transports.pop(self.address, None)


class Deployment:
    """Instances, servers and a table service in memory.

    Parameters
    ----------
    row : ServiceRow or None
        Row of the only service; the default of `make_row` if None.
    instances : int
        Number of instances, in two availability zones alternately.
    network : MemoryNetwork or None
        The network; one with a delay of 1 ms and no faults if None.
    timing : Timing or None
        Protocol durations; the defaults if None.
    rates : sequence of float
        Clock rates, assigned in rotation to servers and then to instances.
    other_instances : int
        Number of instances in a second region, whose servers are part of
        the row.
    notice_ms : int
        Time during which a draining instance still accepts requests.
    """

    def __init__(
        self,
        *,
        row: configuration.ServiceRow | None = None,
        instances: int = 3,
        network: _network.MemoryNetwork | None = None,
        timing: shards.Timing | None = None,
        rates: Sequence[float] = (1.0,),
        other_instances: int = 0,
        notice_ms: int = NOTICE_MS,
    ) -> None:
        self.timing = timing or shards.Timing()
        self.rates = itertools.cycle(rates)
        self.row = row or make_row()
        self.network = network or _network.MemoryNetwork()
        self.table = stores.MemoryTable()
        self.objects = stores.MemoryObjects()
        self.instance_list = _stores.MemoryInstanceList()
        self.servers = {
            entry.server: _servers.MemoryServer(
                name=entry.server,
                dialect=self.row.dialect,
                clock=_clock.ManualClock(
                    offset_ms=50_000, rate=next(self.rates)
                ),
            )
            for entry in self.row.servers
        }
        self._notice_ms = notice_ms
        self._regions = [REGION] * instances
        self._regions += [OTHER_REGION] * other_instances
        self.nodes = [
            self._make_node(number) for number in range(len(self._regions))
        ]

    def _make_node(self, number: int) -> Node:
        return Node(
            number=number,
            network=self.network,
            table=self.table,
            objects=self.objects,
            instances=self.instance_list,
            pool=self.servers,
            timing=self.timing,
            rate=next(self.rates),
            region=self._regions[number],
            notice_ms=self._notice_ms,
        )

    async def join(self) -> Node:
        """Start an additional instance in the first region."""
        self._regions.append(REGION)
        node = self._make_node(len(self.nodes))
        self.nodes.append(node)
        entry = node.instance.me
        self.instance_list.entries[entry.instance] = entry
        await node.instance.start()
        return node

    @property
    def shard(self) -> base.ShardId:
        """Return the service's shard in the first region."""
        return base.make_shard_id(self.row.service, REGION)

    async def restart(self, number: int) -> None:
        """Replace a killed process by a new one at the same address."""
        table = self.nodes[number].table
        self.nodes[number] = self._make_node(number)
        self.nodes[number].table.down = table.down
        await self.nodes[number].instance.start()

    async def start(
        self,
        settle_ms: int = 5000,
        rows: Sequence[configuration.ServiceRow] = (),
    ) -> None:
        """Store the table, start all instances and wait until they settle.

        Parameters
        ----------
        settle_ms : int
            Time to wait after the start of the instances.
        rows : sequence of ServiceRow
            Rows to store in place of the deployment's own.
        """
        store = self.nodes[0].instance.store
        version = base.TableVersion(0)
        await store.apply_edit(list(rows) or [self.row], expected=version)
        for node in self.nodes:
            entry = node.instance.me
            self.instance_list.entries[entry.instance] = entry
        for node in self.nodes:
            await node.instance.start()
        await self.wait(settle_ms)

    async def wait(self, duration_ms: int) -> None:
        """Let manual time pass."""
        await asyncio.sleep(duration_ms / base.MS_PER_S)

    def watch(
        self, shard: base.ShardId | None = None
    ) -> _monitor.OwnershipMonitor:
        """Return a new monitor of a shard, by default the first region's."""
        return _monitor.OwnershipMonitor(
            shard=shard or self.shard,
            servers=self.servers,
            table=self.table,
            timing=self.timing,
        )

    def isolate(self, node: Node, *, reachable: Sequence[str] = ()) -> None:
        """Partition an instance from the store and from its peers.

        Parameters
        ----------
        node : Node
            The instance.
        reachable : sequence of str
            Instances and servers that it still reaches.
        """
        node.table.down = True
        peers = [other.address for other in self.nodes if other is not node]
        for peer in [*peers, *self.servers]:
            if peer not in reachable:
                self.network.cut_both(node.address, peer)

    def list_nodes(self, region: base.RegionName) -> list[Node]:
        """Return the instances of a region."""
        return [n for n in self.nodes if n.instance.me.region == region]

    def find_leadership(self, node: Node) -> shards.ShardLeader:
        """Return the `ShardLeader` of an instance that leads the shard."""
        return node.instance.coordinator.leaders[self.shard]

    def find_standby(self) -> Node:
        """Return the instance recorded as standby of the shard."""
        leader = self.find_leadership(self.find_leaders()[0])
        name = leader.record.standby.instance
        return next(n for n in self.nodes if n.instance.options.name == name)

    def find_leaders(self) -> list[Node]:
        """Return the running instances that consider themselves leader."""
        shard = base.make_shard_id(self.row.service, REGION)
        return [
            node
            for node in self.nodes
            if shard in node.instance.coordinator.leaders
            and node.instance.coordinator.leaders[shard].state
            is shards.LeaderState.LEADING
            and node.address in self.network.transports
        ]

    def find_owners(self, partition: int) -> list[base.ServerId]:
        """Return the servers with a valid grant for a partition."""
        shard = base.make_shard_id(self.row.service, REGION)
        return [
            name
            for name, server in self.servers.items()
            if server.owns(shard, base.PartitionId(partition))
        ]

    async def send(
        self,
        node: Node,
        key: str,
        *,
        method: str = "GET",
        deadline_ms: int = 2000,
        idempotency_key: str = "",
        body: bytes = b"",
        query: str = "",
        headers: Sequence[tuple[str, str]] = (),
    ) -> base.Outcome:
        """Send a request through an instance and return its outcome."""
        location = routing.locate_key(self.row, key)
        request = dispatch.ForwardRequest(
            shard=location.shard,
            partition=location.partition,
            key_hash=location.key_hash,
            method=method,
            path=f"/{self.row.service}/{key}{query}",
            headers=list(headers),
            body=body,
            time_left_ms=deadline_ms,
            idempotency_key=idempotency_key,
        )
        received = _probe.Stage.REQUEST_RECEIVED
        self.network.probe.report(received, node.address, content=request)
        await node.clock.wait_running()
        return await node.instance.entry.route(
            request, idempotent=method in self.row.idempotent_methods
        )


def get_answering_server(outcome: base.Outcome) -> str:
    """Return the name of the server that answered, or an empty string."""
    if not isinstance(outcome, base.Answered):
        return ""
    return outcome.body.decode().split()[0]
