"""An instance follows the operator's rows, and shows what it does."""

import asyncio
import json

import aiohttp
import pytest

from tarragonhinge.cli import _operators
from tarragonhinge.platform import _instance
from tarragonhinge.platform.tests import deployment


@pytest.mark.parametrize("is_keyed", [False, True])
def test_evacuated_zone_gets_no_requests(is_keyed):
    """The only zone is evacuated, so that keys cannot move.

    bounds.evacuate is 5 s by default; owners get requests for 2.5 s.
    """

    async def run():
        async with deployment.Deployment(
            instances=2, servers=2, is_keyed=is_keyed
        ) as fleet:
            fleet.store.put("op", "evacuate/z", b"{}")
            await asyncio.sleep(4.0 if is_keyed else 1.0)
            before = [len(s.received) for s in fleet.servers]
            statuses = {await fleet.send(f"/x/{n}") for n in range(4)}
            assert statuses == {503}
            assert fleet.count_reason("zone_evacuated", prefix="/x/") == 4
            assert [len(s.received) for s in fleet.servers] == before
            address = f"{deployment.SUBNET}.1:{_instance.METRICS_PORT}"
            state = json.loads(await _operators.fetch_state(address))
            assert state["evacuated_zones"]["z"]["servers"] == 2
            async with (
                aiohttp.ClientSession() as client,
                client.get(f"http://{address}/metrics") as response,
            ):
                metrics = await response.text()
            assert "tarragonhinge_gateway_evacuated_zones 1.0" in metrics
            fleet.store.remove("op", "evacuate/z")
            await asyncio.sleep(1.0)
            assert await fleet.send("/x/back") == 200

    asyncio.run(run())
