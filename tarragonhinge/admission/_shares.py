"""Shares of a limit that several leaders enforce."""

from collections.abc import Mapping
import dataclasses
import math

from tarragonhinge import base
from tarragonhinge import configuration


#: Leaders of a shard that may hold connections at once: one, and its
#: predecessor until that notices that it was replaced.
LEADERS_AT_ONCE = 2

#: Connections that a leader keeps for heartbeats.
HEARTBEAT_CONNECTIONS = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardShare:
    """What one shard may use of its service's limits.

    Parameters
    ----------
    rate : float
        Requests a second; infinite for no limit.
    concurrency : float
        Requests in flight at once; infinite for no limit.
    """

    rate: float
    concurrency: float


def split_whole(total: int, weights: Mapping[str, int]) -> dict[str, int]:
    """Divide a whole number in proportion to weights, without rest.

    The largest remainders get what rounding down leaves; equal ones go
    in the order of their names, so that all instances agree.

    Examples
    --------
    >>> split_whole(10, {"centro": 4, "sur": 2, "austral": 2})
    {'centro': 5, 'sur': 2, 'austral': 3}
    """
    whole = sum(weights.values())
    shares = {name: total * w // whole for name, w in weights.items()}
    ranked = sorted(
        weights, key=lambda name: (-(total * weights[name] % whole), name)
    )
    for name in ranked[: total - sum(shares.values())]:
        shares[name] += 1
    return shares


def compute_share(
    table: configuration.OperatorsTable, shard: base.ShardId
) -> ShardShare:
    """Return a shard's share, by the partitions that its region holds.

    The shares of all shards of a service add up to the row's limits.
    """
    service, region = base.split_shard_id(shard)
    row = table.find_row(service)
    if row is None:
        return ShardShare(rate=math.inf, concurrency=math.inf)
    weights = {
        name: len(row.list_partitions(name)) for name in row.list_regions()
    }
    part = weights.get(region, 0) / row.partitions
    rate = row.rate * part if row.rate else math.inf
    concurrency = math.inf
    if row.concurrency:
        shares = split_whole(row.concurrency, weights)
        concurrency = shares.get(region, 0)
    return ShardShare(rate=rate, concurrency=concurrency)


def list_sharing_shards(
    table: configuration.OperatorsTable, address: base.Address
) -> dict[base.ShardId, int]:
    """Return the shards that name a server, with the slots they state."""
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
    """Return the slots of a server that a shard may use.

    Shards that name the same server divide its slots; where their rows
    state different numbers, the lowest holds.  A shard that is not
    among them has none; the result is None if there are none at all.
    """
    sharers = list_sharing_shards(table, address)
    if shard not in sharers:
        return 0 if sharers else None
    shares = split_whole(min(sharers.values()), dict.fromkeys(sharers, 1))
    return shares[shard]


def compute_connections(row: configuration.ServiceRow) -> int:
    """Return how many connections one leader may hold to a server.

    Examples
    --------
    >>> compute_connections(configuration.ServiceRow(
    ...     service="stock", connections=110))
    55
    """
    return max(1 + HEARTBEAT_CONNECTIONS, row.connections // LEADERS_AT_ONCE)


def limit_slots(row: configuration.ServiceRow) -> int:
    """Return the row's slots, as far as a leader's connections reach.

    Examples
    --------
    >>> limit_slots(configuration.ServiceRow(service="stock", slots=2))
    2
    >>> limit_slots(configuration.ServiceRow(
    ...     service="stock", slots=10, connections=8))
    3
    """
    return min(row.slots, compute_connections(row) - HEARTBEAT_CONNECTIONS)
