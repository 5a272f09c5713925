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
        Name of the instance.
    incarnation : IncarnationId
        Run of the instance's process that holds the role; empty until
        a new standby has sent its first acknowledgement.
    address : Address
        Address on which the instance listens for peers.
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
        Incremented each time the owner changes.
    """

    server: base.ServerId
    epoch: base.Epoch


class ShardRecord(msgspec.Struct, frozen=True, kw_only=True):
    """State of a shard that must survive the loss of its leader.

    Parameters
    ----------
    term : Term
        Fencing token of the leader.  The next term is reserved for the
        standby; any other claimant skips it.
    leader : Holder
        Instance that assigns the partitions.
    standby : Holder or None
        Instance that may take over under the reserved term.
    owners : dict
        Assignment of each partition.
    splits : dict
        Key hash of each split partition, which holds that key alone.
    next_split : int
        Number of the next split partition.  Numbers are not reused, so
        that a grant for an earlier split is never valid for a later one.
    history : str
        Name of the history policy whose copy contains every dispatched
        idempotency key; empty if there is no complete copy.
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
    """Return a transaction that replaces one version of a shard's row.

    The write fails with a conflict if the row has another version.
    """
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
        The record to change.
    chosen : mapping
        New owners.  None merges a split partition back, so that its key
        belongs to its original partition again.

    Returns
    -------
    ShardRecord
        The changed record, with a higher epoch for each new owner.
    """
    owners, splits = dict(record.owners), dict(record.splits)
    for partition, server in chosen.items():
        if server is None:
            owners.pop(partition, None)
            splits.pop(partition, None)
            continue
        previous = owners.get(partition)
        epoch = base.Epoch(previous.epoch + 1 if previous else 1)
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
            problem=f"row of a shard cannot be decoded: {error}",
            remedy="restore the row from the platform's backup",
        ) from error
