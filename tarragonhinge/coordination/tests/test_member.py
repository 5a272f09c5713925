"""One instance coordinates, and the others follow it or succeed it."""

import asyncio
import random

import pytest

from tarragonhinge import coordination
from tarragonhinge.coordination.tests import fleet


def _run(check, size=3):
    async def run():
        async with fleet.Fleet(size) as site:
            await site.wait(site.is_settled, "the start")
            await check(site)

    asyncio.run(run())


def _versions(site):
    return {m.view.table.version for m in site.members}


def _names(site):
    return {tuple(sorted(m.view.servers)) for m in site.members}


def test_all_follow_one():
    async def check(site):
        site.put("routes", "newest", b"9")
        await site.wait(lambda: _versions(site) == {9}, "a version")
        site.put("routes", "newest", b"4")
        site.put("routes", "newest", b"junk")
        site.put("backends", "foreign", b"")
        site.drop("backends", "s1")
        await site.wait(
            lambda: all(
                set(m.view.servers) == {"s0", "s2"} for m in site.members
            ),
            "a server that went",
        )
        assert _versions(site) == {9}
        sizes = {m.member.fleet_size for m in site.members}
        assert sizes <= {None, 1, 3}

    _run(check)


def test_another_succeeds_a_coordinator_that_is_lost():
    async def check(site):
        (leader,) = site.find_leaders()
        await site.lose(leader)
        site.put("routes", "newest", b"2")
        await site.wait(
            lambda: site.is_settled() and _versions(site) == {2},
            "the succession",
        )

    _run(check)


def test_a_coordinator_without_the_store_is_succeeded():
    async def check(site):
        (leader,) = site.find_leaders()
        leader.store.faults.is_down = True
        await site.wait(
            lambda: any(m is not leader for m in site.find_leaders()),
            "the succession",
        )
        site.put("routes", "newest", b"2")
        await site.wait(lambda: _versions(site) == {2}, "a version")
        assert site.servers.count_unheld() == 0

    _run(check)


def test_an_outage_of_the_store_changes_nothing():
    async def check(site):
        (leader,) = site.find_leaders()
        for member in site.members:
            member.store.faults.is_down = True
        for _ in range(60):
            await asyncio.sleep(0.1)
            site.servers.check()
            assert site.servers.count_unheld() == 0
        assert site.find_leaders() == [leader]
        for member in site.members:
            member.store.faults.is_down = False
        await site.wait(site.is_settled, "the return")

    _run(check)


@pytest.mark.parametrize(
    ("reigned_ms", "later_ms", "expected"),
    [(100, 1_000, False), (100, 11_000, True), (60_000, 0, True)],
)
def test_an_instance_that_is_cut_off_does_not_claim_again_and_again(
    reigned_ms, later_ms, expected
):
    policy = coordination.ClaimPolicy(rng=random.Random(1))
    assert policy.may_claim(now=0)
    policy.record_reign(began_at=0, ended_at=reigned_ms)
    assert policy.may_claim(now=reigned_ms + later_ms) is expected


@pytest.mark.parametrize(
    ("store_ms", "link_mbps", "least_ms", "most_ms"),
    [
        (8, 200.0, 0, 120),
        (45, 200.0, 120, 500),
        # A narrow link carries no storm of versions to the whole fleet.
        (8, 10.0, 400, 520),
        (45, 10.0, 520, 900),
    ],
)
def test_instances_that_can_do_most_claim_first(
    store_ms, link_mbps, least_ms, most_ms
):
    policy = coordination.ClaimPolicy(
        rng=random.Random(1), link_mbps=link_mbps
    )
    delays = [policy.compute_delay_ms(store_ms=store_ms) for _ in range(50)]
    assert least_ms <= min(delays) <= max(delays) <= most_ms


@pytest.mark.parametrize(
    ("age_ms", "agreed", "expected"),
    [
        (100, False, True),
        (3_100, False, False),
        (3_100, True, True),
        (None, True, False),
    ],
)
def test_authority(age_ms, agreed, expected):
    authority = coordination.Authority(
        get_proof_age=lambda: age_ms, is_outage_agreed=lambda: agreed
    )
    assert authority.may_act() is expected
