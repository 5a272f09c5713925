"""The leader of a service keeps every key with one holder."""

import msgspec
import pytest

from tarragonhinge import catalog
from tarragonhinge.ranges.tests import leading
from tarragonhinge import testing

SETTLED_MS = 3_000

#: Keys that two neighbouring requests in three are about.
HOT = list(range(1_000, 1_020))


async def _settle(site):
    site.start_leader()
    await site.run_for(SETTLED_MS)
    assert site.fleet.count_unheld() == 0


def _check(site):
    assert site.fleet.violations == []


def test_divides_all_keys():
    async def run():
        site = leading.LedService()
        await _settle(site)
        assert len(site.view.owners[leading.SERVICE].segments) == 4
        _check(site)

    testing.run_manual(run())


def test_hot_keys_move_and_stay_held():
    async def run():
        site = leading.LedService()
        await _settle(site)
        for _ in range(60):
            site.leader.record_keys(HOT * 2)
            await site.run_for(500)
        segments = site.view.owners[leading.SERVICE].segments
        holders = {
            s.server for s in segments if s.first <= 1_019 and s.last >= 1_000
        }
        assert len(holders) >= 3
        assert site.fleet.count_unheld() == 0
        _check(site)

    testing.run_manual(run())


def test_merged_keys_stay_held():
    async def run():
        site = leading.LedService()
        await _settle(site)
        for _ in range(20):
            site.leader.record_keys(HOT * 2)
            await site.run_for(500)
        for _ in range(40):
            await site.run_for(1_000)
            assert site.fleet.count_unheld() == 0
        _check(site)

    testing.run_manual(run())


@pytest.mark.parametrize(
    ("fault", "limit_ms"),
    [
        ("drains", 700),
        ("dies", 5_500),
        ("falls_silent", 5_500),
        ("is_reborn", 1_000),
    ],
)
def test_keys_of_a_server_that_goes(fault, limit_ms):
    async def run():
        site = leading.LedService()
        await _settle(site)
        server = site.find_server("s1")
        if fault == "drains":
            site.list_entry(
                catalog.ServerEntry(
                    server=server.entry.server,
                    service=server.entry.service,
                    address=server.entry.address,
                    zone=server.entry.zone,
                    slots=2,
                    state=catalog.ServerState.DRAINING,
                    born_ms=server.entry.born_ms,
                )
            )
        elif fault == "is_reborn":
            site.start_server("s1")
        else:
            server.is_up = fault != "dies"
            server.faults.is_silent = fault == "falls_silent"
            site.drop_entry("s1")
        await site.run_for(limit_ms)
        assert site.fleet.count_unheld() == 0
        if fault != "is_reborn":
            assert not server.list_held()
        _check(site)

    testing.run_manual(run())


@pytest.mark.parametrize("moment_ms", range(0, 1_400, 200))
def test_keys_of_a_silent_server_are_bound_by_one_grant(moment_ms):
    """Each attempt to renew them once bound them for 4 s more.

    One renewal (1.3 s later, 0.7 s without an answer), its grant
    (4.2 s), and the move.
    """

    async def run():
        site = leading.LedService()
        await _settle(site)
        await site.run_for(moment_ms)
        site.find_server("s1").faults.is_silent = True
        await site.run_for(2_600)
        site.drop_entry("s1")
        await site.run_for(6_600 - 2_600)
        assert site.fleet.count_unheld() == 0
        _check(site)

    testing.run_manual(run())


@pytest.mark.parametrize("moment_ms", range(0, 1_000, 50))
def test_successor_takes_over_in_the_middle_of_moves(moment_ms):
    async def run():
        site = leading.LedService()
        await _settle(site)
        for _ in range(6):
            site.leader.record_keys(HOT * 2)
            await site.run_for(500)
        site.find_server("s2").faults.work_ms = 200
        site.leader.record_keys(HOT * 4)
        await site.run_for(moment_ms)
        await site.stop_leader()
        site.start_leader()
        await site.run_for(8_000)
        assert site.fleet.count_unheld() == 0
        _check(site)

    testing.run_manual(run())


def test_late_orders_do_no_harm():
    async def run():
        site = leading.LedService()
        await _settle(site)
        site.find_server("s1").faults.late_ms = 3_000
        for _ in range(20):
            site.leader.record_keys(HOT * 2)
            await site.run_for(500)
        site.find_server("s1").faults.late_ms = 0
        await site.run_for(10_000)
        assert site.fleet.count_unheld() == 0
        _check(site)

    testing.run_manual(run())


@pytest.mark.parametrize("cause", ["load", "leaving"])
def test_nothing_moves_while_the_store_is_out(cause):
    """Moves that began in an outage left their keys unserved in it."""

    async def run():
        site = leading.LedService()
        await _settle(site)
        site.store.faults.is_down = True
        if cause == "leaving":
            entry = site.view.servers["s1"]
            leaving = catalog.ServerState.DRAINING
            site.list_entry(msgspec.structs.replace(entry, state=leaving))
        for _ in range(8):
            site.leader.record_keys(HOT * 2)
            await site.run_for(500)
            assert site.fleet.count_unheld() == 0
        site.store.faults.is_down = False
        for _ in range(8):
            site.leader.record_keys(HOT * 2)
            await site.run_for(500)
        segments = site.view.owners[leading.SERVICE].segments
        assert len(segments) > 4 or cause == "leaving"
        assert site.fleet.count_unheld() == 0
        if cause == "leaving":
            assert not site.find_server("s1").list_held()
        _check(site)

    testing.run_manual(run())


def test_inherited_neighbours_are_merged_and_renewed():
    """A renewal that began beside the merge once stopped all others."""

    async def run():
        site = leading.LedService(servers=1)
        entry = site.view.servers["s0"]
        halves = [
            catalog.Segment(
                first=first,
                last=first + 32_767,
                server=entry.server,
                born_ms=entry.born_ms,
                fence=fence,
            )
            for first, fence in ((0, 1), (32_768, 2))
        ]
        site.put_record(halves, next_fence=3)
        # Long enough for the first look of the leader to merge.
        await site.run_for(5_000)
        site.start_leader()
        await site.run_for(2_000)
        assert len(site.view.owners[leading.SERVICE].segments) == 1
        for _ in range(20):
            await site.run_for(500)
            assert site.fleet.count_unheld() == 0
        _check(site)

    testing.run_manual(run())


@pytest.mark.parametrize("moment_ms", range(0, 1_400, 100))
@pytest.mark.parametrize("name", ["s1", "s9"])
def test_restart_at_the_address_of_the_holder(name, moment_ms):
    """A renewal that reaches the successor bears a new fencing token."""

    async def run():
        site = leading.LedService()
        await _settle(site)
        await site.run_for(moment_ms)
        known = dict(site.view.servers)
        address = known["s1"].address
        entry = site.start_server(name, address=address)
        site.view.set_servers(known)
        # The store learns of the new server a heartbeat later.
        await site.run_for(1_500)
        site.drop_entry("s1")
        site.list_entry(entry)
        await site.run_for(8_000)
        assert site.fleet.count_unheld() == 0
        _check(site)

    testing.run_manual(run())


@pytest.mark.parametrize(
    ("limit_ms", "expected_ms"), [(10_000, 4_000), (1_500, 1_500)]
)
def test_grants_last_no_longer_than_is_allowed(limit_ms, expected_ms):
    async def run():
        site = leading.LedService()
        site.start_leader(grant_limit_ms=limit_ms)
        await site.run_for(3 * SETTLED_MS)
        assert site.grants.longest_ms == expected_ms
        assert site.fleet.count_unheld() == 0
        _check(site)

    testing.run_manual(run())
