"""Tests of the HTTP client of the platform's instance list."""

import asyncio

from aiohttp import test_utils
import pytest

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge import standins


def _make_entry(name):
    return membership.InstanceEntry(
        instance=base.InstanceId(name),
        address=base.Address("127.0.0.1:80"),
        region=base.RegionName("centro"),
        zone=base.ZoneName("centro-a"),
    )


async def _fetch(changes):
    """Return the instances fetched after each change of the list."""
    platform = standins.StandinPlatform()
    server = test_utils.TestServer(platform.make_application())
    await server.start_server()
    client = membership.HttpInstanceList(
        address=base.Address(f"127.0.0.1:{server.port}"), timeout_ms=5000
    )
    fetched = []
    for names in changes:
        platform.instances = {name: _make_entry(name) for name in names}
        fetched.append([entry.instance for entry in await client.fetch()])
    await client.close()
    await server.close()
    return fetched


@pytest.mark.parametrize(
    "changes", [["a", "a", "ab"], ["", "a", ""], ["ab", "b", "ab", "ab"]]
)
def test_fetch_returns_the_current_list_with_and_without_a_transfer(changes):
    fetched = asyncio.run(_fetch(changes))
    assert fetched == [list(names) for names in changes]


def test_fetch_returns_none_if_the_platform_is_unreachable():
    async def scenario():
        client = membership.HttpInstanceList(
            address=base.Address("127.0.0.1:1"), timeout_ms=1000
        )
        assert await client.fetch() is None
        await client.close()

    asyncio.run(scenario())
