"""Settings of an instance on the platform."""

from collections.abc import Mapping
import dataclasses
import math

from tarragonhinge import base


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstanceOptions:
    """Location, addresses and limits of an instance.

    Parameters
    ----------
    instance : InstanceId
        Name of the instance.
    zone, region : str
        Availability zone and region of the instance.
    zones : mapping
        Region of each availability zone.
    callers, health, peers : Address
        Addresses to listen on for callers, health checks and other
        instances.
    forwarding : Address
        Address to listen on for requests that other instances forward.
    store : Address
        Address of the row store.
    is_first_start : bool
        Whether the whole system starts for the first time.
    link_mbps : float
        Bandwidth of the instance's network link, in Mbit/s.
    stop_ms : int
        Time between SIGTERM and SIGKILL.
    grant_limit_ms : int
        Longest duration of a grant of keys.
    retry_ratio : float
        Number of retries allowed per request.
    retry_slack : float
        Number of retries allowed within the window in addition, for all
        instances together.
    retry_window_ms : int
        Time window over which requests and retries are counted.
    drain_ms, evacuate_ms : int
        Time after which a draining server, or one in an evacuated zone, must
        get no requests.
    row_bytes : int
        Longest value of a row that the store accepts, in bytes of base64.
    memory_bytes : int or None
        Memory that the process may use; None if it is not limited.
    max_descriptors : int or None
        Descriptors that it may open; None if they are not limited.
    """

    instance: base.InstanceId
    zone: base.ZoneName
    region: base.RegionName
    zones: Mapping[base.ZoneName, base.RegionName]
    callers: base.Address
    health: base.Address
    peers: base.Address
    forwarding: base.Address
    store: base.Address
    is_first_start: bool = True
    link_mbps: float = math.inf
    stop_ms: int = 6_000
    grant_limit_ms: int = 10_000
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_ms: int = 10_000
    drain_ms: int = 3_000
    evacuate_ms: int = 5_000
    row_bytes: int = 65_536
    memory_bytes: int | None = None
    max_descriptors: int | None = None
