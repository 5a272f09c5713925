"""Requests of a caller that await their responses."""

import asyncio
import dataclasses

import h11

from tarragonhinge.http1 import _messages


@dataclasses.dataclass(kw_only=True, slots=True)
class Exchange:
    """A received request and the parser that encodes its response."""

    parser: h11.Connection
    response: asyncio.Future[_messages.HttpResponse]
    method: str = ""


#: Replaces a response that can't be encoded.
_INVALID_RESPONSE = _messages.HttpResponse(status=502, fields=[])


def encode_response(
    exchange: Exchange, response: _messages.HttpResponse, *, closes: bool
) -> tuple[bytes, bool]:
    """Return the encoded response and whether to keep the connection."""
    parser = exchange.parser
    fields = [*response.fields, ("content-length", str(len(response.body)))]
    if closes:
        fields.append(("connection", "close"))
    if parser.our_state is h11.IDLE:
        # The parser can't encode a response to a request that it rejected.
        lines = [f"HTTP/1.1 {response.status} Error\r\n"]
        lines += [f"{name}: {value}\r\n" for name, value in fields]
        return ("".join(lines) + "\r\n").encode(
            "latin-1"
        ) + response.body, False
    try:
        head = _make_head(response.status, fields)
    except (h11.LocalProtocolError, UnicodeEncodeError):
        return encode_response(exchange, _INVALID_RESPONSE, closes=closes)
    data = parser.send(head)
    has_body = exchange.method != "HEAD" and response.status not in (204, 304)
    if response.body and has_body:
        data += parser.send(h11.Data(data=response.body))
    data += parser.send(h11.EndOfMessage())
    return data, parser.our_state is h11.DONE


def _make_head(status: int, fields: _messages.FieldList) -> h11.Response:
    return h11.Response(
        status_code=status, headers=_messages.encode_fields(fields)
    )
