"""The stored claim of the coordinator."""

import msgspec

from tarragonhinge import base

#: Where the claim stands.
TABLE = "tarragonhinge-leadership"
KEY = "coordinator"


class Leadership(msgspec.Struct, frozen=True, kw_only=True):
    """Which instance coordinates.

    Parameters
    ----------
    term : Term
        Grows with each claim.
    instance : InstanceId
        The coordinator.
    incarnation : IncarnationId
        Which run of its process.
    address : Address
        Where it listens for other instances.
    """

    term: base.Term
    instance: base.InstanceId
    incarnation: base.IncarnationId
    address: base.Address


_decoder = msgspec.json.Decoder(Leadership)


def encode_leadership(leadership: Leadership) -> bytes:
    """Return the stored form of a claim."""
    return msgspec.json.encode(leadership)


def decode_leadership(value: bytes) -> Leadership:
    """Decode a stored claim.

    Raises
    ------
    CodecError
        If it is damaged.
    """
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError as error:
        raise base.CodecError(
            problem=f"the coordinator's claim cannot be decoded: {error}",
            remedy="an instance claims anew; nothing is lost",
        ) from error
