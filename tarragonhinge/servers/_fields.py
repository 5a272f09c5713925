"""Header fields that a request or an answer loses at each hop."""

#: Header fields that end at each hop (RFC 9110, section 7.6.1), and
#: those that the client library sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def drop_hop_by_hop_fields(
    fields: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the fields without those that end at this hop.

    Examples
    --------
    >>> fields = [("Connection", "X-A"), ("x-a", "1"), ("B", "2")]
    >>> drop_hop_by_hop_fields(fields)
    [('B', '2')]
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in fields:
        if name.lower() == "connection":
            dropped.update(part.strip().lower() for part in value.split(","))
    return [(n, v) for n, v in fields if n.lower() not in dropped]
