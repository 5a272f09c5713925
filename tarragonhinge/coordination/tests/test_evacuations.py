"""All instances hear of an evacuation, and a successor does not forget it."""

import asyncio

from tarragonhinge.coordination.tests import fleet


def _run(check, size=3):
    async def run():
        async with fleet.Fleet(size) as test_fleet:
            await test_fleet.wait(test_fleet.is_settled, "the start")
            await check(test_fleet)

    asyncio.run(run())


async def _expect(test_fleet, *zones):
    await test_fleet.wait(
        lambda: all(
            m.view.evacuated_zones == set(zones) for m in test_fleet.members
        ),
        "an evacuation",
    )


def test_evacuations_are_heard_from_the_coordinator_or_read():
    async def check(test_fleet):
        test_fleet.put_row("routes", "evacuate/za", b"{}")
        await _expect(test_fleet, "za")
        await test_fleet.join()
        test_fleet.put_row("routes", "evacuate/zb", b"{}")
        await _expect(test_fleet, "za", "zb")
        async with test_fleet.run_silent_coordinator():
            test_fleet.delete_row("routes", "evacuate/za")
            await _expect(test_fleet, "zb")
            test_fleet.put_row("routes", "evacuate/zc", b"{}")
            await _expect(test_fleet, "zb", "zc")

    _run(check)


def test_successor_keeps_evacuations_that_a_copy_lacks():
    """The store comes back while there is no coordinator."""

    async def check(test_fleet):
        copied = test_fleet.rows.copy()
        test_fleet.put_row("routes", "evacuate/za", b"{}")
        await _expect(test_fleet, "za")
        lost = []
        for member in test_fleet.members:
            member.view.changes.subscribe(
                lambda _, v=member.view: v.evacuated_zones or lost.append(v)
            )
        (leader,) = test_fleet.find_coordinators()
        await test_fleet.crash(leader)
        await test_fleet.restore(copied)
        test_fleet.put_row("routes", "newest", b"2")
        await test_fleet.wait(
            lambda: any(m.view.table.version == 2 for m in test_fleet.members),
            "a read",
        )
        await asyncio.sleep(0.2)
        test_fleet.put_row("routes", "evacuate/za", b"{}")
        await test_fleet.wait(test_fleet.is_settled, "the takeover")
        assert lost == []

    _run(check)
