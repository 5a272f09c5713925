"""Shares of limits that several leaders enforce."""

from collections.abc import Mapping
import dataclasses
import math

from tarragonhinge import base
from tarragonhinge import configuration


#: Maximum number of leaders of a shard with open connections: the current
#: leader, and the previous one until it detects that it was replaced.
MAX_CONNECTED_LEADERS = 2

#: Number of connections that a leader reserves for heartbeats.
HEARTBEAT_CONNECTIONS = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardShare:
    """Share of one shard in the limits of its service.

    Parameters
    ----------
    rate : float
        Requests per second; infinite for no limit.
    concurrency : float
        Concurrent requests; infinite for no limit.
    """

    rate: float
    concurrency: float


def apportion(total: int, weights: Mapping[str, int]) -> dict[str, int]:
    """Divide a whole number in proportion to weights.

    Uses the largest remainder method.  Ties are broken by name, so that
    all instances compute the same result.

    Parameters
    ----------
    total : int
        Number to divide.
    weights : mapping
        Weight by name.

    Returns
    -------
    dict
        Whole number by name; the numbers add up to `total`.

    Examples
    --------
    >>> apportion(10, {"centro": 4, "sur": 2, "austral": 2})
    {'centro': 5, 'sur': 2, 'austral': 3}
    """
    total_weight = sum(weights.values())
    shares = {
        name: total * weight // total_weight
        for name, weight in weights.items()
    }
    ranked = sorted(
        weights,
        key=lambda name: (-(total * weights[name] % total_weight), name),
    )
    for name in ranked[: total - sum(shares.values())]:
        shares[name] += 1
    return shares


def compute_share(
    table: configuration.OperatorsTable, shard: base.ShardId
) -> ShardShare:
    """Return a shard's share, in proportion to its region's partitions.

    The shares of all shards of a service add up to the service's limits.
    """
    service, region = base.split_shard_id(shard)
    row = table.find_row(service)
    if row is None:
        return ShardShare(rate=math.inf, concurrency=math.inf)
    weights = {
        name: len(row.list_partitions(name)) for name in row.list_regions()
    }
    fraction = weights.get(region, 0) / row.partitions
    rate = row.rate * fraction if row.rate else math.inf
    concurrency = math.inf
    if row.concurrency:
        shares = apportion(row.concurrency, weights)
        concurrency = shares.get(region, 0)
    return ShardShare(rate=rate, concurrency=concurrency)


def list_sharing_shards(
    table: configuration.OperatorsTable, address: base.Address
) -> dict[base.ShardId, int]:
    """Return the slot limit of each shard that uses a server."""
    return {
        base.make_shard_id(row.service, entry.region): limit_slots(row)
        for row in table.rows
        for entry in row.servers
        if entry.address == address
    }


def compute_slots(
    table: configuration.OperatorsTable,
    shard: base.ShardId,
    address: base.Address,
) -> int | None:
    """Return the number of slots of a server that a shard may use.

    Shards that use the same server divide its slots; if their rows have
    different slot limits, the lowest one applies.

    Returns
    -------
    int or None
        The result is 0 if only other shards use the server, and None if no
        shard uses it.
    """
    slots_by_shard = list_sharing_shards(table, address)
    if shard not in slots_by_shard:
        return 0 if slots_by_shard else None
    shares = apportion(
        min(slots_by_shard.values()), dict.fromkeys(slots_by_shard, 1)
    )
    return shares[shard]


def compute_connections(row: configuration.ServiceRow) -> int:
    """Return the number of connections of one leader to a server.

    Examples
    --------
    >>> compute_connections(configuration.ServiceRow(
    ...     service="stock", connections=110))
    55
    """
    return max(
        1 + HEARTBEAT_CONNECTIONS, row.connections // MAX_CONNECTED_LEADERS
    )


def limit_slots(row: configuration.ServiceRow) -> int:
    """Return the row's slots, limited by the connections of a leader.

    Examples
    --------
    >>> limit_slots(configuration.ServiceRow(service="stock", slots=2))
    2
    >>> limit_slots(configuration.ServiceRow(
    ...     service="stock", slots=10, connections=8))
    3
    """
    return min(row.slots, compute_connections(row) - HEARTBEAT_CONNECTIONS)
