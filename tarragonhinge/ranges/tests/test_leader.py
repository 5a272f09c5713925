"""A range leader keeps exactly one holder for every key."""

import msgspec
import pytest

from tarragonhinge import catalog
from tarragonhinge.ranges.tests import led_service
from tarragonhinge import testing

STARTUP_MS = 3_000

#: Keys that receive all reported requests.
HOT_KEYS = list(range(1_000, 1_020))


async def _start_and_wait(service):
    service.start_leader()
    await service.run_for(STARTUP_MS)
    assert service.fleet.count_unowned_keys() == 0


def _assert_no_violations(service):
    assert service.fleet.violations == []


def test_initial_ranges_cover_all_keys():
    async def run():
        service = led_service.LedService()
        await _start_and_wait(service)
        assert len(service.view.owners[led_service.SERVICE].segments) == 4
        _assert_no_violations(service)

    testing.run_manual(run())


def test_hot_keys_move_and_stay_held():
    async def run():
        service = led_service.LedService()
        await _start_and_wait(service)
        for _ in range(60):
            service.leader.record_keys(HOT_KEYS * 2)
            await service.run_for(500)
        segments = service.view.owners[led_service.SERVICE].segments
        holders = {
            s.server for s in segments if s.first <= 1_019 and s.last >= 1_000
        }
        assert len(holders) >= 3
        assert service.fleet.count_unowned_keys() == 0
        _assert_no_violations(service)

    testing.run_manual(run())


def test_merged_keys_stay_held():
    async def run():
        service = led_service.LedService()
        await _start_and_wait(service)
        for _ in range(20):
            service.leader.record_keys(HOT_KEYS * 2)
            await service.run_for(500)
        for _ in range(40):
            await service.run_for(1_000)
            assert service.fleet.count_unowned_keys() == 0
        _assert_no_violations(service)

    testing.run_manual(run())


@pytest.mark.parametrize(
    ("fault", "limit_ms"),
    [
        ("draining", 700),
        ("crashed", 5_500),
        ("silent", 5_500),
        ("restarted", 1_000),
    ],
)
def test_keys_of_a_draining_or_lost_server_are_reassigned(fault, limit_ms):
    async def run():
        service = led_service.LedService()
        await _start_and_wait(service)
        server = service.find_server("s1")
        if fault == "draining":
            service.put_entry(
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
        elif fault == "restarted":
            service.start_server("s1")
        else:
            server.is_up = fault != "crashed"
            server.faults.is_silent = fault == "silent"
            service.remove_entry("s1")
        await service.run_for(limit_ms)
        assert service.fleet.count_unowned_keys() == 0
        if fault != "restarted":
            assert not server.list_held_ranges()
        _assert_no_violations(service)

    testing.run_manual(run())


@pytest.mark.parametrize("moment_ms", range(0, 1_400, 200))
def test_retried_renewals_do_not_extend_the_lease_of_a_silent_server(
    moment_ms,
):
    """Guards against renewal retries that delay the reassignment of keys.

    Each retry without a response extended the lease by another 4 s. The
    limit of 6.6 s covers one renewal (due after 1.3 s, timeout 0.7 s), the
    expiry of its grant (4.2 s) and the move.
    """

    async def run():
        service = led_service.LedService()
        await _start_and_wait(service)
        await service.run_for(moment_ms)
        service.find_server("s1").faults.is_silent = True
        await service.run_for(2_600)
        service.remove_entry("s1")
        await service.run_for(6_600 - 2_600)
        assert service.fleet.count_unowned_keys() == 0
        _assert_no_violations(service)

    testing.run_manual(run())


@pytest.mark.parametrize("moment_ms", range(0, 1_400, 200))
def test_renewals_of_a_silent_server_do_not_wait_for_each_other(moment_ms):
    """Guards against renewals that queue for the connection to a server.

    Each waited for the timeout of the one before. Keys of a server that
    drained meanwhile moved only after that, and the last grants expired 3 s
    later than the first.
    """

    async def run():
        service = led_service.LedService()
        service.put_segments(64)
        await _start_and_wait(service)
        await service.run_for(moment_ms)
        service.find_server("s1").faults.is_silent = True
        await service.run_for(2_600)
        service.drain("s1")
        await service.run_for(400)
        assert not [
            segment
            for segment in service.view.owners[led_service.SERVICE].segments
            if segment.server == "s1"
            and segment.state is catalog.SegmentState.HELD
        ]
        await service.run_for(6_600 - 2_600 - 400)
        assert service.fleet.count_unowned_keys() == 0
        _assert_no_violations(service)

    testing.run_manual(run())


@pytest.mark.parametrize("moment_ms", range(0, 1_000, 50))
def test_new_leader_completes_interrupted_moves(moment_ms):
    async def run():
        service = led_service.LedService()
        await _start_and_wait(service)
        for _ in range(6):
            service.leader.record_keys(HOT_KEYS * 2)
            await service.run_for(500)
        service.find_server("s2").faults.work_ms = 200
        service.leader.record_keys(HOT_KEYS * 4)
        await service.run_for(moment_ms)
        await service.stop_leader()
        service.start_leader()
        await service.run_for(8_000)
        assert service.fleet.count_unowned_keys() == 0
        _assert_no_violations(service)

    testing.run_manual(run())


def test_delayed_grants_and_releases_keep_one_holder():
    async def run():
        service = led_service.LedService()
        await _start_and_wait(service)
        service.find_server("s1").faults.late_ms = 3_000
        for _ in range(20):
            service.leader.record_keys(HOT_KEYS * 2)
            await service.run_for(500)
        service.find_server("s1").faults.late_ms = 0
        await service.run_for(10_000)
        assert service.fleet.count_unowned_keys() == 0
        _assert_no_violations(service)

    testing.run_manual(run())


@pytest.mark.parametrize("cause", ["load", "leaving"])
def test_no_moves_start_during_a_store_outage(cause):
    """Guards against a move whose keys stay unserved until the outage ends.

    The keys are released, but the new holder can't be recorded.
    """

    async def run():
        service = led_service.LedService()
        await _start_and_wait(service)
        service.store.faults.is_down = True
        if cause == "leaving":
            entry = service.view.servers["s1"]
            state = catalog.ServerState.DRAINING
            service.put_entry(msgspec.structs.replace(entry, state=state))
        for _ in range(8):
            service.leader.record_keys(HOT_KEYS * 2)
            await service.run_for(500)
            assert service.fleet.count_unowned_keys() == 0
        service.store.faults.is_down = False
        for _ in range(8):
            service.leader.record_keys(HOT_KEYS * 2)
            await service.run_for(500)
        segments = service.view.owners[led_service.SERVICE].segments
        assert len(segments) > 4 or cause == "leaving"
        assert service.fleet.count_unowned_keys() == 0
        if cause == "leaving":
            assert not service.find_server("s1").list_held_ranges()
        _assert_no_violations(service)

    testing.run_manual(run())


@pytest.mark.parametrize("outage_ms", range(1_000, 4_000, 500))
def test_draining_server_loses_its_keys_soon_after_an_outage(outage_ms):
    """Guards against a drain that waits for the retry of a failed write.

    The store takes the entry of a server that drains as soon as it is back,
    but the coordinator tried to write only up to 1 s later.
    """

    async def run():
        service = led_service.LedService()
        await _start_and_wait(service)
        service.store.faults.rejects_writes = True
        service.drain("s0")
        await service.run_for(outage_ms)
        assert service.fleet.count_unowned_keys() == 0
        service.store.faults.rejects_writes = False
        service.drain("s1")
        await service.run_for(700)
        assert service.fleet.count_unowned_keys() == 0
        assert not service.find_server("s1").list_held_ranges()
        _assert_no_violations(service)

    testing.run_manual(run())


@pytest.mark.parametrize("cause", ["drain", "evacuation"])
def test_new_holder_that_leaves_is_replaced_at_once(cause):
    """Guards against grants to a new holder that may not keep its keys.

    A draining server may refuse them, and each grant without an answer made
    the keys wait for longer.
    """

    async def run():
        service = led_service.LedService(servers=3, zones=("z", "z", "y"))
        await _start_and_wait(service)
        # The only server that is chosen, since it has no load.
        service.leader.record_keys([0, 30_000] * 200)
        new = service.start_server("s5")
        service.find_server("s5").faults.rejects_grants = True
        service.drain("s0")
        await service.run_for(300)
        if cause == "drain":
            service.drain("s5")
        else:
            service.view.set_evacuated_zones([new.zone])
        await service.run_for(400)
        owners = service.view.owners[led_service.SERVICE]
        assert owners.find(0).server != "s5"
        assert service.fleet.count_unowned_keys() == 0
        _assert_no_violations(service)

    testing.run_manual(run())


def test_recorded_adjacent_leases_are_merged_and_renewed():
    """Guards against a renewal during a merge, which stopped all renewals."""

    async def run():
        service = led_service.LedService(servers=1)
        entry = service.view.servers["s0"]
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
        service.put_record(halves, next_fence=3)
        # Long enough for the leader's first check to merge the leases.
        await service.run_for(5_000)
        service.start_leader()
        await service.run_for(2_000)
        assert len(service.view.owners[led_service.SERVICE].segments) == 1
        for _ in range(20):
            await service.run_for(500)
            assert service.fleet.count_unowned_keys() == 0
        _assert_no_violations(service)

    testing.run_manual(run())


@pytest.mark.parametrize("moment_ms", range(0, 1_400, 100))
@pytest.mark.parametrize("name", ["s1", "s9"])
def test_keys_have_one_holder_after_takeover_of_its_address(name, moment_ms):
    """Keys have one holder when a process takes over a holder's address.

    A renewal that reaches the new process has a new fencing token.
    """

    async def run():
        service = led_service.LedService()
        await _start_and_wait(service)
        await service.run_for(moment_ms)
        entries = dict(service.view.servers)
        address = entries["s1"].address
        entry = service.start_server(name, address=address)
        service.view.set_servers(entries)
        # The new server's entry arrives one heartbeat later.
        await service.run_for(1_500)
        service.remove_entry("s1")
        service.put_entry(entry)
        await service.run_for(8_000)
        assert service.fleet.count_unowned_keys() == 0
        _assert_no_violations(service)

    testing.run_manual(run())


@pytest.mark.parametrize(
    ("limit_ms", "expected_ms"), [(10_000, 4_000), (1_500, 1_500)]
)
def test_grant_duration_is_limited(limit_ms, expected_ms):
    async def run():
        service = led_service.LedService()
        service.start_leader(grant_limit_ms=limit_ms)
        await service.run_for(3 * STARTUP_MS)
        assert service.grants.max_hold_ms == expected_ms
        assert service.fleet.count_unowned_keys() == 0
        _assert_no_violations(service)

    testing.run_manual(run())


def test_cold_owner_has_fewer_keys_until_it_is_warm():
    """Guards against a cold server that owns as many keys as a warm one."""

    async def run():
        service = led_service.LedService()
        cold_rates = {"s1": 1.5}
        service.start_leader(
            find_rate_limit=lambda entry: cold_rates.get(entry.server)
        )
        keys = list(range(0, 65_536, 5_461))

        async def run_and_count():
            for _ in range(20):
                service.leader.record_keys(keys)
                await service.run_for(500)
            owners = service.view.owners[led_service.SERVICE]
            return sum(owners.find(key).server == "s1" for key in keys)

        assert await run_and_count() <= 1
        cold_rates.clear()
        assert await run_and_count() >= 2
        _assert_no_violations(service)

    testing.run_manual(run())
