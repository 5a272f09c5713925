"""Requests of a caller that await their responses."""

import asyncio
import dataclasses

import h11

from tarragonhinge.http1 import _messages
from tarragonhinge import memory


@dataclasses.dataclass(kw_only=True, slots=True)
class Exchange:
    """A received request and the parser that encodes its response.

    `usage` counts what it takes until its response is written.
    """

    parser: h11.Connection
    response: asyncio.Future[_messages.HttpResponse]
    method: str = ""
    usage: memory.Usage | None = None


#: Replaces a response that can't be encoded.
_INVALID_RESPONSE = _messages.HttpResponse(status=502, fields=[])


def encode_response(
    exchange: Exchange, response: _messages.HttpResponse, *, closes: bool
) -> tuple[bytes, bytes | bytearray, bool]:
    """Return the encoded head, the body to send, and whether to stay open."""
    parser = exchange.parser
    fields = [*response.fields, ("content-length", str(len(response.body)))]
    if closes:
        fields.append(("connection", "close"))
    if parser.our_state is h11.IDLE:
        # The parser can't encode a response to a request that it rejected.
        lines = [f"HTTP/1.1 {response.status} Error\r\n"]
        lines += [f"{name}: {value}\r\n" for name, value in fields]
        head = ("".join(lines) + "\r\n").encode("latin-1")
        return head, response.body, False
    try:
        head = _make_head(response.status, fields)
    except (h11.LocalProtocolError, UnicodeEncodeError):
        return encode_response(exchange, _INVALID_RESPONSE, closes=closes)
    data = parser.send(head)
    body = b""
    has_body = exchange.method != "HEAD" and response.status not in (204, 304)
    if response.body and has_body:
        parts = parser.send_with_data_passthrough(h11.Data(data=response.body))
        if len(parts) == 1:
            body = response.body
        else:
            # Framed in chunks.
            data += b"".join(parts)
    data += parser.send(h11.EndOfMessage())
    return data, body, parser.our_state is h11.DONE


def _make_head(status: int, fields: _messages.FieldList) -> h11.Response:
    return h11.Response(
        status_code=status, headers=_messages.encode_fields(fields)
    )
