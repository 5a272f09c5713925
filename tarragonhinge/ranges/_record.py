"""Stored record of the lease holders of a service's key ranges."""

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog

#: Store table of the records; the row key is the service name.
TABLE = "tarragonhinge-ranges"


class RangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Lease holders of all key ranges of one service.

    A holder is recorded before it is granted its keys.

    Parameters
    ----------
    term : Term
        Leadership term of the writer.
    next_fence : int
        Lowest fencing token that no grant has used.
    segments : list of Segment
        Key ranges with their lease holders.
    era : int or UnsetType
        Era of the store in which the record was written; unset if the store
        states none. In a later one, the record is part of the copy from which
        the store was restored, and may lack changes.
    """

    term: base.Term
    next_fence: int = 1
    segments: list[catalog.Segment] = []
    era: int | msgspec.UnsetType = msgspec.UNSET

    def is_outdated(self, era: int) -> bool:
        """Return whether the record was written before an era of the store."""
        return (self.era or 0) < era


_decoder = msgspec.json.Decoder(RangeRecord)


def encode_record(record: RangeRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> RangeRecord:
    """Decode a stored record.

    Raises
    ------
    CodecError
        If the value is not a valid record.
    """
    try:
        return _decoder.decode(value)
    except base.DECODE_ERRORS as error:
        raise base.CodecError(
            problem=f"the key range record cannot be decoded: {error}",
            remedy="delete the row once no server holds keys of the service",
        ) from error
