"""Number of callers' connections, and which one makes room for a new one.

Handles this pattern: many clients connect and send nothing, or a part of a
head, until no descriptor is left for servers, files and ordinary callers.
"""

from collections.abc import Iterable
import dataclasses
import heapq
import math
import resource
from typing import Generic
from typing import TypeVar

from tarragonhinge import http1

#: Descriptors of a machine that files may take.
FILE_DESCRIPTORS = 200

#: Parts of the other descriptors: for connections of callers, for those of
#: other instances that forward requests, and for those to servers and to other
#: instances. The rest is for control traffic.
CALLER_FRACTION = 1 / 2
CALL_FRACTION = 3 / 16
SERVER_FRACTION = 1 / 4

#: Part of the memory for clients that connections without requests may take.
MEMORY_FRACTION = 1 / 2

#: Part of the connections that are closed at once: looking for them takes time
#: with all of them, which a flood of connections must not multiply.
CLOSED_FRACTION = 1 / 64

#: Smallest number of connections.
MIN_CONNECTIONS = 16

Connection = TypeVar("Connection")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionState(Generic[Connection]):
    """State of an open connection.

    Parameters
    ----------
    connection : object
        The connection.
    is_idle : bool
        Whether it has no request.
    is_incomplete : bool
        Whether it waits for the rest of its only request.
    since : float
        Time since which it has sent no response.
    """

    connection: Connection
    is_idle: bool
    is_incomplete: bool
    since: float


def choose_connections(
    states: Iterable[ConnectionState[Connection]], count: int
) -> list[Connection]:
    """Return up to `count` connections that make room for new ones.

    These are the ones that have been idle for the longest time, and then those
    that have sent an incomplete request for the longest time. A request that
    is complete is never cut off.

    Examples
    --------
    >>> make = lambda name, idle, incomplete, since: ConnectionState(
    ...     connection=name,
    ...     is_idle=idle,
    ...     is_incomplete=incomplete,
    ...     since=since,
    ... )
    >>> busy, part = make("a", False, False, 1), make("b", False, True, 2)
    >>> choose_connections([busy, part, make("c", True, False, 3)], 1)
    ['c']
    >>> choose_connections([busy, part], 2)
    ['b']
    """
    closable = (s for s in states if s.is_idle or s.is_incomplete)
    chosen = heapq.nsmallest(
        count, closable, key=lambda s: (not s.is_idle, s.since)
    )
    return [state.connection for state in chosen]


def compute_limit(
    *, max_descriptors: int | None, budget_bytes: int, fraction: float
) -> int:
    """Return the largest number of connections to a listener.

    Parameters
    ----------
    max_descriptors : int or None
        Descriptors of the machine; those of the process if None.
    budget_bytes : int
        Memory for clients.
    fraction : float
        Part of the descriptors for sockets.

    Examples
    --------
    >>> compute_limit(
    ...     max_descriptors=1_638, budget_bytes=92_000_000, fraction=1 / 2
    ... )
    719
    """
    by_descriptors = _count_socket_descriptors(max_descriptors) * fraction
    by_memory = budget_bytes * MEMORY_FRACTION / http1.CONNECTION_BYTES
    return max(MIN_CONNECTIONS, int(min(by_descriptors, by_memory)))


def compute_server_limit(max_descriptors: int | None) -> float:
    """Return the largest number of connections to servers and instances.

    Parameters
    ----------
    max_descriptors : int or None
        Descriptors of the machine; those of the process if None.

    Examples
    --------
    >>> compute_server_limit(1_638)
    359
    """
    limit = _count_socket_descriptors(max_descriptors) * SERVER_FRACTION
    return limit if limit == math.inf else max(MIN_CONNECTIONS, int(limit))


def _count_socket_descriptors(max_descriptors: int | None) -> float:
    if max_descriptors is None:
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if max_descriptors == resource.RLIM_INFINITY:
            return math.inf
    return max_descriptors - FILE_DESCRIPTORS
