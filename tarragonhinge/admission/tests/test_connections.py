"""Tests of the number of connections to a server, on loopback."""

import asyncio

from aiohttp import test_utils
from aiohttp import web
import pytest

from tarragonhinge import admission
from tarragonhinge import configuration
from tarragonhinge import servers

FENCE = servers.Fence(shard="stock/koshi", partition=0, term=1, epoch=1)


@pytest.mark.parametrize("connections", [6, 40])
def test_connections_of_two_leaders_stay_within_the_limit(connections):
    """Both the leader and the previous one send many requests concurrently."""
    row = configuration.ServiceRow(service="stock", connections=connections)

    async def scenario():
        transports = set()

        async def handle(request):
            transports.add(request.transport)
            await asyncio.sleep(0.01)
            return web.Response()

        application = web.Application()
        application.router.add_route("*", "/{path:.*}", handle)
        server = test_utils.TestServer(application)
        await server.start_server()
        clients = [
            servers.HttpServerClient(
                address=f"{server.host}:{server.port}",
                connection_limit=admission.compute_connections(row),
            )
            for _ in range(2)
        ]
        request = servers.ServerRequest(fence=FENCE, method="GET", path="/")
        await asyncio.gather(
            *(
                client.dispatch(request, timeout_ms=10_000)
                for client in clients
                for _ in range(60)
            )
        )
        assert 0 < len(transports) <= connections
        for client in clients:
            await client.close()
        await server.close()

    asyncio.run(scenario())
