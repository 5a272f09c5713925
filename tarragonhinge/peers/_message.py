"""Registry and encoding of the messages between instances."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from tarragonhinge import base

M = TypeVar("M", bound=msgspec.Struct)

_types: dict[str, type[msgspec.Struct]] = {}
_kinds: dict[type[msgspec.Struct], str] = {}
_decoders: dict[str, msgspec.msgpack.Decoder] = {}
_encoder = msgspec.msgpack.Encoder()


def register_message(kind: str) -> Callable[[type[M]], type[M]]:
    """Return a decorator that registers a Struct as a message kind.

    Raises
    ------
    RegistryError
        If the kind is already registered.
    """

    def add(entry: type[M]) -> type[M]:
        if kind in _types:
            raise base.RegistryError(
                problem=f"message kind {kind!r} is registered twice",
                remedy="give one of them another kind",
            )
        _types[kind] = entry
        _kinds[entry] = kind
        _decoders[kind] = msgspec.msgpack.Decoder(entry)
        return entry

    return add


def get_kind(message: msgspec.Struct) -> str:
    """Return the kind under which a message's type is registered."""
    return _kinds[type(message)]


def encode_message(message: msgspec.Struct) -> bytes:
    """Return a message encoded as msgpack."""
    return _encoder.encode(message)


def decode_message(kind: str, body: bytes) -> msgspec.Struct:
    """Decode a message of a kind from its msgpack body.

    Raises
    ------
    CodecError
        If the kind is not registered or the body does not match it.
    """
    decoder = _decoders.get(kind)
    if decoder is None:
        raise base.CodecError(
            problem=f"message kind {kind!r} is not registered",
            remedy="run the same release on both instances",
        )
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise base.CodecError(
            problem=f"message of kind {kind!r} is malformed: {error}",
            remedy="run the same release on both instances",
        ) from error
