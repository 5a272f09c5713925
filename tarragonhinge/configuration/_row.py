"""Rows of the operators' table."""

import enum

import msgspec

from tarragonhinge import base


class KeySource(enum.Enum):
    """Part of a request that carries its key."""

    NONE = "none"
    PATH = "path"
    HEADER = "header"
    QUERY = "query"


class ServerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server that may serve requests of a service.

    Parameters
    ----------
    server : ServerId
        Name of the server.
    address : Address
        Address on which it listens.
    region, zone : str
        Region and availability zone in which it runs.
    weight : float
        Weight of its load relative to the other servers.
    """

    server: base.ServerId
    address: base.Address
    region: base.RegionName
    zone: base.ZoneName
    weight: float = 1.0


class ServiceRow(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of one service.

    Parameters
    ----------
    service : ServiceName
        First segment of the path of its requests.
    key_source : KeySource
        Part of a request that carries its key; ``NONE`` for a service
        without keys.
    key_name : str
        Number of the path segment that holds the key, or name of the
        header field or query parameter.
    partitions : int
        Number of partitions of the key space; not to be changed once
        the service is in use.
    homes : list of RegionName
        Home regions of the partitions: partition ``p`` belongs to
        ``homes[p % len(homes)]``; not to be changed once the service is
        in use.
    servers : list of ServerEntry
        Backend servers that may serve its requests.
    instances : list of InstanceId
        Instances that may lead its shards; empty for all.
    idempotent_methods : tuple of str
        Methods whose requests may be retried.
    slots : int
        Maximum number of requests that a server runs concurrently.
    connections : int
        Maximum number of connections that a server accepts.
    queue : int
        Maximum number of requests that wait for one server.
    ramp_ms : int
        Time over which the slots of a restarted server increase to their
        full number, in milliseconds, at most 600,000; 0 to use all slots
        at once.
    picker : str
        Policy that selects a server for a request without a key.
    discipline : str
        Queueing discipline: order in which waiting requests get slots.
    rate : float
        Rate limit of the service, in requests per second; 0 for no
        limit.
    concurrency : int
        Maximum number of requests of the service in flight at the same
        time; 0 for no limit.
    priority : int
        Priority class; lower numbers are served first.
    deadline_ms : int
        Default deadline of a request, in milliseconds.
    body_limit : int
        Maximum size of a request body, in bytes.
    cross_region_bytes : int
        Cross-region byte budget of the service, in bytes per second; 0
        for no limit.
    retry_ratio : float
        Maximum ratio of retries to requests.
    history : str
        Policy that preserves the request history, that is the recorded
        idempotency keys, when a leader is lost.
    cancels : bool
        True if its servers cancel a request whose connection closes.
    dialect : str
        Grant protocol dialect of its servers.
    planner : str
        Policy that plans the moves of partitions between servers.
    churn_weight : float
        Cost of moving a partition, in units of the mean load of a
        partition; a higher cost causes fewer moves.
    lost : list of str
        Servers and instances that operators declare stopped for good;
        their leases and grants are not waited for.
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
        """Return the home regions of the service, sorted and unique."""
        return sorted(set(self.homes))

    def get_home(self, partition: base.PartitionId) -> base.RegionName:
        """Return the home region of a partition."""
        return self.homes[partition % len(self.homes)]

    def list_partitions(
        self, region: base.RegionName
    ) -> list[base.PartitionId]:
        """Return the partitions whose home is a region."""
        return [
            base.PartitionId(number)
            for number in range(self.partitions)
            if self.get_home(base.PartitionId(number)) == region
        ]

    def list_servers(self, region: base.RegionName) -> list[ServerEntry]:
        """Return the service's servers in a region."""
        return [entry for entry in self.servers if entry.region == region]
