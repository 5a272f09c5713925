"""One coordinator and one owner of each key outlast a restored store."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge.coordination import _leadership
from tarragonhinge.coordination.tests import fleet
from tarragonhinge import ranges


def _run(check, size=3):
    async def run():
        async with fleet.Fleet(size) as test_fleet:
            await test_fleet.wait(test_fleet.is_settled, "the start")
            await check(test_fleet)

    asyncio.run(run())


def _find_highest_fence(test_fleet):
    return max(
        segment.fence
        for member in test_fleet.members
        for segment in member.view.owners[fleet.SERVICE].segments
    )


def _list_owners(member):
    segments = member.view.owners[fleet.SERVICE].segments
    return [(s.first, s.last, s.server) for s in segments]


async def _move_keys(test_fleet):
    """Let the keys of a server move, which goes on running."""
    holder = test_fleet.members[0].view.owners[fleet.SERVICE].find(0).server
    entry = test_fleet.rows.rows["backends", holder].value
    test_fleet.delete_row("backends", holder)

    def has_moved():
        return all(
            holder
            not in {s.server for s in m.view.owners[fleet.SERVICE].segments}
            for m in test_fleet.members
        )

    await test_fleet.wait(
        lambda: has_moved() and test_fleet.is_settled(), "the move"
    )
    test_fleet.put_row("backends", holder, entry)


def _is_recorded(test_fleet):
    """Return whether the record has the owners that the instances know."""
    record = test_fleet.read_record()
    coordinators = test_fleet.find_coordinators()
    if record is None or not coordinators:
        return False
    (leader,) = coordinators
    owners = leader.view.owners[fleet.SERVICE].segments
    held = {(s.first, s.last, s.server) for s in owners}
    return held == {(s.first, s.last, s.server) for s in record.segments}


@pytest.mark.parametrize("copies_claim", [True, False])
def test_coordinator_claims_and_records_again(copies_claim):
    """What it wrote since the copy is gone, and its versions come again."""

    async def run():
        async with fleet.Fleet(3) as test_fleet:
            copied = test_fleet.rows.copy()
            await test_fleet.wait(test_fleet.is_settled, "the start")
            if copies_claim:
                copied = test_fleet.rows.copy()
            (leader,) = test_fleet.find_coordinators()
            await _move_keys(test_fleet)
            fence = _find_highest_fence(test_fleet)
            await test_fleet.restore(copied)
            await test_fleet.wait(
                lambda: (
                    test_fleet.read_record() is not None
                    and test_fleet.read_record().era == test_fleet.rows.era
                ),
                "the new claim and record",
            )
            await test_fleet.join()
            await test_fleet.wait(
                lambda: test_fleet.is_settled() and _is_recorded(test_fleet),
                "the new record",
            )
            assert test_fleet.find_coordinators() == [leader]
            assert test_fleet.read_record().next_fence > fence

    asyncio.run(run())


def test_successor_waits_for_grants_that_the_copy_lacks():
    """The record names former holders; others may still hold their keys."""

    async def check(test_fleet):
        copied = test_fleet.rows.copy()
        await _move_keys(test_fleet)
        fence = _find_highest_fence(test_fleet)
        (leader,) = test_fleet.find_coordinators()
        await test_fleet.crash(leader)
        await test_fleet.restore(copied)
        await test_fleet.wait(
            lambda: test_fleet.is_settled() and _is_recorded(test_fleet),
            "the takeover",
        )
        assert test_fleet.read_record().next_fence > fence

    _run(check)


# Guards against two holders of a key after the loss of a whole record: the
# successor took it for one that had never been written.
@pytest.mark.parametrize("copies_claim", [True, False])
def test_successor_waits_for_grants_if_the_copy_lacks_the_record(copies_claim):
    """All instances run since the first start, so that any may succeed."""

    async def check(test_fleet):
        copied = test_fleet.rows.copy()
        del copied.rows[ranges.TABLE, fleet.SERVICE]
        if not copies_claim:
            del copied.rows[_leadership.TABLE, _leadership.KEY]
        await _move_keys(test_fleet)
        fence = _find_highest_fence(test_fleet)
        (leader,) = test_fleet.find_coordinators()
        await test_fleet.crash(leader)
        await test_fleet.restore(copied)
        await test_fleet.wait(
            lambda: test_fleet.is_settled() and _is_recorded(test_fleet),
            "the takeover",
        )
        assert test_fleet.read_record().next_fence > fence

    _run(check)


def test_instance_that_joins_first_replaces_the_coordinator():
    """A claim of the same term is from another era; one of them yields."""

    async def run():
        async with fleet.Fleet(3) as test_fleet:
            copied = test_fleet.rows.copy()
            await test_fleet.wait(test_fleet.is_settled, "the start")
            await _move_keys(test_fleet)
            fence = _find_highest_fence(test_fleet)
            for member in test_fleet.members:
                member.store.faults.is_down = True
            test_fleet.rows.restore(copied)
            await test_fleet.join()
            await test_fleet.wait(
                lambda: test_fleet.read_claim() is not None, "the claim"
            )
            for member in test_fleet.members:
                member.store.faults.is_down = False
            await test_fleet.wait(
                lambda: test_fleet.is_settled() and _is_recorded(test_fleet),
                "the takeover",
            )
            assert test_fleet.read_record().next_fence > fence

    asyncio.run(run())


def test_successor_goes_on_if_its_view_was_confirmed():
    """The coordinator alone does not reach the store after a restore.

    It could record no new holder since, so that its followers know them all.
    """

    async def check(test_fleet):
        copied = test_fleet.rows.copy()
        await _move_keys(test_fleet)
        owners = _list_owners(test_fleet.members[0])
        (leader,) = test_fleet.find_coordinators()
        leader.store.faults.is_down = True
        test_fleet.rows.restore(copied)
        await test_fleet.wait(
            lambda: any(
                m is not leader for m in test_fleet.find_coordinators()
            ),
            "the takeover",
        )
        (successor,) = (
            m for m in test_fleet.find_coordinators() if m is not leader
        )
        await test_fleet.wait(
            lambda: (
                test_fleet.read_record() is not None
                and test_fleet.read_record().era == test_fleet.rows.era
            ),
            "the new record",
        )
        assert test_fleet.servers.count_unowned_keys() == 0
        assert _list_owners(successor) == owners

    _run(check)


# Guards against two holders of a key after two takeovers in a row: the first
# successor still waited for former grants, and its heartbeats confirmed the
# owners that the second one had from it, which came from the copy.
def test_successor_that_waits_for_grants_confirms_no_view():
    async def check(test_fleet):
        copied = test_fleet.rows.copy()
        del copied.rows[_leadership.TABLE, _leadership.KEY]
        await _move_keys(test_fleet)
        for member in test_fleet.members:
            member.store.faults.is_down = True
        test_fleet.rows.restore(copied)
        # Reads the record before it claims, since it claims late.
        first = await test_fleet.join(100, is_cut_off=True)
        await test_fleet.wait(lambda: first.leads, "the first takeover")
        first.is_cut_off = False
        second = await test_fleet.join(101)
        await test_fleet.wait(
            lambda: fleet.SERVICE in second.view.owners, "the owners"
        )
        # Longer than the interval of heartbeats.
        await asyncio.sleep(0.6)
        await test_fleet.crash(first)
        await test_fleet.wait(lambda: second.leads, "the second takeover")
        for member in test_fleet.members:
            member.store.faults.is_down = False
        await test_fleet.wait(
            lambda: test_fleet.is_settled() and _is_recorded(test_fleet),
            "the end of the former grants",
        )

    _run(check)


def test_claim_gets_a_higher_term_than_any_seen():
    """Also if the store has gone back to a claim of a lower term."""

    async def check(test_fleet):
        copied = test_fleet.rows.copy()
        (first,) = test_fleet.find_coordinators()
        await test_fleet.crash(first)
        await test_fleet.wait(test_fleet.is_settled, "the takeover")
        (second,) = test_fleet.find_coordinators()
        await test_fleet.crash(second)
        test_fleet.rows.restore(copied)
        await test_fleet.wait(test_fleet.is_settled, "another takeover")
        assert test_fleet.read_claim().term > base.Term(2)

    _run(check, size=4)
