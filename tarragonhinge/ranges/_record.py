"""What the store keeps of a service's keys."""

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog

#: The table of records; the key is the service.
TABLE = "tarragonhinge-ranges"


class RangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Which server may hold which keys, written before it holds them.

    Parameters
    ----------
    term : Term
        Leadership of the writer.
    next_fence : int
        Fencing token that no server has seen in a grant.
    segments : list of Segment
        The holders.
    """

    term: base.Term
    next_fence: int = 1
    segments: list[catalog.Segment] = []


_decoder = msgspec.json.Decoder(RangeRecord)


def encode_record(record: RangeRecord) -> bytes:
    """Return the stored form of a record."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> RangeRecord:
    """Decode a stored record.

    Raises
    ------
    CodecError
        If it is damaged.
    """
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError as error:
        raise base.CodecError(
            problem=f"a record of key ranges cannot be decoded: {error}",
            remedy="remove the row once no server holds keys any more",
        ) from error
