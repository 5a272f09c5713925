"""Framing of messages on a TCP connection.

A frame consists of a length in four bytes in network byte order, one byte
that states whether the message is compressed, and the message. The length
counts all bytes after it. Messages of `MIN_COMPRESSED_BYTES` or more are
compressed, which shrinks a routing table by a factor of ten, since the names
in it repeat.
"""

import asyncio
import zlib

import msgspec

from tarragonhinge import base
from tarragonhinge.relay import _messages

#: Size limit of a received frame, and of its decompressed message.
MAX_FRAME_BYTES = 4 << 20

#: Size from which messages are compressed.
MIN_COMPRESSED_BYTES = 200

_LENGTH_BYTES = 4
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_messages.Message)


def encode_frame(message: _messages.Message) -> bytes:
    """Encode a message as a frame."""
    body = _encoder.encode(message)
    if len(body) >= MIN_COMPRESSED_BYTES:
        body = _COMPRESSED + zlib.compress(body)
    else:
        body = _PLAIN + body
    return len(body).to_bytes(_LENGTH_BYTES, "big") + body


async def read_message(reader: asyncio.StreamReader) -> _messages.Message:
    """Read the next message.

    Raises
    ------
    CodecError
        If the bytes are not a valid message.
    OSError, EOFError
        If the connection was closed or reset.
    """
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), "big")
    if not 0 < length <= MAX_FRAME_BYTES:
        raise base.CodecError(
            problem=f"a frame length of {length} bytes is out of range",
            remedy="run the same version of the program on all instances",
        )
    frame = await reader.readexactly(length)
    try:
        body = frame[1:]
        if frame[:1] == _COMPRESSED:
            inflater = zlib.decompressobj()
            body = inflater.decompress(body, MAX_FRAME_BYTES)
        return _decoder.decode(body)
    except (zlib.error, *base.DECODE_ERRORS) as error:
        raise base.CodecError(
            problem=f"a frame cannot be decoded: {error}",
            remedy="run the same version of the program on all instances",
        ) from error
