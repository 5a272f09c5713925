"""Event loop on manual time, which advances only when no task can run."""

import asyncio
from collections.abc import Coroutine
import gc
import selectors
from typing import Any
from typing import TypeVar

T = TypeVar("T")


class _ManualSelector(selectors.SelectSelector):
    """Selector that advances manual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError(
                "deadlock: all tasks wait without a timeout; look for a "
                "missed wake-up"
            )
        self.elapsed_s += max(0.0, timeout)
        return []


class ManualLoop(asyncio.SelectorEventLoop):
    """Event loop on manual time, without input and output."""

    def __init__(self) -> None:
        self._manual_selector = _ManualSelector()
        super().__init__(self._manual_selector)

    def time(self) -> float:
        """Return the manual time, in seconds."""
        return self._manual_selector.elapsed_s


def run_manual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on manual time and return its result.

    Raises
    ------
    Exception
        The first unhandled exception of a background task.
    RuntimeError
        If all tasks wait without a timeout.
    """
    loop = ManualLoop()
    failures: list[BaseException] = []

    def collect(_: asyncio.AbstractEventLoop, context: dict) -> None:
        if "exception" in context:
            failures.append(context["exception"])

    loop.set_exception_handler(collect)
    try:
        result = loop.run_until_complete(coroutine)
    finally:
        _cancel_all(loop)
        loop.close()
    if failures:
        raise failures[0]
    return result


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel the remaining tasks, so that none outlives its loop."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        loop.run_until_complete(gathered)
    gc.collect()


def spawn(coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
    """Run a coroutine in the background of a test."""
    return asyncio.create_task(coroutine)
