"""The directory keeps instances that a new coordinator does not list yet."""

import pytest

from tarragonhinge import base
from tarragonhinge import forwarding
from tarragonhinge.forwarding import _directory
from tarragonhinge import testing


def _make_peers(*names):
    return [
        forwarding.PeerInstance(
            instance=base.InstanceId(name),
            address=base.Address(f"10.0.0.{number}:1"),
            zone=base.ZoneName("z"),
        )
        for number, name in enumerate(names)
    ]


def _list_names(directory):
    return sorted(peer.instance for peer in directory.list_all())


@pytest.mark.parametrize(
    ("elapsed_ms", "listed_again", "expected"),
    [
        (0, [], ["e2", "e3"]),
        (_directory.ABSENCE_LIMIT_MS - 1, [], ["e2", "e3"]),
        (_directory.ABSENCE_LIMIT_MS, [], ["e2"]),
        (_directory.ABSENCE_LIMIT_MS, ["e2", "e3"], ["e2", "e3"]),
    ],
)
def test_absent_instance_is_kept_for_a_while(
    elapsed_ms, listed_again, expected
):
    async def scenario():
        clock = testing.ManualClock()
        directory = testing.make_peer_directory(clock, instance="e1")
        directory.record(_make_peers("e1", "e2", "e3"))
        directory.record(_make_peers("e1", "e2"))
        if listed_again:
            directory.record(_make_peers(*listed_again))
        await clock.sleep(elapsed_ms)
        assert _list_names(directory) == expected

    testing.run_manual(scenario())
