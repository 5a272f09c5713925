"""Decides whether a request waits here for room at a full server.

The load pattern: the owner of a key resets connections while its queue is
full. A request on such a connection may have run, so that it can't be refused
with 503 any more. It may be sent again if it is idempotent, but only to the
same owner, which refuses it as long as the queue is full, while its caller
still has seconds left. The same holds for a request without a key whose other
servers are full.

Such a request waits until there is room, if it can then be served before its
deadline. One that no server may have run is refused instead, since its caller
gets a true answer at once.
"""

#: Fraction of the time left before the deadline that the wait and the expected
#: latency after it may use.
USABLE_DEADLINE_FRACTION = 0.85

#: Fraction of the time left that an attempt to open a connection may use, so
#: that the request can still be sent to another server or be refused in time.
CONNECT_FRACTION = 0.5


def compute_room_wait_ms(
    *, room_ms: float, left_ms: float, idle_ms: float
) -> float | None:
    """Return how long a request waits before it is placed again.

    Parameters
    ----------
    room_ms : float
        Estimated time until there is room at a server.
    left_ms : float
        Time left before the deadline.
    idle_ms : float
        Expected latency at a server with a free slot.

    Returns
    -------
    float or None
        None if it could not be served before the deadline.

    Examples
    --------
    >>> compute_room_wait_ms(room_ms=300, left_ms=5000, idle_ms=350)
    300
    >>> compute_room_wait_ms(room_ms=300, left_ms=700, idle_ms=350)
    """
    if room_ms + idle_ms > USABLE_DEADLINE_FRACTION * left_ms:
        return None
    return room_ms


def compute_connect_timeout_ms(left_ms: float) -> float:
    """Return how long a request may wait for a connection.

    Examples
    --------
    >>> compute_connect_timeout_ms(800)
    400.0
    """
    return CONNECT_FRACTION * left_ms
