"""The record of a shard in the platform's table."""

from collections.abc import Mapping

import msgspec

from tarragonhinge import base
from tarragonhinge import stores


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that leads a shard or stands by for it.

    Parameters
    ----------
    instance : InstanceId
        Its name.
    incarnation : IncarnationId
        The run of its process that holds the role.
    address : Address
        Where it listens for peers.
    """

    instance: base.InstanceId
    incarnation: base.IncarnationId
    address: base.Address


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """Owner of one partition.

    Parameters
    ----------
    server : ServerId
        The owner.
    epoch : Epoch
        Grows each time that the owner changes.
    """

    server: base.ServerId
    epoch: base.Epoch


class ShardRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What must survive the loss of a shard's leader.

    Parameters
    ----------
    term : Term
        Fencing token of the leader.  The next one is reserved for the
        standby; any other claimant skips it.
    leader : Holder
        Who assigns the partitions.
    standby : Holder or None
        Who may take over.
    owners : dict
        Assignment of each partition.
    splits : dict
        Hash of the key that each split partition holds.
    next_split : int
        Number of the next split partition.  Numbers are never used
        again, so that no grant of an earlier split is valid in a later.
    history : str
        Name of the history policy whose copy holds every dispatched
        idempotency key; empty if there is none.
    """

    term: base.Term
    leader: Holder
    standby: Holder | None = None
    owners: dict[base.PartitionId, Assignment] = {}
    splits: dict[base.PartitionId, int] = {}
    next_split: int = 0
    history: str = ""


_decoder = msgspec.json.Decoder(ShardRecord)


def make_record_key(shard: base.ShardId) -> str:
    """Return the key of a shard's row."""
    return f"shards/{shard}"


def make_record_write(
    shard: base.ShardId, record: ShardRecord, *, row_version: int
) -> stores.Transaction:
    """Return the write of a record over a version of its row."""
    key = make_record_key(shard)
    return stores.Transaction(
        write_id=stores.make_write_id(),
        checks=[stores.Check(key=key, version=row_version)],
        puts=[stores.Put(key=key, value=encode_record(record))],
    )


def assign_owners(
    record: ShardRecord,
    chosen: Mapping[base.PartitionId, base.ServerId | None],
) -> ShardRecord:
    """Return a record with new owners of some partitions.

    Parameters
    ----------
    record : ShardRecord
        The record before.
    chosen : mapping
        New owners; None merges a split partition back, so that its key
        belongs to its former partition again.
    """
    owners, splits = dict(record.owners), dict(record.splits)
    for partition, server in chosen.items():
        if server is None:
            owners.pop(partition, None)
            splits.pop(partition, None)
            continue
        last = owners.get(partition)
        epoch = base.Epoch(last.epoch + 1 if last else 1)
        owners[partition] = Assignment(server=server, epoch=epoch)
    if splits == record.splits:
        splits = record.splits
    return msgspec.structs.replace(record, owners=owners, splits=splits)


def encode_record(record: ShardRecord) -> bytes:
    """Return the content of a shard's row."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> ShardRecord:
    """Return the record in a shard's row.

    Raises
    ------
    CodecError
        If the content is not a record.
    """
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError as error:
        raise base.CodecError(
            problem=f"a shard's row is malformed: {error}",
            remedy="restore the row from the platform's backup",
        ) from error
