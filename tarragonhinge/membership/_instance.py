"""Instances of the router and their states."""

import enum

import msgspec

from tarragonhinge import base


class InstanceState(enum.Enum):
    """State in the life cycle of an instance."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class InstanceEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of an instance on the platform's list.

    Parameters
    ----------
    instance : InstanceId
        Name of the instance.
    address : Address
        Address on which the instance listens for peers.
    region : RegionName
        Region of the instance.
    zone : ZoneName
        Availability zone of the instance.
    state : InstanceState
        Last published state of the instance.
    """

    instance: base.InstanceId
    address: base.Address
    region: base.RegionName
    zone: base.ZoneName
    state: InstanceState = InstanceState.READY
