"""One instance coordinates; the others follow it and can replace it."""

import asyncio
import random

import pytest

from tarragonhinge import catalog
from tarragonhinge import coordination
from tarragonhinge.coordination.tests import fleet


def _run(check, size=3):
    async def run():
        async with fleet.Fleet(size) as test_fleet:
            await test_fleet.wait(test_fleet.is_settled, "the start")
            await check(test_fleet)

    asyncio.run(run())


def _collect_table_versions(test_fleet):
    return {m.view.table.version for m in test_fleet.members}


def _collect_server_names(test_fleet):
    return {tuple(sorted(m.view.servers)) for m in test_fleet.members}


def test_all_instances_follow_one_coordinator():
    async def check(test_fleet):
        test_fleet.put_row("routes", "newest", b"9")
        await test_fleet.wait(
            lambda: _collect_table_versions(test_fleet) == {9}, "a version"
        )
        test_fleet.put_row("routes", "newest", b"4")
        test_fleet.put_row("routes", "newest", b"junk")
        test_fleet.put_row("backends", "foreign", b"")
        test_fleet.delete_row("backends", "s1")
        await test_fleet.wait(
            lambda: all(
                set(m.view.servers) == {"s0", "s2"} for m in test_fleet.members
            ),
            "the removal of a server",
        )
        assert _collect_table_versions(test_fleet) == {9}
        sizes = {m.member.fleet_size for m in test_fleet.members}
        assert sizes <= {None, 1, 3}

    _run(check)


def test_a_lost_coordinator_is_replaced():
    async def check(test_fleet):
        (leader,) = test_fleet.find_coordinators()
        await test_fleet.crash(leader)
        test_fleet.put_row("routes", "newest", b"2")
        await test_fleet.wait(
            lambda: (
                test_fleet.is_settled()
                and _collect_table_versions(test_fleet) == {2}
            ),
            "the takeover",
        )

    _run(check)


def test_a_coordinator_without_the_store_is_replaced():
    async def check(test_fleet):
        (leader,) = test_fleet.find_coordinators()
        leader.store.faults.is_down = True
        await test_fleet.wait(
            lambda: any(
                m is not leader for m in test_fleet.find_coordinators()
            ),
            "the takeover",
        )
        test_fleet.put_row("routes", "newest", b"2")
        await test_fleet.wait(
            lambda: _collect_table_versions(test_fleet) == {2}, "a version"
        )
        assert test_fleet.servers.count_unowned_keys() == 0

    _run(check)


def test_a_store_outage_keeps_the_coordinator_and_the_grants():
    async def check(test_fleet):
        (leader,) = test_fleet.find_coordinators()
        for member in test_fleet.members:
            member.store.faults.is_down = True
        for _ in range(60):
            await asyncio.sleep(0.1)
            test_fleet.servers.check()
            assert test_fleet.servers.count_unowned_keys() == 0
        assert test_fleet.find_coordinators() == [leader]
        for member in test_fleet.members:
            member.store.faults.is_down = False
        await test_fleet.wait(test_fleet.is_settled, "the recovery")

    _run(check)


def test_a_coordinator_that_stands_still_is_replaced():
    """An accepted connection is no proof that the coordinator runs."""

    async def check(test_fleet):
        async with test_fleet.run_silent_coordinator():
            await test_fleet.wait(
                lambda: not test_fleet.find_coordinators(),
                "the change of the coordinator",
            )
            test_fleet.put_row("routes", "newest", b"2")
            await test_fleet.wait(
                lambda: (
                    test_fleet.is_settled()
                    and _collect_table_versions(test_fleet) == {2}
                ),
                "the takeover",
            )

    _run(check)


def test_routes_are_read_while_the_coordinator_stands_still():
    """New routes don't wait for a successor of a silent coordinator."""

    async def check(test_fleet):
        for member in test_fleet.members:
            member.store.faults.rejects_writes = True
        async with test_fleet.run_silent_coordinator():
            await test_fleet.wait(
                lambda: not test_fleet.find_coordinators(),
                "the change of the coordinator",
            )
            test_fleet.put_row("routes", "newest", b"2")
            await test_fleet.wait(
                lambda: _collect_table_versions(test_fleet) == {2},
                "a version",
            )

    _run(check)


def test_recorded_owners_serve_their_keys_without_a_coordinator():
    """Guards against keys that count as moving for as long as it is missing.

    A holder is recorded before it is granted its keys, and the record is not
    written again for that.
    """

    async def check(test_fleet):
        for member in test_fleet.members:
            member.store.faults.rejects_writes = True
        async with test_fleet.run_silent_coordinator():
            await test_fleet.wait(
                lambda: not test_fleet.find_coordinators(),
                "the change of the coordinator",
            )
            test_fleet.put_row("routes", "newest", b"2")
            await test_fleet.wait(
                lambda: _collect_table_versions(test_fleet) == {2},
                "a version",
            )
            # The record is read in the same turn as the routes.
            await asyncio.sleep(0.2)
            states = {
                segment.state
                for member in test_fleet.members
                for segment in member.view.owners[fleet.SERVICE].segments
            }
            assert states == {catalog.SegmentState.HELD}

    _run(check)


@pytest.mark.parametrize(
    ("led_ms", "waited_ms", "expected"),
    [(100, 1_000, False), (100, 11_000, True), (60_000, 0, True)],
)
def test_claim_backoff_after_a_short_leadership(led_ms, waited_ms, expected):
    policy = coordination.ClaimPolicy(rng=random.Random(1))
    assert policy.may_claim(now=0)
    policy.record_leadership(began_at=0, ended_at=led_ms)
    assert policy.may_claim(now=led_ms + waited_ms) is expected


@pytest.mark.parametrize(
    ("store_rtt_ms", "link_mbps", "min_ms", "max_ms"),
    [
        (8, 200.0, 0, 120),
        (45, 200.0, 120, 500),
        # An instance with a narrow link claims later, since it is too slow
        # to distribute many versions in quick succession.
        (8, 10.0, 400, 520),
        (45, 10.0, 520, 900),
    ],
)
def test_near_instances_with_wide_links_claim_first(
    store_rtt_ms, link_mbps, min_ms, max_ms
):
    policy = coordination.ClaimPolicy(
        rng=random.Random(1), link_mbps=link_mbps
    )
    delays = [
        policy.compute_delay_ms(store_rtt_ms=store_rtt_ms) for _ in range(50)
    ]
    assert min_ms <= min(delays) <= max(delays) <= max_ms


@pytest.mark.parametrize(
    ("age_ms", "agreed", "expected"),
    [
        (100, False, True),
        (3_100, False, False),
        (3_100, True, True),
        (None, True, False),
    ],
)
def test_authority_lasts_3_s_or_for_an_agreed_outage(age_ms, agreed, expected):
    authority = coordination.Authority(
        get_proof_age=lambda: age_ms, is_outage_agreed=lambda: agreed
    )
    assert authority.may_act() is expected
