"""Settings of an instance on the platform."""

from collections.abc import Mapping
import dataclasses
import math

from tarragonhinge import base


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstanceOptions:
    """Where an instance stands and what it must keep to.

    Parameters
    ----------
    instance : InstanceId
        Its name.
    zone, region : str
        Where it stands.
    zones : mapping
        The region of each availability zone.
    callers, health, peers : Address
        Where it listens for callers, health checks and other instances.
    store : Address
        Where the row store listens.
    link_mbps : float
        Bandwidth of the instance's link.
    stop_ms : int
        Time from SIGTERM to SIGKILL.
    grant_limit_ms : int
        Longest time for which keys may be granted.
    retry_ratio, retry_slack : float
        Repeats that are allowed for each request, and besides.
    retry_window_ms : int
        Time over which repeats are counted.
    """

    instance: base.InstanceId
    zone: base.ZoneName
    region: base.RegionName
    zones: Mapping[base.ZoneName, base.RegionName]
    callers: base.Address
    health: base.Address
    peers: base.Address
    store: base.Address
    link_mbps: float = math.inf
    stop_ms: int = 6_000
    grant_limit_ms: int = 10_000
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_ms: int = 10_000
