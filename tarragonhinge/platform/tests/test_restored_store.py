"""The store comes back from a copy that is some seconds old."""

import asyncio
import json

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import feeds
from tarragonhinge import http1
from tarragonhinge.platform import _codec
from tarragonhinge.platform import _row_store
from tarragonhinge.platform import standins
from tarragonhinge import testing

ADDRESS = base.Address("127.97.0.1:8000")
TIMEOUT_S = 20


class FollowedStore:
    """A stand-in store and a feed that follows it into a view."""

    def __init__(self):
        self.store = standins.StandInStore()
        self.view = catalog.View()
        self._clock = base.Clock()

    async def __aenter__(self):
        self.put_table(1)
        self.put_server("s1")
        self._runner = await http1.listen(
            self.store.make_application(), ADDRESS
        )
        self._client = _row_store.PlatformStore(address=ADDRESS)
        feed = feeds.CatalogFeed(
            store=self._client,
            codec=_codec.PlatformCodec(),
            view=self.view,
            log=testing.make_event_log(self._clock),
            clock=self._clock,
        )
        self._task = asyncio.create_task(feed.run())
        await self.wait(lambda: self.view.is_complete())
        return self

    async def __aexit__(self, *_):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._client.close()
        await self._runner.cleanup()

    def put_table(self, version):
        config = {
            "version": version,
            "routes": [],
            "services": [{"name": "books"}],
        }
        self.store.put("op", "config", json.dumps(config).encode())

    def put_server(self, name, *, state="ready"):
        entry = {
            "service": "books",
            "address": f"127.97.0.2:{8000 + int(name[1:])}",
            "zone": "za",
            "slots": 2,
            "state": state,
            "born": 7,
        }
        self.store.put("servers", name, json.dumps(entry).encode())

    def write_others(self, count):
        for _ in range(count):
            self.store.put("other", "row", b"")

    async def restore(self, copied):
        """Let the store go away and come back from a copy."""
        self.store.leave()
        await self._clock.sleep(300)
        self.store.return_from(copied)

    def has_version(self, version):
        return self.view.table.version == version

    async def wait(self, check):
        async with asyncio.timeout(TIMEOUT_S):
            while not check():
                await self._clock.sleep(20)


@pytest.mark.parametrize("others", [0, 20])
def test_table_that_is_written_again_is_in_force(others):
    """Its version lies before or after the last one that was read."""

    async def run():
        async with FollowedStore() as followed:
            copied = followed.store.rows.copy()
            followed.write_others(10)
            followed.put_table(2)
            await followed.wait(lambda: followed.has_version(2))
            followed.store.mode = "silent"
            followed.put_table(3)
            await followed.restore(copied)
            followed.put_table(3)
            followed.write_others(others)
            await followed.wait(lambda: followed.has_version(3))

    asyncio.run(run())


def test_server_that_drained_stays_draining():
    """The copy says that the server is ready, which is no longer true."""

    async def run():
        async with FollowedStore() as followed:
            copied = followed.store.rows.copy()
            followed.write_others(10)
            followed.put_server("s1", state="draining")
            await followed.wait(
                lambda: not followed.view.list_servers("books")
            )
            await followed.restore(copied)
            followed.put_table(2)
            await followed.wait(lambda: followed.has_version(2))
            followed.put_server("s2")
            await followed.wait(lambda: "s2" in followed.view.servers)
            ready = [e.server for e in followed.view.list_servers("books")]
            assert ready == ["s2"]

    asyncio.run(run())


def test_server_that_left_does_not_return_with_the_copy():
    """It is used again only once its entry is written again."""

    async def run():
        async with FollowedStore() as followed:
            copied = followed.store.rows.copy()
            followed.write_others(10)
            followed.put_server("s2")
            followed.store.remove("servers", "s1")
            await followed.wait(lambda: set(followed.view.servers) == {"s2"})
            await followed.restore(copied)
            followed.put_server("s2")
            followed.put_table(2)
            await followed.wait(lambda: followed.has_version(2))
            followed.put_server("s3")
            await followed.wait(lambda: "s3" in followed.view.servers)
            assert set(followed.view.servers) == {"s2", "s3"}
            followed.put_server("s1")
            await followed.wait(lambda: "s1" in followed.view.servers)

    asyncio.run(run())


def test_server_that_the_copy_lacks_is_kept_until_it_writes_again():
    """Servers write their entries again within about 2 s."""

    async def run():
        async with FollowedStore() as followed:
            copied = followed.store.rows.copy()
            followed.write_others(10)
            followed.put_server("s2")
            await followed.wait(lambda: "s2" in followed.view.servers)
            await followed.restore(copied)
            followed.put_table(2)
            await followed.wait(lambda: followed.has_version(2))
            assert "s2" in followed.view.servers
            await followed.wait(lambda: "s2" not in followed.view.servers)

    asyncio.run(run())
