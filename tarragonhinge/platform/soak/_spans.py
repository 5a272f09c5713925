"""Spans of time."""

from collections.abc import Iterator
import contextlib
import math
import time


class Spans:
    """Spans of monotonic time in which something was disturbed."""

    def __init__(self) -> None:
        self._spans: list[list[float]] = []

    def begin(self) -> list[float]:
        """Begin a span, which lasts until its second item is set."""
        span = [time.monotonic(), math.inf]
        self._spans.append(span)
        return span

    @contextlib.contextmanager
    def record(self) -> Iterator[None]:
        """Record the duration of a block as a span."""
        span = self.begin()
        try:
            yield
        finally:
            span[1] = time.monotonic()

    def contain(self, since: float, until: float) -> bool:
        """Return whether one span covers all moments between two times."""
        return any(
            start <= since and end >= until for start, end in self._spans
        )

    def overlap(self, since: float, until: float) -> bool:
        """Return whether a span has a moment between two times."""
        return any(
            start <= until and end >= since for start, end in self._spans
        )
