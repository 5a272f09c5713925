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

    def remove(self, key):
        self.rows.apply([], [], [("op", key)])

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

    async def restore(self, copied):
        """Let the store go away and come back from a copy."""
        self.store.faults.is_down = True
        self.rows.wake_watches()
        await self.clock.sleep(2_500)
        self.rows.restore(copied)
        self.store.faults.is_down = False
        while self.store.era == 1:
            await self.clock.sleep(10)
        await self.clock.sleep(100)

    async def expect(self, *zones, after_ms=100):
        await self.clock.sleep(after_ms)
        assert sorted(self.view.evacuated_zones) == list(zones)


def _run(check):
    async def run():
        followed = _Followed()
        await check(followed)

    testing.run_manual(run())


@pytest.mark.parametrize(
    ("key", "zones"),
    [
        ("evacuate/za", ["za"]),
        ("evacuate/z a/b", ["z a/b"]),
        ("evacuate/", []),
        ("evacuate", []),
        ("evacuated/za", []),
    ],
)
@pytest.mark.parametrize("value", [b"{}", b"", b"junk"])
def test_rows_that_evacuate_a_zone(key, zones, value):
    """Whatever its value, a row evacuates its zone while it exists."""

    async def check(followed):
        followed.put(key, value)
        await followed.follow()
        assert followed.view.knows_evacuations
        await followed.expect(*zones)

    _run(check)


def test_changes_are_followed():
    async def check(followed):
        await followed.follow()
        await followed.expect()
        assert followed.view.knows_evacuations
        followed.put("evacuate/za")
        await followed.expect("za")
        followed.put("evacuate/zb")
        followed.put("config", _CONFIG.replace(b"1", b"2"))
        await followed.expect("za", "zb")
        assert followed.view.table.version == 2
        followed.remove("evacuate/za")
        await followed.expect("zb")
        followed.put("evacuate/za")
        await followed.expect("za", "zb")

    _run(check)


def test_evacuations_are_known_before_the_routes():
    """No request is routed by a table while the evacuations are unknown."""

    async def check(followed):
        followed.put("evacuate/za")
        seen = []
        followed.view.changes.subscribe(
            lambda _: seen.append(
                (followed.view.table, followed.view.evacuated_zones)
            )
        )
        await followed.follow()
        assert all("za" in zones for table, zones in seen if table)

    _run(check)


def test_known_evacuation_outlasts_a_restore():
    """The copy lacks it until the operator has written it again."""

    async def check(followed):
        copied = followed.rows.copy()
        followed.put("evacuate/za")
        followed.put("evacuate/zb")
        await followed.follow()
        await followed.expect("za", "zb")
        await followed.restore(copied)
        await followed.expect("za", "zb", after_ms=1_000)
        followed.put("evacuate/za")
        await followed.expect("za", after_ms=2_000)

    _run(check)


def test_evacuation_ends_within_the_time_after_a_restore():
    async def check(followed):
        copied = followed.rows.copy()
        followed.put("evacuate/za")
        await followed.follow()
        await followed.restore(copied)
        followed.put("evacuate/za")
        await followed.expect("za")
        followed.remove("evacuate/za")
        await followed.expect()

    _run(check)


@pytest.mark.parametrize("is_rewritten", [True, False])
def test_known_evacuation_outlasts_the_first_read_of_a_successor(is_rewritten):
    """A successor cannot know that the store has been restored before."""

    async def check(followed):
        copied = followed.rows.copy()
        followed.put("evacuate/za")
        await followed.follow()
        await followed.expect("za")
        followed.rows.restore(copied)
        await followed.follow()
        await followed.expect("za", after_ms=1_500)
        if is_rewritten:
            followed.put("evacuate/za")
        await followed.expect(
            *(["za"] if is_rewritten else []), after_ms=1_500
        )

    _run(check)


def test_lost_history_replaces_the_evacuations():
    """Within one era of the store, a whole read is up to date."""

    async def check(followed):
        followed.put("evacuate/za")
        await followed.follow()
        await followed.expect("za")
        followed.store.watch = _lose_history(followed.store)
        followed.put("evacuate/zb")
        followed.remove("evacuate/za")
        await followed.expect("zb")

    _run(check)


def _lose_history(store):
    async def watch(table, **_):
        await asyncio.sleep(0.01)
        return stores.HistoryLost()

    return watch
