"""From a request to the partition of its key."""

from collections.abc import Mapping
import dataclasses
import random

import xxhash

from tarragonhinge import base
from tarragonhinge import configuration


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyPlace:
    """Where the key of a request belongs.

    Parameters
    ----------
    key_hash : int
        64-bit hash of the key.
    partition : PartitionId
        Its partition.
    shard : ShardId
        The shard that holds the partition.
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
    """Return the key of a request, or None if it carries none.

    Parameters
    ----------
    row : ServiceRow
        Says where the key stands.
    segments : list of str
        Segments of the path after the service.
    headers, query : mapping
        Header fields and query parameters.
    """
    if row.key_source is configuration.KeySource.HEADER:
        return headers.get(row.key_name) or None
    if row.key_source is configuration.KeySource.QUERY:
        return query.get(row.key_name) or None
    index = int(row.key_name) - 1
    return segments[index] or None if index < len(segments) else None


def locate_key(row: configuration.ServiceRow, key: str) -> KeyPlace:
    """Return where a key belongs.

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
    return KeyPlace(key_hash=key_hash, partition=partition, shard=shard)


def choose_place(
    row: configuration.ServiceRow,
    *,
    region: base.RegionName,
    rng: random.Random,
) -> KeyPlace:
    """Return a place for a request of a service that has no keys.

    A partition of the caller's own region is preferred.
    """
    local = row.list_partitions(region)
    partition = rng.choice(local or range(row.partitions))
    home = row.get_home(base.PartitionId(partition))
    shard = base.make_shard_id(row.service, home)
    return KeyPlace(key_hash=0, partition=partition, shard=shard)
