"""What instances know of each other."""

import enum

import msgspec

from tarragonhinge import base


class InstanceState(enum.Enum):
    """Life cycle of an instance."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class InstanceEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An instance on the platform's list.

    Parameters
    ----------
    instance : InstanceId
        Its name.
    address : Address
        Where it listens for peers.
    region, zone : str
        Where it stands.
    state : InstanceState
        As last announced.
    """

    instance: base.InstanceId
    address: base.Address
    region: base.RegionName
    zone: base.ZoneName
    state: InstanceState = InstanceState.READY
