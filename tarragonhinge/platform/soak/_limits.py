"""Limits that servers named during a run."""

from collections.abc import Iterator
import contextlib
import dataclasses
import math
import time

from tarragonhinge.platform import standins


@dataclasses.dataclass(kw_only=True, slots=True)
class NamedLimit:
    """Limit of a server, and the times at which it was named, in seconds."""

    server: standins.StandInServer
    rate: float
    began_at: float
    ended_at: float = math.inf


class Limits:
    """Limits that servers named during a run.

    Attributes
    ----------
    named : list of NamedLimit
        The limits, in the order in which they were named.
    """

    def __init__(self) -> None:
        self.named: list[NamedLimit] = []

    @contextlib.contextmanager
    def name(
        self, server: standins.StandInServer, rate: float
    ) -> Iterator[None]:
        """Let a server name a limit for the duration of a block."""
        limit = NamedLimit(server=server, rate=rate, began_at=time.monotonic())
        self.named.append(limit)
        server.limit = str(rate)
        try:
            yield
        finally:
            server.limit = None
            limit.ended_at = time.monotonic()
