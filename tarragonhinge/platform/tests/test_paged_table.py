"""Rows that change while the pages of a table are read are followed."""

import asyncio
import json
import os

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import feeds
from tarragonhinge import http1
from tarragonhinge.platform import _codec
from tarragonhinge.platform import _row_store
from tarragonhinge.platform import standins
from tarragonhinge import testing

#: Address of this process.
ADDRESS = base.Address(f"127.89.{os.getpid() % 256}.1:8000")
TIMEOUT_S = 20

#: Servers of the table, of which a page has three.
SERVERS = 8
PAGE_ROWS = 3

#: A change between two pages, by name.
CHANGES = base.Registry(kind="change between pages")

#: What lets the table be read again, by name.
REASONS = base.Registry(kind="reason to read a table")


class _PagedStore:
    """A stand-in store whose rows change once after a table's first page."""

    def __init__(self, change):
        self.store = standins.StandInStore()
        self.store.rows.page_rows = PAGE_ROWS
        self.store.rows.after_page = self._change_rows
        self.view = catalog.View()
        self.clock = base.Clock()
        self.is_armed = False
        self._change = change

    async def __aenter__(self):
        self.store.put(
            "op",
            "config",
            json.dumps(
                {"version": 1, "routes": [], "services": [{"name": "books"}]}
            ).encode(),
        )
        for number in range(SERVERS):
            self.put_server(number)
        self._runner = await http1.listen(
            self.store.make_application(), ADDRESS
        )
        self._client = _row_store.PlatformStore(address=ADDRESS)
        return self

    async def __aexit__(self, *_):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._client.close()
        await self._runner.cleanup()

    def follow(self):
        feed = feeds.CatalogFeed(
            store=self._client,
            codec=_codec.PlatformCodec(),
            view=self.view,
            log=testing.make_event_log(self.clock),
            clock=self.clock,
        )
        self._task = asyncio.create_task(feed.run())

    def put_server(self, number, *, port=8000, state="ready"):
        entry = {
            "service": "books",
            "address": f"127.89.0.2:{port + number}",
            "zone": "za",
            "slots": 2,
            "state": state,
            "born": 7,
        }
        self.store.put("servers", f"s{number}", json.dumps(entry).encode())

    def remove_server(self, number):
        self.store.remove("servers", f"s{number}")

    def _change_rows(self, table, has_more):
        if self.is_armed and table == "servers" and has_more:
            self.is_armed = False
            self._change(self)

    def list_stored(self):
        """Return address and state of the servers as they are stored."""
        return {
            row.key: (
                json.loads(row.value)["address"],
                json.loads(row.value)["state"],
            )
            for row in self.store.rows.list_rows("servers")
            if not row.dropped
        }

    def list_followed(self):
        """Return address and state of the servers as the view has them."""
        return {
            entry.server: (entry.address, entry.state.value)
            for entry in self.view.servers.values()
        }

    async def wait_until_followed(self):
        async with asyncio.timeout(TIMEOUT_S):
            while self.is_armed or self.list_followed() != self.list_stored():
                await self.clock.sleep(20)


@CHANGES.register("drains")
def _drain(paged):
    paged.put_server(1, state="draining")


@CHANGES.register("is removed")
def _remove(paged):
    paged.remove_server(1)


@CHANGES.register("is added")
def _add(paged):
    # Its key lies before the second page.
    paged.put_server(10)


@CHANGES.register("moves to another address")
def _move(paged):
    paged.put_server(1, port=9000)


@CHANGES.register("is replaced on the second page")
def _replace(paged):
    paged.remove_server(4)
    paged.put_server(4, port=9000)


@REASONS.register("start")
async def _start(paged):
    paged.is_armed = True
    paged.follow()


@REASONS.register("lost history")
async def _lose_history(paged):
    paged.follow()
    await paged.wait_until_followed()
    paged.is_armed = True
    # Ends the watches; the change between the pages is the next one.
    paged.put_server(7, state="draining")
    paged.store.rows.kept_from = paged.store.rows.version + 1


@REASONS.register("return from a copy")
async def _restore(paged):
    paged.follow()
    await paged.wait_until_followed()
    copied = paged.store.rows.copy()
    paged.store.put("other", "row", b"")
    paged.store.leave()
    await paged.clock.sleep(300)
    paged.is_armed = True
    paged.store.return_from(copied)


# Guards against a change to a row of the first page that was missed for ever:
# the changes were watched from the version of the last page on.
@pytest.mark.parametrize("reason", sorted(REASONS.names()))
@pytest.mark.parametrize("change", sorted(CHANGES.names()))
def test_change_between_pages_is_followed(change, reason):
    async def run():
        async with _PagedStore(CHANGES.find(change)) as paged:
            await REASONS.find(reason)(paged)
            await paged.wait_until_followed()

    asyncio.run(run())
