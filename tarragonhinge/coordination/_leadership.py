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
    first_era : int or UnsetType
        Earliest era of the store in which any instance may have been the
        coordinator; unset if unknown. A record that is missing in a later
        era may have been lost with a restore of the store.
    """

    term: base.Term
    instance: base.InstanceId
    incarnation: base.IncarnationId
    address: base.Address
    first_era: int | msgspec.UnsetType = msgspec.UNSET


_decoder = msgspec.json.Decoder(Leadership)


def find_first_era(
    previous: Leadership | None, *, seen: int | None, is_first_start: bool
) -> int | msgspec.UnsetType:
    """Return the first era for a claim that succeeds another one.

    Parameters
    ----------
    previous : Leadership or None
        Claim that is replaced; None if there is none in the store.
    seen : int or None
        Era that the store showed this process first.
    is_first_start : bool
        Whether the whole system starts for the first time, so that a claim
        that is missing was not written before this process started.
    """
    if previous is not None:
        known = previous.first_era
    else:
        known = seen if is_first_start else msgspec.UNSET
    if seen is None or known is msgspec.UNSET:
        return msgspec.UNSET
    return min(known, seen)


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
    except base.DECODE_ERRORS as error:
        raise base.CodecError(
            problem=f"the coordinator's claim cannot be decoded: {error}",
            remedy="none needed: an instance writes a new claim",
        ) from error
