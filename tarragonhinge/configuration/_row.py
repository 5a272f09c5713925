"""One row of the operators' table."""

import enum

import msgspec

from tarragonhinge import base


class KeySource(enum.Enum):
    """Where a request of a keyed service carries its key."""

    NONE = "none"
    PATH = "path"
    HEADER = "header"
    QUERY = "query"


class ServerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An eligible backend server.

    Parameters
    ----------
    server : ServerId
        Its name.
    address : Address
        Where it listens.
    region, zone : str
        Where it stands.
    weight : float
        Share of load relative to the others.
    """

    server: base.ServerId
    address: base.Address
    region: base.RegionName
    zone: base.ZoneName
    weight: float = 1.0


class ServiceRow(msgspec.Struct, frozen=True, kw_only=True):
    """A service as operators configure it.

    Parameters
    ----------
    service : ServiceName
        First segment of the path of its requests.
    key_source : KeySource
        Where the key stands.
    key_name : str
        Number of the path segment, or name of the header or parameter.
    partitions : int
        Number of partitions of the key space; fixed once in use.
    homes : list of RegionName
        Regions that hold the partitions, in turn: partition ``p`` lives
        in ``homes[p % len(homes)]``; fixed once in use.
    servers : list of ServerEntry
        Eligible backend servers.
    instances : list of InstanceId
        Instances that may lead its shards; empty for all.
    idempotent_methods : tuple of str
        Methods that may be repeated.
    slots : int
        Requests that a server runs at once.
    connections : int
        Connections that a server takes.
    queue : int
        Requests that may wait for one server.
    ramp_ms : int
        Time over which a restarted server's slots open; 0 for at once,
        at most 600,000.
    picker : str
        Policy that picks a server where there is no key.
    discipline : str
        Order in which waiting requests get slots.
    rate : float
        Requests a second that the service admits; 0 for no limit.
    concurrency : int
        Requests of the service in flight at once; 0 for no limit.
    priority : int
        Class of priority; lower numbers are served first.
    deadline_ms : int
        Deadline of a request that states none.
    body_limit : int
        Largest accepted body, in bytes.
    cross_region_bytes : int
        Bytes a second that the service may send to another region; 0
        for no limit.
    retry_ratio : float
        Retries allowed for each request, as a ratio.
    history : str
        Policy that keeps the memory of idempotency keys over the loss
        of a leader.
    cancels : bool
        True if its servers give up a request whose connection closes.
    dialect : str
        Grant dialect of its servers.
    planner : str
        Policy that plans moves.
    churn_weight : float
        Cost of moving a partition, in units of the load of an average
        one; the higher, the fewer moves.
    lost : list of str
        Servers and instances that operators have stopped for sure; no
        lease or grant of theirs is waited for.
    """

    service: base.ServiceName
    key_source: KeySource = KeySource.PATH
    key_name: str = "1"
    partitions: int = 64
    homes: list[base.RegionName] = []
    servers: list[ServerEntry] = []
    instances: list[base.InstanceId] = []
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    slots: int = 2
    connections: int = 110
    queue: int = 100
    ramp_ms: int = 3000
    picker: str = "least_loaded"
    discipline: str = "priority"
    rate: float = 0.0
    concurrency: int = 0
    priority: int = 1
    deadline_ms: int = 2000
    body_limit: int = 1024 * 1024
    cross_region_bytes: int = 0
    retry_ratio: float = 0.1
    history: str = "standby"
    cancels: bool = True
    dialect: str = "lapsing"
    planner: str = "weighed"
    churn_weight: float = 0.5
    lost: list[str] = []

    def list_regions(self) -> list[base.RegionName]:
        """Return the regions that hold partitions of the service."""
        return sorted(set(self.homes))

    def get_home(self, partition: base.PartitionId) -> base.RegionName:
        """Return the region that holds a partition."""
        return self.homes[partition % len(self.homes)]

    def list_partitions(
        self, region: base.RegionName
    ) -> list[base.PartitionId]:
        """Return the partitions that a region holds."""
        return [
            base.PartitionId(number)
            for number in range(self.partitions)
            if self.get_home(base.PartitionId(number)) == region
        ]

    def list_servers(self, region: base.RegionName) -> list[ServerEntry]:
        """Return the service's servers in a region."""
        return [entry for entry in self.servers if entry.region == region]
