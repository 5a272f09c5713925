"""Memory of the body of a response that is being received."""

import h11

from tarragonhinge import memory

#: Number of bytes that are counted at once for a body of unknown length.
GROWTH_BYTES = 65_536

#: Size up to which a body that belongs to no request of a caller is received
#: without an account: reports of other instances are smaller.
UNCOUNTED_BYTES = 1 << 20

#: Memory of larger ones, from servers in trouble that send without end.
_OWN_ACCOUNT = memory.MemoryAccount(budget_bytes=24 << 20)


class ResponseMemory:
    """Counts the body of one response.

    Parameters
    ----------
    usage : Usage or None
        Counts the memory of the request; None if it is of this process.

    Attributes
    ----------
    body : bytearray
        The body that is received.
    is_kept : bool
        Whether `close` leaves the body counted, since it goes to the caller.
    """

    def __init__(self, usage: memory.Usage | None) -> None:
        self._usage = usage
        self._client: memory.ClientMemory | None = None
        self._counted = 0
        self.is_kept = False
        self.body = bytearray()
        if usage is None:
            self._counted = UNCOUNTED_BYTES
        else:
            self.body = usage.make_buffer(memory.Kind.RESPONSE)

    async def grow(self, head: h11.Response | None, received: int) -> None:
        """Count a body of which a number of bytes has been received.

        If its length is stated, all of it is counted at once, so that
        responses that are received at the same time do not wait for each
        other.

        Raises
        ------
        FullError
            If the request has ended, or there is no memory in time for a
            response that belongs to none.
        """
        if received <= self._counted:
            return
        growth = received - self._counted + GROWTH_BYTES
        length = _read_length(head)
        if length is not None:
            growth = max(received, length) - self._counted
        kind = memory.Kind.RESPONSE
        if self._usage is None:
            self._open_own()
        if self._client is not None:
            await self._usage.grow(kind, growth)
        else:
            # The deadline of the request ends the wait; the response of a
            # request that has run is not given up before.
            await self._usage.grow(kind, growth, timeout_ms=None)
        self._counted += growth

    def _open_own(self) -> None:
        self._client = memory.ClientMemory(
            account=_OWN_ACCOUNT,
            connection_bytes=0,
            get_moved=lambda: 0,
            awaits_client=lambda: False,
            close_stalled=lambda holding: None,
        )
        self._usage = self._client.open_usage()
        self._counted = 0

    def close(self) -> None:
        """Drop a body that is not kept, and stop to count it."""
        if self._client is not None:
            self._client.close()
        elif not self.is_kept and self._usage is not None:
            self._usage.release(memory.Kind.RESPONSE, self._counted)
        if not self.is_kept:
            self.body.clear()


def _read_length(head: h11.Response | None) -> int | None:
    """Return the stated length of a body; None if there is none."""
    length = None
    for name, value in head.headers if head is not None else ():
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            length = int(value)
    return length
