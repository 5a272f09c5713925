"""Refused requests stay refused, whichever instances are left."""

import asyncio

import pytest

from tarragonhinge.coordination.tests import fleet as fleets
from tarragonhinge import quarantine

P, Q = b"p" * 16, b"q" * 16


def _crash_servers(member, digest):
    for number in range(3):
        member.ledger.record_crash((f"x{number}", 1), [digest])


def _read_refusal(fleet, digest):
    row = fleet.rows.rows.get((quarantine.TABLE, digest.hex()))
    return quarantine.decode_refusal(row.value) if row is not None else None


def _is_stored(fleet, digest):
    refusal = _read_refusal(fleet, digest)
    return refusal is not None and len(refusal.crashes) == 3


def _run(check, *, size=3):
    async def run():
        async with fleets.Fleet(size) as fleet:
            await fleet.wait(fleet.is_settled, "settled")
            await check(fleet)

    asyncio.run(run())


def _find_follower(fleet):
    return next(m for m in fleet.members if not m.leads)


async def _wait_until_refused(fleet, digest):
    await fleet.wait(
        lambda: all(m.ledger.is_refused(digest) for m in fleet.members),
        "refused by all instances",
    )


def test_refusal_outlives_the_coordinator():
    async def check(fleet):
        _crash_servers(_find_follower(fleet), P)
        await _wait_until_refused(fleet, P)
        await fleet.crash(fleet.find_coordinators()[0])
        await fleet.join()
        await fleet.wait(fleet.is_settled, "settled")
        await _wait_until_refused(fleet, P)

    _run(check)


def test_crashes_seen_without_coordinator_are_summed_later():
    async def check(fleet):
        await fleet.crash(fleet.find_coordinators()[0])
        first, second = fleet.members
        first.ledger.record_crash(("x1", 1), [P])
        second.ledger.record_crash(("x2", 1), [P])
        second.ledger.record_crash(("x3", 1), [P])
        await _wait_until_refused(fleet, P)

    _run(check)


def test_refusal_outlives_all_instances():
    async def check(fleet):
        _crash_servers(_find_follower(fleet), P)
        await _wait_until_refused(fleet, P)
        await fleet.wait(lambda: _is_stored(fleet, P), "stored")
        for member in list(fleet.members):
            await fleet.crash(member)
        await fleet.join()
        await fleet.wait(fleet.is_settled, "settled")
        await _wait_until_refused(fleet, P)

    _run(check, size=2)


def test_refusal_is_stored_after_an_outage():
    async def check(fleet):
        for member in fleet.members:
            member.store.faults.is_down = True
        _crash_servers(fleet.members[0], P)
        await _wait_until_refused(fleet, P)
        for member in fleet.members:
            member.store.faults.is_down = False
        await fleet.wait(lambda: _is_stored(fleet, P), "stored")

    _run(check)


def test_refusal_is_stored_again_after_a_restore():
    async def check(fleet):
        copied = fleet.rows.copy()
        _crash_servers(fleet.members[0], P)
        await fleet.wait(lambda: _is_stored(fleet, P), "stored")
        await fleet.restore(copied)
        await fleet.wait(lambda: _is_stored(fleet, P), "stored again")

    _run(check)


def test_cleared_request_is_not_refused_by_later_instances():
    async def check(fleet):
        follower = _find_follower(fleet)
        _crash_servers(follower, Q)
        await _wait_until_refused(fleet, Q)
        await fleet.wait(lambda: _is_stored(fleet, Q), "stored")
        follower.ledger.record_answer(Q)
        await fleet.wait(
            lambda: _read_refusal(fleet, Q).crashes == [], "cleared"
        )
        for member in list(fleet.members):
            await fleet.crash(member)
        await fleet.join()
        await fleet.wait(fleet.is_settled, "settled")
        assert not any(m.ledger.count_crashes(Q) for m in fleet.members)

    _run(check, size=2)


@pytest.mark.parametrize(
    ("key", "value"),
    [("no digest", b"{}"), (P.hex(), b"damaged"), (P.hex(), b"")],
)
def test_damaged_row_is_ignored(key, value):
    async def check(fleet):
        fleet.put_row(quarantine.TABLE, key, value)
        await fleet.crash(fleet.find_coordinators()[0])
        await fleet.wait(fleet.is_settled, "settled")
        _crash_servers(fleet.members[0], Q)
        await fleet.wait(lambda: _is_stored(fleet, Q), "stored")

    _run(check, size=2)
