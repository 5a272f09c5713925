"""Requests and answers of HTTP/1.1, whole."""

import dataclasses

#: Header fields in the order of arrival, names in lower case.
FieldList = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A request that was read completely.

    Parameters
    ----------
    method, target : str
        As the caller sent them.
    fields : list
        Header fields.
    body : bytes
        The body, without its framing.
    """

    method: str
    target: str
    fields: FieldList
    body: bytes = b""

    def find(self, name: str) -> str | None:
        """Return the first field of a name in lower case, or None."""
        return next((v for n, v in self.fields if n == name), None)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A complete answer.

    Parameters
    ----------
    status : int
        Its status.
    fields : list
        Header fields.
    body : bytes
        The body, without its framing.
    closes : bool
        Whether the connection ends with it.
    """

    status: int
    fields: FieldList
    body: bytes = b""
    closes: bool = False


def decode_fields(raw: object) -> FieldList:
    """Return header fields as text, names in lower case."""
    return [
        (bytes(name).decode("latin-1").lower(), bytes(value).decode("latin-1"))
        for name, value in raw
    ]


def encode_fields(fields: FieldList) -> list[tuple[bytes, bytes]]:
    """Return header fields as bytes."""
    return [(n.encode("latin-1"), v.encode("latin-1")) for n, v in fields]
