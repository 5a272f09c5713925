"""Keys of requests, and their partitions and shards."""

from collections.abc import Mapping
import dataclasses
import random

import xxhash

from tarragonhinge import base
from tarragonhinge import configuration


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyLocation:
    """Partition and shard of a key.

    Parameters
    ----------
    key_hash : int
        64-bit hash of the key.
    partition : PartitionId
        Partition of the key.
    shard : ShardId
        Shard of the partition.
    """

    key_hash: int
    partition: base.PartitionId
    shard: base.ShardId


def extract_key(
    row: configuration.ServiceRow,
    *,
    segments: list[str],
    headers: Mapping[str, str],
    query: Mapping[str, str],
) -> str | None:
    """Return the key of a request, or None if it has none.

    Parameters
    ----------
    row : ServiceRow
        Row of the service, which names the source of the key.
    segments : list of str
        Path segments after the service.
    headers, query : mapping
        Header fields and query parameters.
    """
    if row.key_source is configuration.KeySource.HEADER:
        return headers.get(row.key_name) or None
    if row.key_source is configuration.KeySource.QUERY:
        return query.get(row.key_name) or None
    index = int(row.key_name) - 1
    return segments[index] or None if index < len(segments) else None


def locate_key(row: configuration.ServiceRow, key: str) -> KeyLocation:
    """Return the partition and shard of a key.

    Examples
    --------
    >>> row = configuration.ServiceRow(
    ...     service="orders", partitions=8, homes=["koshi"])
    >>> locate_key(row, "order-7").shard
    'orders/koshi'
    """
    key_hash = xxhash.xxh3_64_intdigest(key.encode())
    partition = base.PartitionId(key_hash % row.partitions)
    home = row.get_home(partition)
    shard = base.make_shard_id(row.service, home)
    return KeyLocation(key_hash=key_hash, partition=partition, shard=shard)


def choose_location(
    row: configuration.ServiceRow,
    *,
    region: base.RegionName,
    rng: random.Random,
) -> KeyLocation:
    """Return a random location for a request of a service without keys.

    Partitions of the given region are preferred.
    """
    local = row.list_partitions(region)
    partition = rng.choice(local or range(row.partitions))
    home = row.get_home(base.PartitionId(partition))
    shard = base.make_shard_id(row.service, home)
    return KeyLocation(key_hash=0, partition=partition, shard=shard)
