"""Backend server in memory."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import servers
from tarragonhinge import standins
from tarragonhinge.testing import _clock
from tarragonhinge.testing import _network
from tarragonhinge.testing import _probe

#: Header field that tells attempts of one request apart.
HEADER_ATTEMPT = "Attempt"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One request that a server ran.

    Parameters
    ----------
    at_ms : int
        True time at which it began.
    fence : Fence
        Its fencing token.
    path, idempotency_key : str
        Which request it was.
    attempt : str
        The caller's name of the attempt, from a header field.
    """

    at_ms: int
    fence: servers.Fence
    path: str
    idempotency_key: str
    attempt: str = ""


class MemoryServer:
    """Backend server that checks grants and records what it ran.

    Parameters
    ----------
    name : ServerId
        Its name and its node in the network.
    clock : ManualClock
        Its clock; a paused server is frozen.
    service_ms : int
        How long it works on a request.
    dialect : str
        How it takes grants.

    Attributes
    ----------
    reported_in_flight : int or None
        What it reports in place of the truth.
    """

    def __init__(
        self,
        *,
        name: base.ServerId,
        clock: _clock.ManualClock,
        service_ms: int = 5,
        dialect: str = "lapsing",
    ) -> None:
        self.name = name
        self.clock = clock
        self.service_ms = service_ms
        self.dialect = dialect
        self.up = True
        self.draining = False
        self.shedding = False
        self.reported_in_flight: int | None = None
        self.status = 200
        self.running = 0
        self.most_running = 0
        self.runs: list[Run] = []
        self.on_grant: Callable[[], None] | None = None
        self.on_run: Callable[[base.ServerId, Run], None] | None = None
        self._boots = itertools.count(1)
        self.grants = self._boot()

    def _boot(self) -> standins.GrantTable:
        return standins.GrantTable(
            incarnation=f"{self.name}-{next(self._boots)}",
            dialect=self.dialect,
        )

    def restart(self) -> None:
        """Come back with nothing remembered."""
        self.grants = self._boot()
        self.up = True

    def take_grants(self, request: servers.GrantRequest) -> servers.GrantReply:
        """Answer a batched heartbeat."""
        reply = self.grants.apply(request, now=self.clock.now())
        if self.on_grant is not None:
            self.on_grant()
        return servers.GrantReply(
            accepted=reply.accepted,
            term=reply.term,
            server_incarnation=reply.server_incarnation,
            clock_ms=reply.clock_ms,
            in_flight=self._count_stated(),
            draining=self.draining,
        )

    def _count_stated(self) -> int:
        if self.reported_in_flight is not None:
            return self.reported_in_flight
        return self.running

    async def run(self, request: servers.ServerRequest) -> base.Outcome:
        """Run a request if its fencing token is valid."""
        if not self.grants.owns(request.fence, now=self.clock.now()):
            return base.NotRun(reason=base.NotRunReason.FENCED)
        if self.shedding:
            return base.NotRun(reason=base.NotRunReason.SERVER_SHED)
        self._note_run(request)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self.clock.sleep(self.service_ms)
        finally:
            self.running -= 1
        body = f"{self.name} {request.method} {request.path}".encode()
        return base.Answered(status=self.status, body=body)

    def _note_run(self, request: servers.ServerRequest) -> None:
        run = Run(
            at_ms=base.Clock().now(),
            fence=request.fence,
            path=request.path,
            idempotency_key=request.idempotency_key,
            attempt=dict(request.headers).get(HEADER_ATTEMPT, ""),
        )
        self.runs.append(run)
        if self.on_run is not None:
            self.on_run(self.name, run)

    def list_owned(self, shard: base.ShardId) -> list[base.PartitionId]:
        """Return the partitions with a valid grant here."""
        held = self.grants.shards.get(shard)
        if held is None:
            return []
        return [name for name in held.epochs if self.owns(shard, name)]

    def owns(
        self,
        shard: base.ShardId,
        partition: base.PartitionId,
    ) -> bool:
        """Return whether the server holds a valid grant now."""
        held = self.grants.shards.get(shard)
        return (
            self.up
            and held is not None
            and partition in held.epochs
            and self.grants.is_valid(shard, now=self.clock.now())
        )


class MemoryServerClient(servers.ServerClient):
    """Link from an instance to a `MemoryServer`.

    Parameters
    ----------
    node : str
        Address of the instance.
    server : MemoryServer
        The server.
    network : MemoryNetwork
        Carries the messages.
    clock : ManualClock
        Clock of the instance.
    """

    def __init__(
        self,
        *,
        node: str,
        server: MemoryServer,
        network: _network.MemoryNetwork,
        clock: _clock.ManualClock,
    ) -> None:
        self._node = node
        self._server = server
        self._network = network
        self._clock = clock

    def _report(self, stage: _probe.Stage, content: object) -> None:
        probe = self._network.probe
        probe.report(stage, self._node, self._server.name, content)

    async def send_grants(
        self, request: servers.GrantRequest, *, timeout_ms: int
    ) -> servers.GrantReply | None:
        """Send a batched heartbeat; None if no answer came."""
        exchange = asyncio.create_task(self._exchange_grants(request))
        done, _ = await asyncio.wait(
            {exchange}, timeout=timeout_ms / base.MS_PER_S
        )
        await self._clock.wait_running()
        return exchange.result() if done else None

    async def _exchange_grants(
        self, request: servers.GrantRequest
    ) -> servers.GrantReply | None:
        await self._clock.wait_running()
        if not await self._network.carry(self._node, self._server.name):
            return None
        self._report(_probe.Stage.GRANT_ARRIVED, request)
        await self._server.clock.wait_running()
        if not self._server.up:
            return None
        reply = self._server.take_grants(request)
        self._report(_probe.Stage.GRANT_ANSWERED, reply)
        if not await self._network.carry(self._server.name, self._node):
            return None
        return reply

    async def dispatch(
        self, request: servers.ServerRequest, *, timeout_ms: int
    ) -> base.Outcome:
        """Send a request and return its tagged outcome."""
        self._report(_probe.Stage.REQUEST_ADMITTED, request)
        exchange = asyncio.create_task(self._exchange_request(request))
        done, _ = await asyncio.wait(
            {exchange}, timeout=timeout_ms / base.MS_PER_S
        )
        await self._clock.wait_running()
        if done:
            return exchange.result()
        return base.Unknown(reason=base.UnknownReason.TIMEOUT)

    async def _exchange_request(
        self, request: servers.ServerRequest
    ) -> base.Outcome:
        await self._clock.wait_running()
        if not await self._network.carry(self._node, self._server.name):
            return base.Unknown(reason=base.UnknownReason.ANSWER_LOST)
        self._report(_probe.Stage.REQUEST_SENT, request)
        await self._server.clock.wait_running()
        if not self._server.up:
            return base.NotRun(reason=base.NotRunReason.SERVER_UNREACHABLE)
        outcome = await self._server.run(request)
        self._report(_probe.Stage.REQUEST_ANSWERED, request)
        await self._server.clock.wait_running()
        if not self._server.up:
            return base.Unknown(reason=base.UnknownReason.ANSWER_LOST)
        if not await self._network.carry(self._server.name, self._node):
            return base.Unknown(reason=base.UnknownReason.ANSWER_LOST)
        return outcome


def make_client_factory(
    *,
    node: str,
    pool: dict[base.ServerId, MemoryServer],
    network: _network.MemoryNetwork,
    clock: _clock.ManualClock,
):
    """Return a client factory for an instance in memory."""

    def make_client(
        row: configuration.ServiceRow, entry: configuration.ServerEntry
    ) -> servers.ServerClient:
        return MemoryServerClient(
            node=node,
            server=pool[entry.server],
            network=network,
            clock=clock,
        )

    return make_client
