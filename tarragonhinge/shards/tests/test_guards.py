"""Scenarios that fail without one of the guards of ownership.

Each scenario passes with its guard, and must fail once the guard is
removed; this shows that the scenario would detect a fault in it.
"""

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge import standins
from tarragonhinge import stores
from tarragonhinge import testing

S0 = base.ServerId("s0")
S1 = base.ServerId("s1")


async def _start(**options):
    deployment = testing.Deployment(row=testing.make_row(servers=2), **options)
    monitor = deployment.watch()
    await deployment.start()
    return deployment, monitor


async def _watch(deployment, monitor, duration_ms):
    for _ in range(duration_ms // 50):
        await deployment.wait(50)
        monitor.verify()


async def take_over_from_paused_writer():
    """A leader paused during a write resumes after a takeover."""
    deployment, monitor = await _start()
    old_leader = deployment.find_leaders()[0]
    old_leader.table.delay_ms = 2000
    deployment.servers[S0].draining = True
    await deployment.wait(1000)
    old_leader.clock.pause()
    await _watch(deployment, monitor, 4000)
    assert len(deployment.find_leaders()) == 2
    old_leader.clock.resume()
    await _watch(deployment, monitor, 2000)
    return deployment


async def replay_old_renewal():
    """A delayed full renewal of an old term reaches a drained server."""
    timing = shards.Timing(grant_ms=4000)
    deployment, monitor = await _start(timing=timing)
    old_leader = deployment.find_leaders()[0]
    server = deployment.servers[S0]
    requests = []
    take_grants = server.take_grants

    def record(request):
        requests.append(request)
        return take_grants(request)

    server.take_grants = record
    deployment.network.cut(S0, old_leader.address)
    await deployment.wait(500)
    deployment.network.heal()
    await deployment.wait(600)
    delayed = [r for r in requests if r.full and r.granted][-1]
    server.draining = True
    await old_leader.kill()
    await _watch(deployment, monitor, 2500)
    assert not server.list_owned(deployment.shard)
    take_grants(delayed)
    await _watch(deployment, monitor, 1000)
    return deployment


async def cut_off_server():
    """A server is cut off while it holds grants."""
    deployment, monitor = await _start()
    for node in deployment.nodes:
        deployment.network.cut_both(node.address, S0)
    await _watch(deployment, monitor, 3000)
    assert len(deployment.servers[S1].list_owned(deployment.shard)) == 8
    return deployment


async def isolate_leader_with_server():
    """A leader reaches only a server that its successor cannot reach."""
    deployment, monitor = await _start()
    old_leader = deployment.find_leaders()[0]
    deployment.isolate(old_leader, reachable=[S0])
    for node in deployment.nodes:
        if node is not old_leader:
            deployment.network.cut_both(node.address, S0)
    await _watch(deployment, monitor, 5000)
    assert len(deployment.servers[S1].list_owned(deployment.shard)) == 8
    return deployment


async def resume_paused_server():
    """A server resumes after a long pause with renewals in its queue."""
    deployment, monitor = await _start()
    deployment.servers[S1].clock.pause()
    await _watch(deployment, monitor, 3000)
    deployment.servers[S1].clock.resume()
    await _watch(deployment, monitor, 1000)
    return deployment


def _accept_late_renewals(monkeypatch):
    apply = standins.GrantTable.apply

    def apply_late(self, request, *, now):
        if request.server_incarnation:
            expires_at = now + shards.Timing().grant_ms
            request = msgspec.structs.replace(request, expires_at=expires_at)
        return apply(self, request, now=now)

    monkeypatch.setattr(standins.GrantTable, "apply", apply_late)


def _skip_lapse_wait(monkeypatch):
    monkeypatch.setattr(shards.GrantKeeper, "has_lapsed", lambda self: True)


def _skip_takeover_wait(monkeypatch):
    def bound(self, record, promised_until):
        return self._clock.now()

    monkeypatch.setattr(shards.ClaimBuilder, "compute_inherited_until", bound)


def _skip_version_checks(monkeypatch):
    transact = stores.MemoryTable.transact

    async def transact_unchecked(self, transaction):
        unchecked = stores.Transaction(
            write_id=transaction.write_id, puts=transaction.puts
        )
        return await transact(self, unchecked)

    monkeypatch.setattr(stores.MemoryTable, "transact", transact_unchecked)


def _accept_any_term(monkeypatch):
    def is_current(self, request, held):
        return request.server_incarnation in ("", self.incarnation)

    monkeypatch.setattr(standins.GrantTable, "_is_current", is_current)


def _keep_grants_valid(monkeypatch):
    store = standins.GrantTable._store

    def store_without_expiry(self, request, held):
        store(self, request, held)
        held.expires_at = 1 << 60

    monkeypatch.setattr(standins.GrantTable, "_store", store_without_expiry)


def _keep_authority_valid(monkeypatch):
    lease = shards.AuthorityLease
    monkeypatch.setattr(lease, "is_valid", lambda self: True)
    monkeypatch.setattr(lease, "get_remaining_ms", lambda self: 1 << 30)


@pytest.mark.parametrize(
    ("scenario", "remove_guard"),
    [
        (take_over_from_paused_writer, _skip_version_checks),
        (replay_old_renewal, _accept_any_term),
        (cut_off_server, _keep_grants_valid),
        (isolate_leader_with_server, _keep_authority_valid),
        (resume_paused_server, _accept_late_renewals),
        (cut_off_server, _skip_lapse_wait),
        (isolate_leader_with_server, _skip_takeover_wait),
    ],
    ids=[
        "record",
        "fencing token",
        "grant validity",
        "authority lease",
        "late renewals extend nothing",
        "wait for the lapse",
        "wait after a takeover",
    ],
)
def test_each_guard_is_needed(scenario, remove_guard, monkeypatch):
    testing.run_manual(scenario())
    remove_guard(monkeypatch)
    with pytest.raises(AssertionError, match=r"at \d+ ms"):
        testing.run_manual(scenario())


def test_a_server_that_returns_during_a_move_gets_no_grant():
    async def scenario():
        deployment, monitor = await _start()
        for node in deployment.nodes:
            node.table.delay_ms = 600
        deployment.servers[S1].clock.pause()
        await _watch(deployment, monitor, 1700)
        deployment.servers[S1].clock.resume()
        await _watch(deployment, monitor, 2000)

    testing.run_manual(scenario())
