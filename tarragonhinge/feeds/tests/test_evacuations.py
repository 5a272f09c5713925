"""Evacuations that the operator writes are followed, whatever the store does.

Guards against requests for an evacuated zone: 3,764 were sent while nothing
followed the rows.
"""

import asyncio

import pytest

from tarragonhinge import catalog
from tarragonhinge import feeds
from tarragonhinge.platform import _codec
from tarragonhinge import stores
from tarragonhinge import testing

_CONFIG = b'{"version": 1, "routes": [], "services": []}'


class _Followed:
    """A store, and a feed that follows it into a view."""

    def __init__(self):
        self.rows = testing.MemoryRows()
        self.clock = testing.ManualClock()
        self.view = catalog.View()
        self.store = testing.MemoryRowStore(rows=self.rows, clock=self.clock)
        self.put("config", _CONFIG)
        self._task = None

    def put(self, key, value=b"{}"):
        put = stores.RowPut(table="op", key=key, value=value)
        self.rows.apply([], [put])

    async def step(self, step):
        """Do one step of a case; ``=`` expects the zones that follow."""
        action, argument = step[0], step[1:]
        if action == "=":
            await self.clock.sleep(100)
            assert ",".join(sorted(self.view.evacuated_zones)) == argument
        elif action == "+":
            self.put(f"evacuate/{argument}")
        elif action == "-":
            self.rows.apply([], [], [("op", f"evacuate/{argument}")])
        elif action == "@":
            await self.clock.sleep(int(argument))
        else:
            await getattr(self, step)()

    async def copy(self):
        self._copied = self.rows.copy()

    async def follow(self):
        """Follow the store with a new feed, as a new coordinator does."""
        if self._task is not None:
            self._task.cancel()
        feed = feeds.CatalogFeed(
            store=self.store,
            codec=_codec.PlatformCodec(),
            view=self.view,
            log=testing.make_event_log(self.clock),
            clock=self.clock,
        )
        self._task = testing.spawn(feed.run())
        await self.clock.sleep(50)

    async def replace(self):
        """Replace the rows by the copy."""
        self.rows.restore(self._copied)

    async def restore(self):
        """Let the store go away and come back from the copy.

        A feed reads it again within the longest backoff, about 1 s.
        """
        self.store.faults.is_down = True
        self.rows.wake_watches()
        await self.clock.sleep(2_500)
        await self.replace()
        self.store.faults.is_down = False
        while self.store.era == 1:
            await self.clock.sleep(10)

    async def forget(self):
        """Let the store lose the history that a watch needs."""

        async def watch(table, **_):
            await asyncio.sleep(0.01)
            return stores.HistoryLost()

        self.store.watch = watch


@pytest.mark.parametrize(
    "steps",
    [
        "follow = +za =za +zb =za,zb -za =zb +za =za,zb -zb -za =",
        "+za follow =za",
        # The copy lacks them until the operator has written them again.
        "copy +za +zb follow restore @1100 =za,zb +za @2500 =za",
        # A removal ends an evacuation that is kept.
        "copy +za follow restore +za @1100 =za -za =",
        # The copy still has one that was removed; it is removed again.
        "+za copy -za follow = restore @1100 =za -za =",
        # The store is restored before the first read of a successor.
        "copy +za follow replace follow @1500 =za +za @1500 =za",
        "copy +za follow replace follow @1500 =za @1500 =",
        # Within one era of the store, a whole read is up to date.
        "+za follow =za forget @1500 +zb -za =zb",
    ],
)
def test_evacuations_are_followed(steps):
    async def run():
        followed = _Followed()
        for step in steps.split():
            await followed.step(step)

    testing.run_manual(run())


@pytest.mark.parametrize("value", [b"{}", b"", b"junk"])
@pytest.mark.parametrize(
    ("key", "zone"),
    [
        ("evacuate/za", "za"),
        ("evacuate/a/b c", "a/b c"),
        ("evacuate/", None),
        ("evacuated/za", None),
    ],
)
def test_rows_that_evacuate_a_zone(key, zone, value):
    """Whatever its value, a row evacuates its zone while it exists.

    It is known before the table by which the first request is routed.
    """

    async def run():
        followed = _Followed()
        view = followed.view
        followed.put(key, value)
        seen = []
        view.changes.subscribe(
            lambda _: seen.append((view.table, view.evacuated_zones))
        )
        await followed.follow()
        assert view.knows_evacuations
        assert {zones for table, zones in seen if table} == {
            frozenset([zone] if zone else [])
        }

    testing.run_manual(run())
