"""Removal of hop-by-hop header fields."""

#: Hop-by-hop header fields (RFC 9110, section 7.6.1), and fields that
#: the client library sets itself.
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
    """Return the fields without the hop-by-hop ones.

    Fields that a ``Connection`` field names are removed too.

    Examples
    --------
    >>> fields = [("Connection", "X-A"), ("x-a", "1"), ("B", "2")]
    >>> drop_hop_by_hop_fields(fields)
    [('B', '2')]
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in fields:
        if name.lower() == "connection":
            dropped.update(
                option.strip().lower() for option in value.split(",")
            )
    return [(n, v) for n, v in fields if n.lower() not in dropped]
