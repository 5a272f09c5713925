"""Bounds on what callers may send."""

import msgspec


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on one caller's connection.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest head and largest body of a request.
    header_timeout_ms : int
        Longest time from the first byte of a head to its end.
    idle_timeout_ms : int
        Longest silence between two requests or within a body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
