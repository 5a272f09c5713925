"""Stand-in for an HTTP backend server."""

import asyncio
import collections
import uuid

from aiohttp import web
import msgspec

from tarragonhinge import base
from tarragonhinge import servers
from tarragonhinge.standins import _grants


class StandinServer:
    """Backend server that checks fencing tokens and counts the requests run.

    Parameters
    ----------
    name : ServerId
        Name of the server.
    service_ms : int
        Service time of a request in milliseconds.
    slots : int
        Maximum number of requests that run concurrently; further requests
        are rejected with status 503.
    clock : Clock or None
        Clock of the server; by default, a new one.

    Attributes
    ----------
    runs_by_path, runs_by_idempotency_key : Counter
        Number of times that a request was run, by path and by idempotency
        key.
    running, max_running : int
        Current number of running requests, and its maximum so far.
    fenced_count : int
        Number of requests rejected because their fencing token was missing,
        invalid or outdated.
    grants : GrantTable
        Grants that the server has received.
    """

    def __init__(
        self,
        *,
        name: base.ServerId,
        service_ms: int = 5,
        slots: int = 2,
        clock: base.Clock | None = None,
    ) -> None:
        self.name = name
        self.runs_by_path: collections.Counter[str] = collections.Counter()
        self.runs_by_idempotency_key: collections.Counter[str] = (
            collections.Counter()
        )
        self.running = 0
        self.max_running = 0
        self.fenced_count = 0
        self.grants = _grants.GrantTable(incarnation=uuid.uuid4().hex)
        self._service_ms = service_ms
        self._slots = slots
        self._clock = clock or base.Clock()

    def make_application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(client_max_size=2**30)
        application.router.add_post(servers.GRANT_PATH, self._apply_grants)
        application.router.add_route("*", "/{path:.*}", self._run)
        return application

    async def _apply_grants(self, request: web.Request) -> web.Response:
        try:
            message = msgspec.json.decode(
                await request.read(), type=servers.GrantRequest
            )
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        reply = self.grants.apply(message, now=self._clock.now())
        reply = msgspec.structs.replace(reply, in_flight=self.running)
        return web.Response(body=msgspec.json.encode(reply))

    async def _run(self, request: web.Request) -> web.Response:
        fence = _read_fence(request)
        if fence is None or not self.grants.owns(fence, now=self._clock.now()):
            self.fenced_count += 1
            return _refuse(412)
        if self.running >= self._slots:
            return _refuse(503)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            body = await request.read()
            key = request.headers.get(servers.HEADER_IDEMPOTENCY_KEY, "")
            self.runs_by_idempotency_key[key] += 1
            self.runs_by_path[request.path] += 1
            await asyncio.sleep(self._service_ms / base.MS_PER_S)
        finally:
            self.running -= 1
        text = f"{self.name} {request.method} {request.path} {len(body)}\n"
        return web.Response(text=text)


def _refuse(status: int) -> web.Response:
    return web.Response(
        status=status, headers={servers.HEADER_NOT_RUN: "true"}
    )


def _read_fence(request: web.Request) -> servers.Fence | None:
    try:
        return servers.Fence(
            shard=base.ShardId(request.headers[servers.HEADER_SHARD]),
            partition=base.PartitionId(
                int(request.headers[servers.HEADER_PARTITION])
            ),
            term=base.Term(int(request.headers[servers.HEADER_TERM])),
            epoch=base.Epoch(int(request.headers[servers.HEADER_EPOCH])),
        )
    except (KeyError, ValueError):
        return None
