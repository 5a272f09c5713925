"""Event loop whose time moves only when nothing else can run."""

import asyncio
from collections.abc import Coroutine
import gc
import selectors
from typing import Any
from typing import TypeVar

T = TypeVar("T")


class _ManualSelector(selectors.SelectSelector):
    """Selector that advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError(
                "all tasks wait for ever; look for a lost wake-up"
            )
        self.elapsed_s += max(0.0, timeout)
        return []


class ManualLoop(asyncio.SelectorEventLoop):
    """Loop on manual time; it does no input or output."""

    def __init__(self) -> None:
        self._manual = _ManualSelector()
        super().__init__(self._manual)

    def time(self) -> float:
        """Return the manual time, in seconds."""
        return self._manual.elapsed_s


def run_manual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on manual time and return its result.

    Raises
    ------
    Exception
        The first that a background task left unhandled.
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
    """End the tasks that are left, so that none outlives its loop."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        loop.run_until_complete(gathered)
    gc.collect()


def spawn(coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
    """Start a coroutine beside the test."""
    return asyncio.create_task(coroutine)
