"""Cancellation of background tasks."""

import asyncio
from collections.abc import Iterable

from tarragonhinge.base import _clock

#: Time after which a task that has not ended is cancelled again.
CANCEL_PERIOD_MS = 100


async def cancel_tasks(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait until all have ended.

    A task can miss a cancellation: up to Python 3.11, `asyncio.wait_for`
    drops one that arrives in the same turn of the event loop as its result.
    Hence tasks are cancelled until they end.

    Parameters
    ----------
    tasks : iterable of Task
        Tasks to cancel; their exceptions are ignored.
    """
    tasks = list(tasks)
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(
            pending, timeout=CANCEL_PERIOD_MS / _clock.MS_PER_S
        )
    await asyncio.gather(*tasks, return_exceptions=True)
