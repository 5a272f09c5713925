"""Codec of the entries with which backend servers register themselves."""

import re
from typing import Annotated

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog

#: Store table of the server entries; the row key is the server's id.
TABLE = "servers"

#: Bounds of a start time, of slots and of a warm-up time. Numbers beyond 64
#: bits can be sent to no other instance.
_MAX_BORN_MS = (1 << 53) - 1
_MAX_SLOTS = 100_000
_MAX_COLD_MS = 3_600_000

#: Keys that a header field can carry: visible ASCII characters.
_KEY_PATTERN = re.compile(r"[!-~]+")

_STATES = {
    "ready": catalog.ServerState.READY,
    "draining": catalog.ServerState.DRAINING,
}


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: str
    # Wall-clock time of the server's start, in milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_BORN_MS)]
    version: str = ""
    # Remaining warm-up time, in milliseconds.
    warm_ms: float = msgspec.field(name="warmupLeft", default=0.0)


_decoder = msgspec.json.Decoder(_Entry)


def decode_server(key: str, value: bytes) -> catalog.ServerEntry:
    """Decode the entry of a backend server.

    Raises
    ------
    CodecError
        If the row does not hold a valid entry.
    """
    try:
        entry = _decoder.decode(value)
        state = _STATES[entry.state]
        address = base.parse_address(entry.address)
        if not _KEY_PATTERN.fullmatch(key):
            raise ValueError("the key cannot be sent in a header field")
    except (*base.DECODE_ERRORS, KeyError) as error:
        raise base.CodecError(
            problem=f"{TABLE}/{key} cannot be decoded: {error!r}",
            remedy="the server gets no requests until it writes a valid entry",
        ) from error
    return catalog.ServerEntry(
        server=base.ServerId(key),
        service=base.ServiceName(entry.service),
        address=address,
        zone=base.ZoneName(entry.zone),
        slots=entry.slots,
        state=state,
        born_ms=entry.born,
        version=entry.version or msgspec.UNSET,
        cold_ms=int(min(max(0.0, entry.warm_ms), _MAX_COLD_MS)),
    )
