"""Tests of the election of pollers and of the expected reporters."""

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge import propagation

ZONE = base.ZoneName("centro-a")


def _make_entries(count):
    return [
        membership.InstanceEntry(
            instance=base.InstanceId(f"i{number}"),
            address=base.Address(f"127.0.0.1:{number + 1}"),
            region=base.RegionName("centro"),
            zone=ZONE,
        )
        for number in range(count)
    ]


def _make_election(me, instances):
    return propagation.PollerElection(me=me, instances=instances)


def test_each_instance_is_expected_to_report_to_one_poller():
    entries = _make_entries(200)
    instances = membership.InstanceView()
    instances.replace(entries)
    pollers = _make_election(entries[0], instances).list_pollers(ZONE)
    expected = [
        name
        for poller in pollers
        for name in _make_election(poller, instances).list_expected_reporters()
    ]
    others = {e.instance for e in entries} - {p.instance for p in pollers}
    assert sorted(expected) == sorted(others)


def test_election_follows_changes_of_the_list():
    entries = _make_entries(40)
    instances = membership.InstanceView()
    instances.replace(entries)
    pollers = _make_election(entries[0], instances).list_pollers(ZONE)
    election = _make_election(pollers[1], instances)
    removed = election.list_expected_reporters()[0]
    remaining = [e for e in entries if e not in (pollers[0],)]
    instances.replace([e for e in remaining if e.instance != removed])
    assert removed not in election.list_expected_reporters()
    assert pollers[0] not in election.list_pollers(ZONE)
