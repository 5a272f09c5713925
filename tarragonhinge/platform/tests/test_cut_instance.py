"""Instances that are cut off from servers, which other instances reach."""

import asyncio
import collections
import time

import pytest

from tarragonhinge.platform import standins
from tarragonhinge.platform.tests import deployment

#: Bounds of the rule RECOVER: time in seconds after which callers of a cut
#: instance are served, and smallest share of theirs relative to the others.
CONTACT_S = 3.0
MIN_RELATIVE_SHARE = 2 / 3

#: Time in seconds for which requests are sent before a cut, and after
#: `CONTACT_S`.
WARM_UP_S = 1.0
MEASURED_S = 3.0

ALL_FORMS = list(standins.CutForm)


def _make_target(number):
    prefix = "/u/" if number % 3 == 0 else "/x/"
    return f"{prefix}{number}", number * 977 % 65_536


async def _send(fleet, seconds):
    await fleet.repeat(_make_target, seconds=seconds, every_ms=25)


def _compute_shares(fleet, cut_ips, since):
    """Return the served shares of the cut instances and of the others."""
    counts = collections.Counter(
        (sent.ip in cut_ips, sent.status == 200)
        for sent in fleet.sent
        if sent.sent_at >= since
    )
    return [
        counts[is_cut, True] / (counts[is_cut, True] + counts[is_cut, False])
        for is_cut in (True, False)
    ]


async def _measure_cut(fleet, networks, form, servers=None):
    """Cut instances, send requests, and return the served shares."""
    callers = asyncio.create_task(
        _send(fleet, WARM_UP_S + CONTACT_S + MEASURED_S)
    )
    await asyncio.sleep(WARM_UP_S)
    cut_ips = {ip for ip, net in fleet.networks.items() if net in networks}
    since = time.monotonic() + CONTACT_S
    fleet.cut(networks, form, servers)
    await callers
    return _compute_shares(fleet, cut_ips, since)


def _check_once(fleet):
    """Check that no attempt at the route that allows it ran twice."""
    counts = collections.Counter(a for s in fleet.servers for a in s.executed)
    unsafe = {s.attempt for s in fleet.sent if s.target.startswith("/u/")}
    assert [a for a in unsafe if counts[a] > 1] == []
    promised = {s.attempt for s in fleet.sent if s.status == 503}
    assert [a for a in promised if counts[a]] == []


def _list_crashes(fleet):
    return [i.gateway.guard.crash_count for i in fleet.instances]


@pytest.mark.parametrize("form", ALL_FORMS)
@pytest.mark.parametrize(
    ("instances", "cut", "is_keyed"),
    [(3, 1, False), (3, 1, True), (3, 2, False), (9, 6, True)],
)
def test_callers_of_cut_instances_are_served(form, instances, cut, is_keyed):
    async def run():
        async with deployment.Deployment(
            instances=instances, servers=6, is_keyed=is_keyed
        ) as fleet:
            coordinator = fleet.find_coordinator()
            networks = [
                fleet.find_network(instance)
                for instance in fleet.instances
                if instance is not coordinator
            ][:cut]
            at_cut, elsewhere = await _measure_cut(fleet, networks, form)
            assert elsewhere > 0.95
            assert at_cut >= MIN_RELATIVE_SHARE * elsewhere
            assert sum(_list_crashes(fleet)) == 0
            _check_once(fleet)

    asyncio.run(run())


@pytest.mark.parametrize("form", ALL_FORMS)
def test_callers_are_served_while_some_servers_are_out_of_reach(form):
    async def run():
        async with deployment.Deployment(
            instances=3, servers=6, is_keyed=True
        ) as fleet:
            coordinator = fleet.find_coordinator()
            network = next(
                fleet.find_network(instance)
                for instance in fleet.instances
                if instance is not coordinator
            )
            at_cut, elsewhere = await _measure_cut(
                fleet, [network], form, fleet.servers[:3]
            )
            assert elsewhere > 0.95
            assert at_cut >= MIN_RELATIVE_SHARE * elsewhere
            assert sum(_list_crashes(fleet)) == 0
            _check_once(fleet)

    asyncio.run(run())


@pytest.mark.parametrize("form", ALL_FORMS)
def test_keys_have_owners_while_coordinator_is_cut(form):
    """Another instance renews the grants of owners that it can't reach."""

    async def run():
        async with deployment.Deployment(
            instances=3, servers=4, is_keyed=True
        ) as fleet:
            network = fleet.find_network(fleet.find_coordinator())
            at_cut, elsewhere = await _measure_cut(fleet, [network], form)
            assert elsewhere > 0.95
            assert at_cut >= MIN_RELATIVE_SHARE * elsewhere
            assert sum(_list_crashes(fleet)) == 0
            _check_once(fleet)

    asyncio.run(run())


@pytest.mark.parametrize("form", ALL_FORMS)
def test_instance_reaches_servers_itself_soon_after_a_cut(form):
    async def run():
        async with deployment.Deployment(instances=3, servers=6) as fleet:
            networks = [fleet.find_network(fleet.instances[0])]
            await _measure_cut(fleet, networks, form)
            networks[0].heal()
            await _send(fleet, 1.5)
            served = len([s for s in fleet.sent if s.status == 200])
            fleet.sent.clear()
            await _send(fleet, 1.0)
            assert served
            assert {s.status for s in fleet.sent} == {200}

    asyncio.run(run())


@pytest.mark.parametrize("form", ALL_FORMS)
@pytest.mark.parametrize(
    ("instances", "cut", "servers_cut"), [(3, 1, 6), (9, 6, 6), (9, 6, 2)]
)
def test_cut_instances_report_no_server_as_crashed(
    form, instances, cut, servers_cut
):
    async def run():
        async with deployment.Deployment(
            instances=instances, servers=6
        ) as fleet:
            for server in fleet.servers:
                server.work_s = 0.2
            networks = list(fleet.networks.values())[:cut]
            _, elsewhere = await _measure_cut(
                fleet, networks, form, fleet.servers[:servers_cut]
            )
            assert sum(_list_crashes(fleet)) == 0
            assert elsewhere > 0.95
            _check_once(fleet)

    asyncio.run(run())
