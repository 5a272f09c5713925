"""The keys of a service's last server return to it after its restart."""

import asyncio

from tarragonhinge.platform.tests import deployment


def test_server_that_left_gets_its_keys_back_after_a_restart():
    """It restarts under its name; no other server can own the keys."""

    async def run():
        async with deployment.Deployment(
            instances=1, servers=1, is_keyed=True
        ) as fleet:
            server = fleet.servers[0]
            fleet.list_server(server, "draining")
            await asyncio.sleep(2.0)
            await fleet.restart(server)
            await fleet.wait_until_ready()
            assert await fleet.send("/x/1") == 200

    asyncio.run(run())
