"""Priority class of a request."""

from collections.abc import Iterable
import re

from tarragonhinge import configuration

#: Urgency in a ``Priority`` header field (RFC 9218, section 4.1).
_URGENCY = re.compile(r"(?:^|[,\s])u=([0-7])(?=$|[,;\s])")


def read_priority(
    row: configuration.ServiceRow, headers: Iterable[tuple[str, str]]
) -> int:
    """Return the priority class of a request; lower is served first.

    The urgency of a ``Priority`` header can lower the priority of a
    request below that of its service, but cannot raise it.

    Examples
    --------
    >>> row = configuration.ServiceRow(service="stock", priority=1)
    >>> read_priority(row, [("Priority", "u=5, i")])
    5
    >>> read_priority(row, [("Priority", "u=0")])
    1
    """
    for name, value in headers:
        if name.lower() == "priority":
            match = _URGENCY.search(value)
            if match:
                return max(row.priority, int(match.group(1)))
    return row.priority
