"""Identifier types shared by all subpackages."""

from typing import NewType

#: Name of an instance, unique among live instances of a deployment.
InstanceId = NewType("InstanceId", str)

#: Id of one run of an instance's process; each restart creates a new one.
IncarnationId = NewType("IncarnationId", str)

#: ``IP:PORT`` of a listening socket.
Address = NewType("Address", str)

#: Name of a region.
RegionName = NewType("RegionName", str)

#: Name of an availability zone.
ZoneName = NewType("ZoneName", str)

#: Name of a service, which is one row of the operators' table.
ServiceName = NewType("ServiceName", str)

#: Name of a backend server, unique within its service.
ServerId = NewType("ServerId", str)

#: Id ``service/region`` of a shard: the part of a service's keys whose home
#: is one region, and the service's backend servers there.
ShardId = NewType("ShardId", str)

#: Number of a partition of a service's key space.
PartitionId = NewType("PartitionId", int)

#: Fencing token of a shard leader; increases with every new leader.
Term = NewType("Term", int)

#: Fencing token of one assignment of a partition, ordered within a term.
Epoch = NewType("Epoch", int)

#: Unique id of one write to the table service.
WriteId = NewType("WriteId", str)

#: Version of the operators' table.
TableVersion = NewType("TableVersion", int)


def make_shard_id(service: ServiceName, region: RegionName) -> ShardId:
    """Return the id of the shard of a service in a region.

    Examples
    --------
    >>> make_shard_id(ServiceName("orders"), RegionName("koshi"))
    'orders/koshi'
    """
    return ShardId(f"{service}/{region}")


def split_shard_id(shard: ShardId) -> tuple[ServiceName, RegionName]:
    """Return the service and the region of a shard.

    Examples
    --------
    >>> split_shard_id(ShardId("orders/koshi"))
    ('orders', 'koshi')
    """
    service, _, region = shard.rpartition("/")
    return ServiceName(service), RegionName(region)
