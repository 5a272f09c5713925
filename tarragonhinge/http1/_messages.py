"""Complete HTTP/1.1 requests and responses."""

import dataclasses

from tarragonhinge import memory

#: Header fields in the order of arrival, names in lower case.
FieldList = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A complete request.

    Parameters
    ----------
    method, target : str
        Method and target as sent by the caller.
    fields : list
        Header fields.
    body : bytes or bytearray
        The body, without its framing. It is not changed any more, but
        emptied once `usage` does not count it.
    usage : Usage or None
        Counts the memory of the request and its response; None for requests
        of this process.
    """

    method: str
    target: str
    fields: FieldList
    body: bytes | bytearray = b""
    usage: memory.Usage | None = dataclasses.field(
        default=None, compare=False, repr=False
    )

    def find(self, name: str) -> str | None:
        """Return the value of the first field with a name, or None.

        Parameters
        ----------
        name : str
            Name of the field, in lower case.
        """
        return next((v for n, v in self.fields if n == name), None)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A complete response.

    Parameters
    ----------
    status : int
        Status code.
    fields : list
        Header fields.
    body : bytes or bytearray
        The body, without its framing. It is not changed any more, but
        emptied once the usage of its request is closed.
    closes : bool
        Whether the connection is closed after the response.
    """

    status: int
    fields: FieldList
    body: bytes | bytearray = b""
    closes: bool = False


def combine_fields(fields: FieldList) -> dict[str, str]:
    """Return the fields by name; repeated ones as one list (RFC 9110).

    Examples
    --------
    >>> combine_fields([("a", "1"), ("b", "2"), ("a", "3")])
    {'a': '1, 3', 'b': '2'}
    """
    combined: dict[str, str] = {}
    for name, value in fields:
        if name in combined:
            value = f"{combined[name]}, {value}"
        combined[name] = value
    return combined


def decode_fields(raw: object) -> FieldList:
    """Decode header fields from Latin-1; names become lower case."""
    return [
        (bytes(name).decode("latin-1").lower(), bytes(value).decode("latin-1"))
        for name, value in raw
    ]


def encode_fields(fields: FieldList) -> list[tuple[bytes, bytes]]:
    """Encode header fields as Latin-1."""
    return [(n.encode("latin-1"), v.encode("latin-1")) for n, v in fields]
