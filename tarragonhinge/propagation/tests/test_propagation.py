"""Table versions and instance lists reach all instances."""

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge import propagation
from tarragonhinge import testing

#: Required time for an accepted edit to come into force on all instances.
MAX_PROPAGATION_MS = 12_000

#: Time after which all pollers have exchanged summaries.
SUMMARY_SETTLE_MS = 20_000


def _list_versions(nodes):
    return [node.instance.view.current.version for node in nodes]


async def _edit(deployment, node):
    """Apply an edit through a node; return the new version."""
    store = node.instance.store
    table = await store.load()
    row = msgspec.structs.replace(table.rows[0], queue=table.rows[0].queue + 1)
    result = await store.apply_edit([row], expected=table.version)
    assert isinstance(result, configuration.Accepted)
    return result.version


async def _wait_in_force(deployment, nodes, version):
    for _ in range(MAX_PROPAGATION_MS // 100):
        if set(_list_versions(nodes)) == {version}:
            return True
        await deployment.wait(100)
    return False


def _list_pollers(deployment):
    return [
        node
        for node in deployment.nodes
        if node.instance.propagator.election.is_poller()
    ]


def test_only_the_elected_pollers_of_each_zone_read_the_store():
    async def scenario():
        deployment = testing.Deployment(instances=12)
        await deployment.start()
        pollers = _list_pollers(deployment)
        assert len(pollers) == 2 * propagation.POLLERS_PER_ZONE

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    "fault", ["none", "half of the pollers lost", "store lost to a zone"]
)
def test_an_edit_comes_into_force_on_all_instances(fault):
    async def scenario():
        deployment = testing.Deployment(instances=12)
        await deployment.start()
        live = list(deployment.nodes)
        if fault == "half of the pollers lost":
            for node in _list_pollers(deployment)[::2]:
                await node.kill()
                live.remove(node)
        elif fault == "store lost to a zone":
            for node in live[::2]:
                node.table.down = True
        version = await _edit(deployment, live[1])
        assert await _wait_in_force(deployment, live, version)

    testing.run_manual(scenario())


def test_an_instance_starts_from_its_peers_during_a_store_outage():
    async def scenario():
        deployment = testing.Deployment(instances=4)
        late_node = deployment.nodes.pop()
        await deployment.start()
        for node in [*deployment.nodes, late_node]:
            node.table.down = True
        await deployment.wait(20_000)
        entry = late_node.instance.me
        deployment.instance_list.entries[entry.instance] = entry
        await late_node.instance.start()
        await deployment.wait(5000)
        assert late_node.instance.view.current.version == 1
        assert all(node.instance.is_ready() for node in deployment.nodes)
        assert late_node.instance.is_ready()

    testing.run_manual(scenario())


@pytest.mark.parametrize("instances", [1, 2, 3])
def test_instances_stay_ready_during_a_store_outage(instances):
    async def scenario():
        deployment = testing.Deployment(instances=instances)
        await deployment.start()
        for node in deployment.nodes:
            node.table.down = True
        await deployment.wait(60_000)
        assert all(node.instance.is_ready() for node in deployment.nodes)

    testing.run_manual(scenario())


def test_an_instance_without_store_and_peers_becomes_unready():
    async def scenario():
        deployment = testing.Deployment(instances=4)
        await deployment.start()
        isolated = deployment.nodes[0]
        isolated.table.down = True
        for node in deployment.nodes[1:]:
            deployment.network.cut_both(isolated.address, node.address)
        await deployment.wait(propagation.DISCONNECTED_AFTER_MS + 3000)
        assert not isolated.instance.is_ready()
        assert all(n.instance.is_ready() for n in deployment.nodes[1:])
        deployment.network.heal()
        isolated.table.down = False
        await deployment.wait(5000)
        assert isolated.instance.is_ready()

    testing.run_manual(scenario())


def test_versions_never_decrease():
    async def scenario():
        deployment = testing.Deployment(instances=4)
        await deployment.start()
        versions_by_address = {node.address: [] for node in deployment.nodes}
        for node in deployment.nodes:
            node.instance.view.changes.subscribe(
                lambda table, node=node: versions_by_address[
                    node.address
                ].append(table.version)
            )
        stale = deployment.nodes[0]
        stale.clock.pause()
        for _ in range(3):
            await _edit(deployment, deployment.nodes[1])
            await deployment.wait(4000)
        stale.clock.resume()
        await deployment.wait(8000)
        assert set(_list_versions(deployment.nodes)) == {4}
        for versions in versions_by_address.values():
            assert versions == sorted(versions)

    testing.run_manual(scenario())


def test_any_instance_reports_the_fleet_version_and_silent_instances():
    async def scenario():
        deployment = testing.Deployment(instances=8)
        await deployment.start(settle_ms=SUMMARY_SETTLE_MS)
        for node in deployment.nodes:
            fleet = await node.instance.propagator.fetch_fleet_version()
            assert (fleet.version, fleet.instances) == (1, 8), node.address
        killed = next(
            node
            for node in deployment.nodes
            if node not in _list_pollers(deployment)
        )
        await killed.kill()
        await deployment.wait(SUMMARY_SETTLE_MS)
        fleet = await deployment.nodes[
            deployment.nodes.index(killed) - 1
        ].instance.propagator.fetch_fleet_version()
        assert fleet.silent == [killed.instance.options.name]

    testing.run_manual(scenario())


def _make_entries(regions, zones, instances):
    return [
        membership.InstanceEntry(
            instance=base.InstanceId(f"i{region}-{zone}-{number}"),
            address=base.Address(f"127.0.0.1:{number + 1}"),
            region=base.RegionName(f"r{region}"),
            zone=base.ZoneName(f"r{region}-{zone}"),
        )
        for region in range(regions)
        for zone in range(zones)
        for number in range(instances)
    ]


@pytest.mark.parametrize(
    ("regions", "instances", "expected"),
    [(1, 5, 15), (10, 5, 15 + 9 * 9), (10, 50, 150 + 9 * 9)],
)
def test_selected_entries_grow_with_the_region_not_the_fleet(
    regions, instances, expected
):
    entries = _make_entries(regions, 3, instances)
    selected = propagation.select_entries(entries, base.RegionName("r0"))
    assert len(selected) == expected
