"""Rows that can't be decoded concern nothing but themselves."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge.coordination import _coordinator
from tarragonhinge.coordination import _leadership
from tarragonhinge.coordination.tests import fleet
from tarragonhinge import feeds
from tarragonhinge import quarantine
from tarragonhinge import ranges

#: Lists that are nested too deep to be decoded.
DEEP = b"[" * 2_000 + b"]" * 2_000

#: The same in a field that the decoders skip.
NESTED = b'{"extra":' + DEEP + b"}"


def _run(check, size=3):
    async def run():
        async with fleet.Fleet(size) as test_fleet:
            await test_fleet.wait(test_fleet.is_settled, "the start")
            await check(test_fleet)

    asyncio.run(run())


def _has_valid_record(test_fleet):
    try:
        return test_fleet.read_record() is not None
    except (base.CodecError, RecursionError):
        return False


# Guards against an entry of another writer that ends each coordinator, so
# that keys lose their owners and no change of the servers is seen.
def test_entry_of_another_writer_does_not_end_coordinators():
    async def check(test_fleet):
        term = test_fleet.read_claim().term
        test_fleet.put_row("backends", "other-writer", b"fatal")
        test_fleet.start_server("s7")
        await test_fleet.wait(
            lambda: (
                all(
                    set(m.view.servers) == {"s0", "s1", "s2", "s7"}
                    for m in test_fleet.members
                )
                and test_fleet.is_settled()
            ),
            "the added server",
        )
        assert test_fleet.read_claim().term == term
        await test_fleet.join()
        await test_fleet.wait(test_fleet.is_settled, "the added instance")

    _run(check)


@pytest.mark.parametrize(
    ("table", "key"),
    [
        (_leadership.TABLE, _leadership.KEY),
        (ranges.TABLE, fleet.SERVICE),
        (quarantine.TABLE, "0a" * 16),
    ],
)
@pytest.mark.parametrize("value", [NESTED, b"\xff", b""])
def test_damaged_row_of_the_system_does_not_end_coordinators(
    table, key, value
):
    """It counts as lost; the successor of the coordinator goes on."""

    async def check(test_fleet):
        (leader,) = test_fleet.find_coordinators()
        await test_fleet.crash(leader)
        test_fleet.put_row(table, key, value)
        await test_fleet.wait(
            lambda: (
                test_fleet.is_settled()
                and test_fleet.read_claim() is not None
                and _has_valid_record(test_fleet)
            ),
            "the takeover",
        )

    _run(check)


def test_coordinators_that_fail_do_not_claim_without_end(monkeypatch):
    """Each of them claimed again at once, about ten times a second."""

    async def fail(_):
        raise RuntimeError("a fault of each coordinator")

    async def run():
        monkeypatch.setattr(_coordinator.Coordinator, "_manage_services", fail)
        async with fleet.Fleet(3) as test_fleet:
            await asyncio.sleep(3)
            assert 1 <= test_fleet.read_claim().term <= 3

    asyncio.run(run())


def test_instance_reads_the_store_again_after_a_failure(monkeypatch):
    """It has no coordinator, and its reading of the store ended once."""
    run_feed = feeds.CatalogFeed.run
    failures = []

    async def fail_once(feed):
        if not failures:
            failures.append(feed)
            raise RuntimeError("a fault of the feed")
        await run_feed(feed)

    async def check(test_fleet):
        for member in test_fleet.members:
            member.store.faults.rejects_writes = True
        async with test_fleet.run_silent_coordinator():
            await test_fleet.wait(
                lambda: not test_fleet.find_coordinators(),
                "the change of the coordinator",
            )
            monkeypatch.setattr(feeds.CatalogFeed, "run", fail_once)
            test_fleet.put_row("routes", "newest", b"5")
            await test_fleet.wait(
                lambda: (
                    failures
                    and all(
                        m.view.table.version == 5 for m in test_fleet.members
                    )
                ),
                "the new table",
            )

    _run(check)
