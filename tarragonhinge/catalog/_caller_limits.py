"""Limits on connections of callers."""

import msgspec


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on one connection of a caller.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request's header and body.
    header_timeout_ms : int
        Maximum time from the first byte of a header to its end.
    idle_timeout_ms : int
        Maximum time without data between two requests or within a body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
