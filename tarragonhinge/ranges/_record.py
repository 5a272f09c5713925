"""Stored record of the lease holders of a service's key ranges.

It has two forms. JSON is what every build reads; a segment takes about 104
bytes. With many segments, it would exceed the bound of a row, so that the
record is written in a compact form instead: MessagePack arrays, compressed.
"""

import zlib

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import stores

#: Store table of the records; the row key is the service name.
TABLE = "tarragonhinge-ranges"

#: Bound of a row's value if the settings state none, in bytes of base64.
DEFAULT_ROW_BYTES = 65_536

#: Fraction of the bound up to which the record is written as JSON. It leaves
#: room for the segments that one batch of moves adds.
JSON_ROW_FRACTION = 0.75

#: First byte of the compact form; no JSON value begins with it.
COMPACT_MARK = b"\x01"

#: Longest decompressed content that is decoded, since a damaged or foreign
#: row may expand to any size.
MAX_COMPACT_BYTES = 4 << 20


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


class _CompactHolder(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a server that holds segments."""

    server: base.ServerId
    born_ms: int


class _CompactSegment(msgspec.Struct, frozen=True, array_like=True):
    """Segment, by its distance from the previous one.

    Parameters
    ----------
    gap : int
        Number of keys between the previous segment and this one.
    count : int
        Number of keys.
    holder : int
        Index of its holder.
    fence : int
        Fencing token, counted back from the record's next one.
    is_moving : bool
        Whether the keys were moving.
    """

    gap: int
    count: int
    holder: int
    fence: int
    is_moving: bool


class _CompactRecord(msgspec.Struct, frozen=True, array_like=True):
    """Compact form of a record."""

    term: base.Term
    next_fence: int
    era: int | None
    holders: list[_CompactHolder]
    segments: list[_CompactSegment]


_decoder = msgspec.json.Decoder(RangeRecord)
_compact_decoder = msgspec.msgpack.Decoder(_CompactRecord)


def encode_record(
    record: RangeRecord, *, row_bytes: int = DEFAULT_ROW_BYTES
) -> bytes:
    """Encode a record for the store.

    Parameters
    ----------
    record : RangeRecord
        The record.
    row_bytes : int
        Longest value that the store accepts, in bytes of base64.
    """
    value = msgspec.json.encode(record)
    limit = JSON_ROW_FRACTION * row_bytes
    if stores.compute_encoded_bytes(value) <= limit:
        return value
    return COMPACT_MARK + zlib.compress(
        msgspec.msgpack.encode(_make_compact(record))
    )


def _make_compact(record: RangeRecord) -> _CompactRecord:
    indices: dict[tuple[base.ServerId, int], int] = {}
    segments, next_key = [], 0
    for segment in sorted(record.segments, key=lambda s: s.first):
        holder = segment.server, segment.born_ms
        segments.append(
            _CompactSegment(
                gap=segment.first - next_key,
                count=segment.last - segment.first + 1,
                holder=indices.setdefault(holder, len(indices)),
                fence=record.next_fence - segment.fence,
                is_moving=segment.state is catalog.SegmentState.MOVING,
            )
        )
        next_key = segment.last + 1
    return _CompactRecord(
        term=record.term,
        next_fence=record.next_fence,
        era=None if record.era is msgspec.UNSET else record.era,
        holders=[_CompactHolder(*holder) for holder in indices],
        segments=segments,
    )


def _expand(compact: _CompactRecord) -> RangeRecord:
    segments, next_key = [], 0
    for packed in compact.segments:
        holder = compact.holders[packed.holder]
        first = next_key + packed.gap
        next_key = first + packed.count
        state = catalog.SegmentState.HELD
        if packed.is_moving:
            state = catalog.SegmentState.MOVING
        segments.append(
            catalog.Segment(
                first=first,
                last=next_key - 1,
                server=holder.server,
                born_ms=holder.born_ms,
                fence=compact.next_fence - packed.fence,
                state=state,
            )
        )
    return RangeRecord(
        term=compact.term,
        next_fence=compact.next_fence,
        segments=segments,
        era=msgspec.UNSET if compact.era is None else compact.era,
    )


def _decode_compact(value: bytes) -> RangeRecord:
    decompressor = zlib.decompressobj()
    packed = decompressor.decompress(value, MAX_COMPACT_BYTES)
    if not decompressor.eof:
        raise ValueError("the compressed content is too long or cut off")
    return _expand(_compact_decoder.decode(packed))


def decode_record(value: bytes) -> RangeRecord:
    """Decode a stored record of either form.

    Raises
    ------
    CodecError
        If the value is not a valid record.
    """
    try:
        if value.startswith(COMPACT_MARK):
            return _decode_compact(value[len(COMPACT_MARK) :])
        return _decoder.decode(value)
    except (*base.DECODE_ERRORS, zlib.error, IndexError) as error:
        raise base.CodecError(
            problem=f"the key range record cannot be decoded: {error}",
            remedy="delete the row once no server holds keys of the service",
        ) from error
