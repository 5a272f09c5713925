"""Memory for the bodies of responses that are being received."""

#: Total size of all bodies above which large ones fail.
TOTAL_LIMIT_BYTES = 48 << 20

#: Size up to which a body never fails because of others.
SMALL_BODY_BYTES = 1 << 20


class BodyMemory:
    """Counts the bytes of response bodies that are being received.

    A server in trouble may send bytes without end on many connections.
    Together with the limit of each body, this bounds the memory that they
    take, and leaves room for the responses of other servers.
    """

    def __init__(self) -> None:
        self._used = 0

    def add(self, count: int, *, body_bytes: int) -> bool:
        """Count received bytes; return False if their body has to fail.

        Parameters
        ----------
        count : int
            Number of bytes received.
        body_bytes : int
            Size of their body so far, which includes them.
        """
        self._used += count
        return (
            body_bytes <= SMALL_BODY_BYTES or self._used <= TOTAL_LIMIT_BYTES
        )

    def release(self, count: int) -> None:
        """Stop to count the bytes of a body that has ended or failed."""
        self._used -= count


#: Memory of this process, which all connections share.
BODY_MEMORY = BodyMemory()
