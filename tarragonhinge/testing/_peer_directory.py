"""Directory of other instances for tests."""

from tarragonhinge import base
from tarragonhinge import forwarding


def make_peer_directory(
    clock: base.Clock, *, instance: str = "e1"
) -> forwarding.PeerDirectory:
    """Return an empty directory of an instance."""
    return forwarding.PeerDirectory(
        own=forwarding.PeerInstance(
            instance=base.InstanceId(instance),
            address=base.Address("127.0.0.1:1"),
            zone=base.ZoneName("z"),
        ),
        clock=clock,
    )
