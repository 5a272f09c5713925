"""In-memory backend server and the client that connects to it."""

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

#: Header field with the caller's identifier of one attempt of a request.
HEADER_ATTEMPT = "Attempt"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One execution of a request by a server.

    Parameters
    ----------
    at_ms : int
        True time of the start.
    fence : Fence
        Fencing token of the request.
    path, idempotency_key : str
        Path and idempotency key of the request; the key may be empty.
    attempt : str
        Value of the header field `HEADER_ATTEMPT`, or an empty string.
    """

    at_ms: int
    fence: servers.Fence
    path: str
    idempotency_key: str
    attempt: str = ""


class MemoryServer:
    """Backend server that checks grants and records each execution.

    Parameters
    ----------
    name : ServerId
        Name of the server, which is also its address in the network.
    clock : ManualClock
        Clock of the server; pausing it freezes the server.
    service_ms : int
        Service time of a request.
    dialect : str
        Dialect in which the server accepts grants.

    Attributes
    ----------
    up : bool
        Whether the process runs.
    draining : bool
        Whether the server asks for no new work.
    shedding : bool
        Whether the server refuses all requests because of overload.
    reported_in_flight : int or None
        False number of requests in flight that the server reports; None to
        report the true one.
    status : int
        Status code of the HTTP responses.
    running, most_running : int
        Number of requests that run now, and its maximum so far.
    runs : list of Run
        Executions in order of their start.
    on_grant, on_run : callable or None
        `on_grant` is called after each heartbeat, `on_run` at the start of
        each execution.
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
        self._boot_numbers = itertools.count(1)
        self.grants = self._boot()

    def _boot(self) -> standins.GrantTable:
        return standins.GrantTable(
            incarnation=f"{self.name}-{next(self._boot_numbers)}",
            dialect=self.dialect,
        )

    def restart(self) -> None:
        """Start a new incarnation without any grant."""
        self.grants = self._boot()
        self.up = True

    def take_grants(self, request: servers.GrantRequest) -> servers.GrantReply:
        """Apply a batched heartbeat and return the reply to it."""
        reply = self.grants.apply(request, now=self.clock.now())
        if self.on_grant is not None:
            self.on_grant()
        return servers.GrantReply(
            accepted=reply.accepted,
            term=reply.term,
            server_incarnation=reply.server_incarnation,
            clock_ms=reply.clock_ms,
            in_flight=self._get_reported_in_flight(),
            draining=self.draining,
        )

    def _get_reported_in_flight(self) -> int:
        if self.reported_in_flight is not None:
            return self.reported_in_flight
        return self.running

    async def run(self, request: servers.ServerRequest) -> base.Outcome:
        """Run a request if its fencing token is valid."""
        if not self.grants.owns(request.fence, now=self.clock.now()):
            return base.NotRun(reason=base.NotRunReason.FENCED)
        if self.shedding:
            return base.NotRun(reason=base.NotRunReason.SERVER_SHED)
        self._record_run(request)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self.clock.sleep(self.service_ms)
        finally:
            self.running -= 1
        body = f"{self.name} {request.method} {request.path}".encode()
        return base.Answered(status=self.status, body=body)

    def _record_run(self, request: servers.ServerRequest) -> None:
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
        """Return the partitions of a shard that the server owns now."""
        grants = self.grants.shards.get(shard)
        if grants is None:
            return []
        return [
            partition
            for partition in grants.epochs
            if self.owns(shard, partition)
        ]

    def owns(
        self,
        shard: base.ShardId,
        partition: base.PartitionId,
    ) -> bool:
        """Return whether the server has a valid grant of a partition."""
        grants = self.grants.shards.get(shard)
        return (
            self.up
            and grants is not None
            and partition in grants.epochs
            and self.grants.is_valid(shard, now=self.clock.now())
        )


class MemoryServerClient(servers.ServerClient):
    """Connection of an instance to a `MemoryServer`.

    Parameters
    ----------
    node : str
        Address of the instance.
    server : MemoryServer
        The server.
    network : MemoryNetwork
        Network that delivers the messages.
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
        """Send a batched heartbeat and return the reply.

        Returns None if no reply arrives within `timeout_ms`.
        """
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
        if not await self._network.deliver(self._node, self._server.name):
            return None
        self._report(_probe.Stage.GRANT_ARRIVED, request)
        await self._server.clock.wait_running()
        if not self._server.up:
            return None
        reply = self._server.take_grants(request)
        self._report(_probe.Stage.GRANT_ANSWERED, reply)
        if not await self._network.deliver(self._server.name, self._node):
            return None
        return reply

    async def dispatch(
        self, request: servers.ServerRequest, *, timeout_ms: int
    ) -> base.Outcome:
        """Send a request and return its outcome."""
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
        if not await self._network.deliver(self._node, self._server.name):
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
        if not await self._network.deliver(self._server.name, self._node):
            return base.Unknown(reason=base.UnknownReason.ANSWER_LOST)
        return outcome


def make_client_factory(
    *,
    node: str,
    pool: dict[base.ServerId, MemoryServer],
    network: _network.MemoryNetwork,
    clock: _clock.ManualClock,
):
    """Return a function that connects an instance to the servers.

    Parameters
    ----------
    node : str
        Address of the instance.
    pool : dict
        Servers by name.
    network : MemoryNetwork
        Network that delivers the messages.
    clock : ManualClock
        Clock of the instance.
    """

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
