"""Stored claim of the coordinator."""

import contextlib

import msgspec

from tarragonhinge import base
from tarragonhinge import stores

#: Store table and row key of the claim.
TABLE = "tarragonhinge-leadership"
KEY = "coordinator"


class Leadership(msgspec.Struct, frozen=True, kw_only=True):
    """Claim of an instance to be the coordinator.

    Parameters
    ----------
    term : Term
        Leadership term; increases with each claim.
    instance : InstanceId
        Instance that coordinates.
    incarnation : IncarnationId
        Incarnation of the instance's process.
    address : Address
        Address on which the instance listens for other instances.
    """

    term: base.Term
    instance: base.InstanceId
    incarnation: base.IncarnationId
    address: base.Address


_decoder = msgspec.json.Decoder(Leadership)


def encode_leadership(leadership: Leadership) -> bytes:
    """Encode a claim for the store."""
    return msgspec.json.encode(leadership)


def find_leadership(row: stores.StoredRow | None) -> Leadership | None:
    """Decode the claim in a row; None if it is missing or invalid."""
    if row is None:
        return None
    with contextlib.suppress(base.CodecError):
        return decode_leadership(row.value)
    return None


def decode_leadership(value: bytes) -> Leadership:
    """Decode a stored claim.

    Raises
    ------
    CodecError
        If the value is not a valid claim.
    """
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError as error:
        raise base.CodecError(
            problem=f"the coordinator's claim cannot be decoded: {error}",
            remedy="none needed: an instance writes a new claim",
        ) from error
